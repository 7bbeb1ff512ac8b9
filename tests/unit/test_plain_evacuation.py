"""Tests of a balancer's and an agent's decisions on evacuated zones."""

from dataclasses import replace

import pytest

from papayagw._internal.core.plain.membership.agent_evacuation import AgentEvacuation
from papayagw._internal.core.plain.membership.evacuation import (
    EVACUATION_FRAME_INTERVAL_MS,
    EvacuationState,
    ZoneChange,
    ZoneEvacuations,
)
from papayagw._internal.core.plain.membership.roster import Roster
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
    ReturnReason,
)
from papayagw._internal.models.plain.instance import (
    AgentEntry,
    AgentLoad,
    Availability,
)
from papayagw._internal.models.plain.packet import FlowKey, PacketKind
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
    Driver,
    open_frame,
)

A, B, C = (Endpoint("10.0.0.2", port) for port in (1, 2, 3))
READY, EVACUATED = Availability.READY, Availability.EVACUATED
INTERVAL_MS = EVACUATION_FRAME_INTERVAL_MS


def change(is_evacuated, number, zone="a", era=1):
    return [ZoneChange(zone, is_evacuated, StoreRevision(era, number))]


def frame(is_evacuated, number, era=1, service="order"):
    return EvacuationFrame(service, is_evacuated, StoreRevision(era, number))


def read(number, zones="", era=1):
    return frozenset(zones), StoreRevision(era, number)


def run_step(evacuations, roster, step, now):
    """Run a read, changes or an agent's load report; a number passes time."""
    match step:
        case int():
            return evacuations.on_timer(now)
        case list():
            return evacuations.on_changes(step, now, 0)
        case (Endpoint() as agent, availability):
            load = AgentLoad(availability, 1, 0, 0, 0.0, 0, 1)
            return evacuations.on_load(roster.find(agent), load, now)
    return evacuations.on_read(*step, now, 0)


BEGUN = [read(5), change(True, 6)]


@pytest.mark.parametrize(
    ("steps", "zones", "frames", "reads"),
    [
        # Without a read, as in deployments without evacuations, nothing happens.
        ([change(True, 6), (A, EVACUATED)], "", [], 0),
        (BEGUN, "a", [(A, frame(True, 6)), (B, frame(True, 6))], 0),
        ([read(7, "a")], "a", [(A, frame(True, 7)), (B, frame(True, 7))], 0),
        # A lower revision is ignored within an era; one transaction shares one.
        ([*BEGUN, change(False, 5)], "a", [], 0),
        ([*BEGUN, read(5)], "a", [], 0),
        ([*BEGUN, change(True, 6, "b")], "ab", [(C, frame(True, 6))], 0),
        ([*BEGUN, INTERVAL_MS, read(2, era=2), change(True, 9)], "", [], 0),
        # A change that follows too soon is sent later, not dropped.
        ([*BEGUN, 1, change(False, 8)], "", [], 0),
        (
            [*BEGUN, 1, change(False, 8), INTERVAL_MS],
            "",
            [(A, frame(False, 8)), (B, frame(False, 8))],
            0,
        ),
        # The first report may have been sent before the frame arrived.
        ([*BEGUN, (A, READY)], "a", [], 0),
        ([*BEGUN, INTERVAL_MS, (A, READY)], "a", [(A, frame(True, 6))], 0),
        ([*BEGUN, INTERVAL_MS, (A, EVACUATED)], "a", [], 0),
        # Another balancer knows of an evacuation that isn't known here.
        ([*BEGUN, (C, EVACUATED)], "a", [(C, frame(False, 6))], 1),
        ([*BEGUN, (C, EVACUATED), (C, EVACUATED)], "a", [], 1),
    ],
)
def test_balancer(steps, zones, frames, reads):
    """Zones, requested reads, and the frames of the last step, of each sequence."""
    roster, requested, now, actions = Roster(), [], 10_000, []
    for agent, zone in ((A, "a"), (B, "a"), (C, "b")):
        roster.put(str(agent), AgentEntry(agent, "order", zone), 1)
    evacuations = ZoneEvacuations(roster, lambda: requested.append(1))
    for step in steps:
        now += step if isinstance(step, int) else 0
        actions = run_step(evacuations, roster, step, now)
    sent = [(one.peer, one.frame) for one in actions if isinstance(one, SendFrame)]
    assert (evacuations.zones, sent) == (frozenset(zones), frames)
    assert len(requested) == reads


