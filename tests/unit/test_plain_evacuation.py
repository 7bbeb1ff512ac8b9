"""Tests of a balancer's and an agent's decisions on evacuated zones."""

from dataclasses import replace

import pytest

from papayagw._internal.core.plain.membership.evacuation import (
    EVACUATION_FRAME_INTERVAL_MS,
    EvacuationState,
    ZoneChange,
    ZoneEvacuations,
)
from papayagw._internal.core.plain.membership.roster import Roster
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import SendFrame, SendToBackend
from papayagw._internal.models.plain.entry_store import (
    RangeResult,
    ReadRange,
    RemovedItem,
    StoredItem,
    StoreRevision,
    WatchResult,
)
from papayagw._internal.models.plain.frame import (
    EvacuationFrame,
    LoadFrame,
    OpenedFrame,
    OwnerQuery,
    OwnerQueryFrame,
    Ownership,
    ReturnReason,
    ScopeFrame,
)
from papayagw._internal.models.plain.instance import (
    AgentEntry,
    AgentLoad,
    Availability,
)
from papayagw._internal.models.plain.packet import PacketKind
from papayagw._internal.models.plain.settings import PlainBalancerSettings
from papayagw._internal.net.plain.balancer_process import PlainBalancerProcess
from papayagw.platform.adapter import PreparedPlatform
from tests.lib.plain_world import make_packet
from tests.unit.test_plain_agent import (
    ACCEPT,
    ACCEPTED,
    BALANCER,
    FLOW,
    FORWARD,
    OPENING,
    Driver,
    open_frame,
    sent_loads,
)

A, B, C = (Endpoint("10.0.0.2", port) for port in (1, 2, 3))
ZONES = {A: "zone-a", B: "zone-a", C: "zone-b"}
START = Millis(10_000)
INTERVAL_MS = EVACUATION_FRAME_INTERVAL_MS
COPY = make_packet(FLOW, PacketKind.OPEN, copy=1)
OTHER_OPENING = make_packet(FLOW, PacketKind.OPEN, 7_000)


def at(number, era=1):
    return StoreRevision(era, number)


def began(zone, number, era=1):
    return ZoneChange(zone, True, at(number, era))


def ended(zone, number, era=1):
    return ZoneChange(zone, False, at(number, era))


def read(number, *zones, era=1):
    return (frozenset(zones), at(number, era))


@pytest.mark.parametrize(
    ("steps", "zones", "revision"),
    [
        ([began("a", 6)], "a", at(6)),
        ([began("a", 6), ended("a", 8)], "", at(8)),
        # Both keys are written in one transaction.
        ([began("a", 6), began("b", 6)], "ab", at(6)),
        ([ended("a", 6)], "", at(6)),
        ([read(9, "a"), ended("a", 8)], "a", at(9)),
        ([began("a", 8), read(7)], "a", at(8)),
        ([read(8, "a"), read(8, "a")], "a", at(8)),
        # Revisions start again after a restoration of the store.
        ([began("a", 8), read(4, era=2)], "", at(4, 2)),
        ([read(4, "a", era=2), ended("a", 9)], "a", at(4, 2)),
        ([read(9, "a", era=2), read(3, era=1)], "", at(3)),
    ],
)
def test_a_lower_revision_is_ignored_within_an_era(steps, zones, revision):
    state = EvacuationState(frozenset(), at(5))
    for step in steps:
        if isinstance(step, ZoneChange):
            state = state.apply_change(step)
        else:
            state = state.apply_read(*step)
    assert state == EvacuationState(frozenset(zones), revision)


def load(availability):
    return AgentLoad(availability, 1, 0, 0, 0.0, 0, 1)


class Evacuations:
    """Run steps on the evacuations of a balancer that knows A, B and C.

    A step is a read, a list of changes, an agent with the availability that it reports,
    or a number of milliseconds to pass.
    """

    def __init__(self):
        self.roster = Roster()
        for endpoint, zone in ZONES.items():
            self.roster.put(str(endpoint), AgentEntry(endpoint, "order", zone), 1)
        self.reads = 0
        self.core = ZoneEvacuations(self.roster, self.count_read)
        self.now = START

    def count_read(self):
        self.reads += 1

    def run(self, step):
        match step:
            case int():
                self.now = Millis(self.now + step)
                return self.core.on_timer(self.now)
            case list():
                return self.core.on_changes(step, self.now, 0)
            case (Endpoint() as endpoint, availability):
                view = self.roster.find(endpoint)
                return self.core.on_load(view, load(availability), self.now)
        return self.core.on_read(*step, self.now, 0)


READY, EVACUATED = Availability.READY, Availability.EVACUATED
FRAME = EvacuationFrame("order", True, at(6))
ENDED_FRAME = EvacuationFrame("order", False, at(8))
REQUEST = [read(5), [began("zone-a", 6)]]
WITHDRAWAL = [ended("zone-a", 8)]