COPY = open_frame(packet=make_packet(FLOW, PacketKind.OPEN, copy=1))
NEW = open_frame(packet=make_packet(FLOW, PacketKind.OPEN, 7_000))


@pytest.mark.parametrize(
    ("steps", "outcome"),
    [
        ([frame(True, 6), open_frame()], ReturnReason.EVACUATED),
        ([frame(True, 6), frame(False, 5), open_frame()], ReturnReason.EVACUATED),
        ([frame(True, 6), frame(False, 8), open_frame()], SendToBackend),
        ([frame(True, 6), frame(False, 1, era=2), open_frame()], SendToBackend),
        ([frame(True, 6, service="drawings"), open_frame()], SendToBackend),
        # The state is reported at once, also that of a zone that returns.
        ([open_frame(), frame(True, 6)], EVACUATED),
        ([open_frame(), frame(True, 6), frame(False, 8)], READY),
        # Only copies of openings that the server has accepted pass.
        ([*ACCEPTED, frame(True, 6), COPY], SendToBackend),
        ([open_frame(), frame(True, 6), COPY], ReturnReason.EVACUATED),
        ([*ACCEPTED, frame(True, 6), NEW], ReturnReason.EVACUATED),
        ([*ACCEPTED, frame(True, 6), FORWARD], SendToBackend),
    ],
)
@pytest.mark.parametrize("is_enabled", [True, False])
def test_agent(is_enabled, steps, outcome):
    """Without the setting frames are ignored."""
    driver, actions = Driver(follows_evacuations=is_enabled), []
    for step in ["ready", *steps]:
        if isinstance(step, EvacuationFrame):
            actions = driver.core.on_frame(step, BALANCER, driver.now)
        else:
            actions = driver.run(step)
    frames = [one.frame for one in actions if isinstance(one, SendFrame)]
    found = {type(one) for one in actions}
    found |= {getattr(one, "reason", one.load.availability) for one in frames}
    if is_enabled:
        assert outcome in found
    else:
        assert not found & {ReturnReason.EVACUATED, EVACUATED}


def test_balancers_waiting_for_capacity_arent_notified_in_an_evacuated_zone():
    """Else they offer openings that come back, and the agent's timer stays due."""
    driver, flows = Driver(), [FlowKey(bytes((n,)) + FLOW[1:]) for n in range(3)]
    for step in ["ready", *(make_packet(flow, PacketKind.OPEN) for flow in flows)]:
        driver.run(step if step == "ready" else open_frame(packet=step))
    driver.core._evacuation = AgentEvacuation(True)
    driver.core.on_frame(frame(True, 6), BALANCER, driver.now)
    actions = [one for f in flows for one in driver.run(replace(ACCEPT, flow=f))]
    actions += driver.run(500)
    frames = [one.frame for one in actions if isinstance(one, SendFrame)]
    assert not [one for one in frames if isinstance(one, LoadFrame)]
    assert driver.core.due_at is None


SITE = b'{"version": 1, "routes": [], "limits": {"idle_timeout_ms": 1}}'
KEYS = ("op/config", "op/evacuate/a", "op/evacuate/", "op/evacuate/b/c", "op/other")


@pytest.mark.parametrize(
    ("evacuation_ms", "prefix", "zones"), [(None, "op/config", ""), (5, "op/", "a")]
)
def test_the_watch_covers_evacuations_only_with_the_setting(
    evacuation_ms, prefix, zones
):
    address = Endpoint("127.0.0.1", 1)
    names = ("inner", "readiness", "metrics", "store", "entry")
    settings = PlainBalancerSettings(
        **dict.fromkeys(names, address),
        **dict.fromkeys(("client_port", "grace_ms", "flow_limit_ms"), 1),
        name="b",
        zone="a",
        evacuation_ms=evacuation_ms,
    )
    process = PlainBalancerProcess(settings, PreparedPlatform(), lambda: settings)
    watcher = process._site_watcher
    assert watcher.next_call().call == ReadRange(prefix)
    items = tuple(StoredItem(key, SITE, 4, 0) for key in KEYS)
    watcher.on_answer(watcher.next_call().call, RangeResult(items, False, 9), 0)
    assert process._core.site.version == 1
    state = process._evacuations._state
    expected = EvacuationState(frozenset(zones), StoreRevision(0, 9))
    assert state == (expected if zones else None)
    removed = WatchResult((RemovedItem("op/evacuate/a", 10),), 10)
    watcher.on_answer(watcher.next_call().call, removed, 0)
    assert process._evacuations.zones == frozenset()