@pytest.mark.parametrize(
    ("steps", "frames", "reads"),
    [
        # Without a read, as in deployments without evacuations, nothing is sent.
        ([(A, EVACUATED)], [], 0),
        ([[began("zone-a", 6)]], [], 0),
        ([read(5)], [], 0),
        (REQUEST, [(A, FRAME), (B, FRAME)], 0),
        ([read(6, "zone-a")], [(A, FRAME), (B, FRAME)], 0),
        ([*REQUEST, INTERVAL_MS, WITHDRAWAL], [(A, ENDED_FRAME), (B, ENDED_FRAME)], 0),
        # The frames of a change that follows too soon are delayed, not lost.
        ([*REQUEST, 1, WITHDRAWAL], [], 0),
        (
            [*REQUEST, 1, WITHDRAWAL, INTERVAL_MS],
            [(A, ENDED_FRAME), (B, ENDED_FRAME)],
            0,
        ),
        # A zone that changes twice in one batch has not changed.
        ([read(5), [began("zone-a", 6), ended("zone-a", 8)]], [], 0),
        # The report may have been sent before the frame arrived.
        ([*REQUEST, (A, READY)], [], 0),
        ([*REQUEST, INTERVAL_MS, (A, READY)], [(A, FRAME)], 0),
        ([*REQUEST, INTERVAL_MS, (A, READY), (A, READY)], [], 0),
        ([*REQUEST, INTERVAL_MS, (A, EVACUATED)], [], 0),
        ([*REQUEST, INTERVAL_MS, (A, Availability.LEAVING)], [], 0),
        ([*REQUEST, INTERVAL_MS, (A, Availability.UNREADY)], [(A, FRAME)], 0),
        ([*REQUEST, (C, READY)], [], 0),
        # Another balancer knows of an evacuation that isn't known here.
        (
            [*REQUEST, (C, EVACUATED)],
            [(C, EvacuationFrame("order", False, at(6)))],
            1,
        ),
        ([*REQUEST, INTERVAL_MS, WITHDRAWAL, (A, EVACUATED)], [], 0),
    ],
)
def test_frames_to_agents(steps, frames, reads):
    """The frames of the last step, and the number of reads that were requested."""
    evacuations, actions = Evacuations(), []
    for step in steps:
        actions = evacuations.run(step)
    sent = [(one.peer, one.frame) for one in actions if isinstance(one, SendFrame)]
    assert (sent, evacuations.reads) == (frames, reads)


def test_a_delayed_frame_sets_the_timer():
    evacuations = Evacuations()
    for step in [*REQUEST, 1]:
        evacuations.run(step)
    assert evacuations.core.due_at is None
    evacuations.run(WITHDRAWAL)
    assert evacuations.core.due_at == START + INTERVAL_MS


class AgentDriver(Driver):
    """Also runs evacuation frames."""

    def __init__(self, is_enabled=True):
        super().__init__(follows_evacuations=is_enabled)

    def run(self, step):
        if isinstance(step, EvacuationFrame):
            return self.core.on_frame(step, BALANCER, self.now)
        return super().run(step)


OLDER_FRAME = EvacuationFrame("order", False, at(5))
QUERY = OwnerQueryFrame("order", (OwnerQuery(FLOW, None),))


@pytest.mark.parametrize(
    ("steps", "outcome"),
    [
        (["ready", FRAME, open_frame()], ReturnReason.EVACUATED),
        (["ready", FRAME, OLDER_FRAME, open_frame()], ReturnReason.EVACUATED),
        (["ready", ENDED_FRAME, FRAME, open_frame()], SendToBackend),
        (["ready", FRAME, ENDED_FRAME, open_frame()], SendToBackend),
        (
            ["ready", FRAME, EvacuationFrame("order", False, at(1, 2)), open_frame()],
            SendToBackend,
        ),
        # A frame for the agent that had the endpoint before.
        (
            ["ready", EvacuationFrame("drawings", True, at(6)), open_frame()],
            SendToBackend,
        ),
        (["drain", FRAME, open_frame()], ReturnReason.EVACUATED),
        (
            ["ready", FRAME, ScopeFrame("order", 5, frozenset()), open_frame(4)],
            ReturnReason.OLD_VERSION,
        ),
        # The server has accepted the opening that this is a copy of.
        ([*ACCEPTED, FRAME, open_frame(packet=COPY)], SendToBackend),
        # The server hasn't answered the opening yet.
        (["ready", open_frame(), FRAME, open_frame()], ReturnReason.EVACUATED),
        ([*ACCEPTED, FRAME, open_frame(packet=OTHER_OPENING)], ReturnReason.EVACUATED),
        # Open flows are kept.
        ([*ACCEPTED, FRAME, FORWARD], SendToBackend),
        (["ready", open_frame(), FRAME, ACCEPT], OpenedFrame),
        ([*ACCEPTED, FRAME, QUERY], Ownership.OWNER),
    ],
)
def test_an_evacuated_agent_accepts_no_openings_and_keeps_its_flows(steps, outcome):
    driver, actions = AgentDriver(), []
    for step in steps:
        actions = driver.run(step)
    frames = [one.frame for one in actions if isinstance(one, SendFrame)]
    found = {type(one) for one in (*actions, *frames)}
    found |= {getattr(frame, "reason", None) for frame in frames}
    found |= {reply.ownership for f in frames for reply in getattr(f, "replies", ())}
    assert outcome in found


@pytest.mark.parametrize(
    ("steps", "availability"),
    [
        ([FRAME], EVACUATED),
        ([open_frame(), FRAME], EVACUATED),
        ([open_frame(), FRAME, ENDED_FRAME], READY),
        # A full server's other openings aren't announced while the zone is evacuated.
        ([open_frame(), FRAME, FRAME], None),
        ([ENDED_FRAME], None),
    ],
)
def test_a_change_is_reported_at_once(steps, availability):
    driver, actions = AgentDriver(), []
    for step in ["ready", *steps]:
        actions = driver.run(step)
    assert sent_loads(actions) == ([] if availability is None else [availability])


def test_balancers_that_wait_for_capacity_arent_notified_in_an_evacuated_zone():
    driver = AgentDriver()
    driver.run("ready")
    other = make_packet(type(FLOW)(bytes((9,)) + FLOW[1:]), PacketKind.OPEN)
    third = make_packet(type(FLOW)(bytes((8,)) + FLOW[1:]), PacketKind.OPEN)
    for packet in (OPENING, other, third):
        actions = driver.run(open_frame(packet=packet))
    assert actions[0].frame.reason is ReturnReason.BUSY
    assert sent_loads(driver.run(FRAME)) == [EVACUATED]
    for packet in (ACCEPT, replace(ACCEPT, flow=other.flow)):
        assert sent_loads(driver.run(packet)) == []
    assert sent_loads(driver.run(500)) == []


def test_an_agent_without_the_setting_ignores_the_frame():
    driver = AgentDriver(is_enabled=False)
    driver.run("ready")
    assert driver.run(FRAME) == []
    assert SendToBackend in {type(one) for one in driver.run(open_frame())}


CONFIGURATION = StoredItem(
    "op/config", b'{"version": 1, "routes": [], "limits": {"idle_timeout_ms": 1}}', 3, 0
)
EVACUATE_A = StoredItem("op/evacuate/zone-a", b"{}", 4, 0)
OTHER_KEYS = tuple(
    StoredItem(key, b"{}", 4, 0)
    for key in ("op/evacuate/", "op/evacuate/a/b", "op/evacuated/a", "op/other")
)


def make_process(evacuation_ms):
    """Return a balancer process that hasn't been started."""
    address = Endpoint("127.0.0.1", 1)
    settings = PlainBalancerSettings(
        name="b",
        zone="zone-a",
        inner=address,
        client_port=1,
        readiness=address,
        metrics=address,
        store=address,
        grace_ms=Millis(1),
        flow_limit_ms=Millis(1),
        evacuation_ms=evacuation_ms,
        entry=address,
    )
    return PlainBalancerProcess(settings, PreparedPlatform(), lambda: settings)


@pytest.mark.parametrize(
    ("evacuation_ms", "prefix", "zones"),
    [(None, "op/config", set()), (Millis(5_000), "op/", {"zone-a"})],
)
def test_the_watch_covers_evacuations_only_with_the_setting(
    evacuation_ms, prefix, zones
):
    process = make_process(evacuation_ms)
    watcher = process._site_watcher
    call = watcher.next_call().call
    assert call == ReadRange(prefix)
    items = (CONFIGURATION, EVACUATE_A, *OTHER_KEYS)
    watcher.on_answer(call, RangeResult(items, False, 9), 0)
    assert process._core.site.version == 1
    assert process._evacuations.zones == zones
    removal = RemovedItem("op/evacuate/zone-a", 10)
    watcher.on_answer(watcher.next_call().call, WatchResult((removal,), 10), 0)
    assert process._evacuations.zones == set()


def test_load_frames_are_only_sent_to_active_balancers():
    """A frame to each agent from all balancers must not delay the load reports."""
    driver = AgentDriver()
    driver.run("ready")
    for number in range(100):
        frame = EvacuationFrame("order", True, at(6 + number))
        peer = Endpoint("10.0.0.1", 2 + number)
        driver.core.on_frame(frame, peer, driver.now)
    actions = driver.core.on_frame(
        EvacuationFrame("order", False, at(500)), BALANCER, driver.now
    )
    receivers = [
        one.peer
        for one in actions
        if isinstance(one, SendFrame) and isinstance(one.frame, LoadFrame)
    ]
    assert receivers == [BALANCER]
