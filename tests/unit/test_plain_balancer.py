"""What a balancer of the plain front end decides, packet by packet."""

from random import Random

import pytest

from papayagw._internal.core.plain.balancer import RESTART_SPREAD_MS, PlainBalancer
from papayagw._internal.core.plain.choice import (
    HashChooser,
    LeastWaitChooser,
    RandomChooser,
    RoundRobinChooser,
)
from papayagw._internal.core.plain.openings import ANSWER_PATIENCE_MS, WAIT_LIMIT_MS
from papayagw._internal.core.plain.questions import CLAIM_PATIENCE_MS
from papayagw._internal.core.plain.roster import (
    FRESH_MS,
    MISSING_GRACE_MS,
    TURNED_AWAY_MS,
    UNWILLING_MS,
    AgentView,
    Roster,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import Note, ResetClient, SendFrame
from papayagw._internal.models.plain.frame import (
    AskFrame,
    CarryFrame,
    ClaimFrame,
    FlowClaim,
    LoadFrame,
    MissingFrame,
    OpenedFrame,
    OpenFrame,
    Ownership,
    ReturnFrame,
    ReturnReason,
    ScopeFrame,
)
from papayagw._internal.models.plain.instance import (
    AgentEntry,
    AgentLoad,
    Availability,
)
from papayagw._internal.models.plain.packet import FlowKey, PacketKind
from papayagw._internal.models.plain.site import Route, SiteVersion, WeightedService
from tests.lib.plain_world import ENTRY, make_packet, make_site

A, B, C = (Endpoint("10.0.0.2", port) for port in (1, 2, 3))
FLOW = FlowKey(b"\x64\x40\x00\x07\x9c\x41" + ENTRY)
OPENING = make_packet(FLOW, PacketKind.OPEN)
COPY = make_packet(FLOW, PacketKind.OPEN, copy=1)
DATA = make_packet(FLOW, PacketKind.CARRY, 1, 501, payload=10)
FINISH = make_packet(FLOW, PacketKind.FINISH, 11, 501)
START = 10_000


def load(
    availability=Availability.READY,
    busy=0,
    version=1,
    service_us=0,
    slots=1,
    run_age=None,
):
    return AgentLoad(availability, slots, busy, 0, 0.0, service_us, version, run_age)


class FirstChooser:
    """Picks the first candidate, so that tables can name it."""

    def choose(self, flow, candidates, now):
        return candidates[0]


class Driver:
    """Drives a balancer that knows A and B; returns what the last word made it do."""

    def __init__(self, agents=(A, B), chooser=None, age=MISSING_GRACE_MS + 1):
        self.roster = Roster()
        for endpoint in agents:
            self.add(endpoint)
        self.doubts = self.newer = 0
        self.core = PlainBalancer(
            self.roster, chooser or FirstChooser(), self.note_newer, self.note_doubt
        )
        self.core.apply_site(make_site())
        self.core.on_agents_listed(START - age)
        self.now = START

    def add(self, endpoint):
        entry = AgentEntry(endpoint, "order", "zone-a")
        self.roster.put(str(endpoint), entry)

    def note_doubt(self):
        self.doubts += 1

    def note_newer(self):
        self.newer += 1

    def do(self, word):
        core = self.core
        match word:
            case int():
                self.now += word
                return core.on_timer(self.now)
            case "listed":
                return core.on_agents_listed(self.now)
            case SiteVersion():
                core.apply_site(word)
                return []
            case (Endpoint() as agent, "missing"):
                self.roster.miss(str(agent), self.now)
                return []
            case (Endpoint() as agent, "added"):
                self.add(agent)
                return []
            case (Endpoint() as agent, frame):
                return core.on_frame(frame, agent, self.now)
        return core.on_client_packet(word, self.now)


def play(words, **options):
    driver = Driver(**options)
    actions = []
    for word in words:
        actions = driver.do(word)
    return [one for one in actions if not isinstance(one, Note)], driver


def returned(agent, reason, packet=OPENING, word=None):
    return (agent, ReturnFrame(reason, packet, word or load()))


def claim(agent, ownership, **fields):
    return (agent, ClaimFrame((FlowClaim(FLOW, ownership),), load(**fields)))


def sent(actions):
    return [
        (one.peer, type(one.frame)) for one in actions if isinstance(one, SendFrame)
    ]


def says(agent, availability, **fields):
    return (agent, LoadFrame(load(availability, **fields)))


OPENED = (A, OpenedFrame(FLOW, load()))
OTHER = make_packet(FlowKey(bytes((9,)) + FLOW[1:]), PacketKind.OPEN)
TURNED_AWAY = [
    OPENING,
    returned(A, ReturnReason.BUSY, word=load(busy=2)),
    (B, OpenedFrame(FLOW, load())),
]
DENIED = [DATA, claim(A, Ownership.STRANGER), claim(B, Ownership.STRANGER)]
NOT_READY = Availability.UNREADY


@pytest.mark.parametrize(
    ("words", "frames"),
    [
        ([OPENING], [(A, OpenFrame)]),
        # A copy goes to another agent until one has accepted.
        ([OPENING, COPY], [(B, OpenFrame)]),
        ([OPENING, OPENED, COPY], [(A, OpenFrame)]),
        ([OPENING, ANSWER_PATIENCE_MS], [(B, OpenFrame)]),
        ([OPENING, OPENED, ANSWER_PATIENCE_MS], []),
        ([OPENING, ANSWER_PATIENCE_MS, (A, LoadFrame(load()))], []),
        ([OPENING, returned(A, ReturnReason.FULL)], [(B, OpenFrame)]),
        ([OPENING, returned(A, ReturnReason.BUSY)], [(B, OpenFrame)]),
        ([OPENING, returned(A, ReturnReason.DRAINING)], [(B, OpenFrame)]),
        ([OPENING, returned(A, ReturnReason.OLD_VERSION)], []),
        # Word of an agent that the opening isn't at.
        ([OPENING, returned(B, ReturnReason.FULL)], []),
        ([says(A, NOT_READY), OPENING], [(B, OpenFrame)]),
        ([says(A, Availability.DRAINING), OPENING], [(B, OpenFrame)]),
        ([says(A, Availability.LEAVING), OPENING], [(B, OpenFrame)]),
        ([says(A, NOT_READY), UNWILLING_MS + 1, OPENING], [(A, OpenFrame)]),
        # An agent that had no room is left alone until it tells of some.
        ([*TURNED_AWAY, FRESH_MS + 1, OTHER], [(B, OpenFrame)]),
        ([*TURNED_AWAY, says(A, Availability.READY), OTHER], [(A, OpenFrame)]),
        ([*TURNED_AWAY, TURNED_AWAY_MS, OTHER], [(A, OpenFrame)]),
        ([says(A, NOT_READY), says(B, NOT_READY), OPENING], []),
        ([says(A, Availability.READY, busy=2), OPENING], [(B, OpenFrame)]),
        ([(A, "missing"), OPENING], [(A, OpenFrame)]),
        ([(A, "missing"), MISSING_GRACE_MS + 1, OPENING], [(B, OpenFrame)]),
        # Both are suspect: an offer is better than none.
        (
            [OPENING, ANSWER_PATIENCE_MS, ANSWER_PATIENCE_MS, 0],
            [],
        ),
    ],
)
def test_openings(words, frames):
    actions, _ = play(words)
    assert sent(actions) == frames
    assert not any(isinstance(one, ResetClient) for one in actions)


def test_an_opening_that_backend_servers_decline_is_refused_at_once():
    words = [OPENING, returned(A, ReturnReason.FULL), returned(B, ReturnReason.FULL)]
    (reset,), _ = play(words)
    assert reset == ResetClient(FLOW, 0)


def test_an_opening_that_nobody_is_ready_for_is_offered_until_its_client_gives_up():
    driver = Driver()
    driver.do(says(A, NOT_READY))
    driver.do(says(B, NOT_READY))
    driver.do(OPENING)
    resets = []
    while driver.core.due_at is not None and driver.now < START + 3_000:
        driver.do(says(A, NOT_READY))
        driver.do(says(B, NOT_READY))
        actions = driver.do(driver.core.due_at - driver.now)
        resets += [driver.now for one in actions if isinstance(one, ResetClient)]
    assert len(resets) == 1
    assert WAIT_LIMIT_MS // 2 < resets[0] - START <= WAIT_LIMIT_MS


def test_the_newest_waiting_opening_goes_first_and_priority_before_that():
    routes = {
        ENTRY: Route("low", (WeightedService("order", 1.0),), priority=2),
        b"\x00\x50" + ENTRY[2:]: Route(
            "high", (WeightedService("order", 1.0),), priority=1
        ),
    }
    driver = Driver(agents=(A,))
    driver.core.apply_site(make_site(2, routes=routes))
    driver.do(says(A, NOT_READY, version=2))
    flows = [
        FlowKey(bytes((1,)) + FLOW[1:]),
        FlowKey(bytes((2,)) + FLOW[1:]),
        FlowKey(FLOW[:6] + b"\x00\x50" + ENTRY[2:]),
    ]
    for flow in (flows[2], flows[0], flows[1]):
        driver.do(make_packet(flow, PacketKind.OPEN))
    actions = driver.do(says(A, Availability.READY, version=2, slots=4))
    offered = [one.frame.packet.flow for one in actions if isinstance(one, SendFrame)]
    assert offered == [flows[2], flows[1], flows[0]]


@pytest.mark.parametrize(
    ("word", "frames"),
    [
        (says(B, Availability.READY), [(B, OpenFrame)]),
        (says(B, Availability.READY, busy=1), [(B, OpenFrame)]),
        (says(B, Availability.READY, busy=2), []),
        (says(B, Availability.DRAINING), []),
    ],
)
def test_an_opening_that_waits_goes_to_the_first_agent_with_room(word, frames):
    busy = [says(agent, Availability.READY, busy=2) for agent in (A, B)]
    actions, _ = play([*busy, OPENING, word])
    assert sent(actions) == frames


def test_an_opening_that_waits_is_offered_to_one_agent():
    busy = [says(agent, Availability.READY, busy=2) for agent in (A, B)]
    room = [says(agent, Availability.READY) for agent in (A, B)]
    actions, _ = play([*busy, OPENING, *room])
    assert sent(actions) == []


@pytest.mark.parametrize(("copy", "age_ms"), [(0, 0), (1, 200), (2, 600), (3, 600)])
def test_an_opening_is_as_old_as_its_copy_says(copy, age_ms):
    driver = Driver()
    for agent in (A, B):
        driver.do(says(agent, NOT_READY))
    driver.do(make_packet(FLOW, PacketKind.OPEN, copy=copy))
    refused_at = None
    while refused_at is None:
        for agent in (A, B):
            driver.do(says(agent, NOT_READY))
        actions = driver.do(driver.core.due_at - driver.now)
        if any(isinstance(one, ResetClient) for one in actions):
            refused_at = driver.now
    assert WAIT_LIMIT_MS // 2 < refused_at - START + age_ms <= WAIT_LIMIT_MS


@pytest.mark.parametrize(
    ("words", "frames"),
    [
        ([OPENING, DATA], [(A, CarryFrame)]),
        ([OPENING, OPENED, DATA], [(A, CarryFrame)]),
        ([DATA], [(A, AskFrame), (B, AskFrame)]),
        ([DATA, DATA], []),
        ([DATA, claim(B, Ownership.OWNER)], [(B, CarryFrame)]),
        ([DATA, DATA, claim(B, Ownership.OWNER)], [(B, CarryFrame), (B, CarryFrame)]),
        ([DATA, claim(B, Ownership.OWNER), DATA], [(B, CarryFrame)]),
        ([DATA, claim(A, Ownership.UNSURE)], []),
        (
            [DATA, claim(A, Ownership.UNSURE), claim(B, Ownership.STRANGER)],
            [(A, CarryFrame)],
        ),
        ([DATA, claim(A, Ownership.UNSURE), CLAIM_PATIENCE_MS], [(A, CarryFrame)]),
        # Agents that may not own the flow get two packets of it, the owner all.
        (
            [*[DATA] * 4, claim(A, Ownership.UNSURE), claim(B, Ownership.STRANGER)],
            [(A, CarryFrame)] * 2,
        ),
        (
            [
                *[DATA] * 4,
                claim(A, Ownership.UNSURE),
                claim(B, Ownership.STRANGER),
                claim(A, Ownership.OWNER),
            ],
            [(A, CarryFrame)] * 2,
        ),
        ([DATA, CLAIM_PATIENCE_MS], []),
        # Handed back by the agent that was thought to own it.
        ([OPENING, OPENED, returned(A, ReturnReason.NOT_OWNER, DATA)], [(B, AskFrame)]),
        # An unsure agent hands it back: it isn't asked again.
        (
            [
                DATA,
                claim(A, Ownership.UNSURE),
                claim(B, Ownership.STRANGER),
                returned(A, ReturnReason.NOT_OWNER, DATA),
            ],
            [],
        ),
    ],
)
def test_later_packets(words, frames):
    actions, _ = play(words)
    assert sent(actions) == frames


@pytest.mark.parametrize(
    ("words", "resets", "doubts"),
    [
        (DENIED, 0, 1),
        ([*DENIED, "listed"], 1, 1),
        ([DATA, claim(A, Ownership.STRANGER), "listed"], 0, 0),
        ([DATA, CLAIM_PATIENCE_MS, "listed"], 0, 0),
        ([FINISH, *DENIED[1:], "listed"], 0, 0),
        # The store knows an agent that wasn't asked.
        ([*DENIED, (C, "added"), "listed"], 0, 1),
        ([*DENIED, (C, "added"), "listed", claim(C, Ownership.OWNER)], 0, 1),
        (
            [*DENIED, (C, "added"), "listed", claim(C, Ownership.STRANGER), "listed"],
            1,
            2,
        ),
        # Missing agents are asked too.
        ([(B, "missing"), DATA, claim(A, Ownership.STRANGER), "listed"], 0, 0),
    ],
)
def test_flows_that_nobody_owns(words, resets, doubts):
    actions, driver = play(words)
    assert sum(isinstance(one, ResetClient) for one in actions) == resets
    assert driver.doubts == doubts


@pytest.mark.parametrize(
    ("age", "runs", "resets"),
    [
        # A balancer that has just started may not know an agent whose entry lapsed.
        (0, (None, None), 0),
        (0, (60_000, 60_000), 0),
        (0, (1_000, 60_000), 0),
        (MISSING_GRACE_MS, (60_000, 60_000), 0),
        (MISSING_GRACE_MS + 1, (60_000, 60_000), 1),
        # All started together: no flow of before is left.
        (0, (1_000, 900), 1),
        (1_500, (1_500 + RESTART_SPREAD_MS - 1, 900), 1),
        (1_500, (1_500 + RESTART_SPREAD_MS, 900), 0),
    ],
)
def test_a_balancer_that_has_just_started_ends_no_flow_of_before(age, runs, resets):
    stranger = Ownership.STRANGER
    claims = [claim(a, stranger, run_age=b) for a, b in zip((A, B), runs, strict=True)]
    actions, _ = play([DATA, *claims, "listed"], age=age)
    assert sum(isinstance(one, ResetClient) for one in actions) == resets


@pytest.mark.parametrize("packet", [OPENING, DATA])
def test_entry_without_a_route_is_reset(packet):
    (reset,), _ = play([make_site(2, routes={}), packet])
    assert reset == ResetClient(FLOW, packet.acknowledged or 0)


def test_a_forged_acceptance_goes_nowhere():
    actions, _ = play([make_packet(FLOW, PacketKind.ACCEPT, 5, 1)])
    assert actions == []


@pytest.mark.parametrize(
    ("version", "frames", "newer"),
    [(1, [], 0), (0, [(A, ScopeFrame)], 0), (7, [], 1)],
)
def test_versions_are_compared_with_every_word(version, frames, newer):
    actions, driver = play([(A, LoadFrame(load(version=version)))])
    assert (sent(actions), driver.newer) == (frames, newer)


def test_a_version_never_falls():
    _, driver = play([make_site(7), make_site(3)])
    assert driver.core.site.version == 7


def test_missing_agents_are_told():
    _, driver = play([(A, "missing")])
    assert sent(driver.core.tell_missing()) == [(A, MissingFrame)]


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (0, 1)])
def test_a_route_of_several_services_keeps_its_weights(weights):
    services = tuple(
        WeightedService(name, weight)
        for name, weight in zip(("order", "drawings"), weights, strict=True)
    )
    driver = Driver(agents=(A,))
    driver.roster.put("d", AgentEntry(B, "drawings", "zone-a"))
    driver.core.apply_site(make_site(2, routes={ENTRY: Route("r", services)}))
    count = 2_000
    found = {A: 0, B: 0}
    for number in range(count):
        flow = FlowKey(number.to_bytes(4, "big") + FLOW[4:])
        opening = make_packet(flow, PacketKind.OPEN)
        peers = [one.peer for one in driver.do(opening) if isinstance(one, SendFrame)]
        driver.core.on_frame(OpenedFrame(flow, load(version=2)), peers[0], driver.now)
        found[peers[0]] += 1
    assert found[A] / count == pytest.approx(weights[0] / sum(weights), abs=0.04)


def make_view(port, word, now, zone="zone-a"):
    view = AgentView(AgentEntry(Endpoint("10.0.0.2", port), "order", zone))
    if word is not None:
        view.hear(word, now)
    return view


@pytest.mark.parametrize(
    ("words", "zones", "chosen"),
    [
        ([load(busy=1), load()], "aa", 1),
        ([load(service_us=50_000), load(service_us=20_000)], "aa", 1),
        ([load(busy=1, slots=3), load(busy=1)], "aa", 0),
        ([load(service_us=20_000), load(service_us=20_000)], "ba", 1),
        # Load goes before the zone.
        ([load(service_us=20_000), load(busy=1, service_us=20_000)], "ba", 0),
        ([None, load(busy=1)], "aa", 0),
    ],
)
def test_least_wait(words, zones, chosen):
    chooser = LeastWaitChooser("zone-a", Random(1))
    views = [
        make_view(port, word, START, f"zone-{zone}")
        for port, (word, zone) in enumerate(zip(words, zones, strict=True), start=1)
    ]
    assert chooser.choose(FLOW, views, Millis(START)) is views[chosen]


@pytest.mark.parametrize(
    "chooser", [RoundRobinChooser(), RandomChooser(Random(1)), HashChooser()]
)
def test_baselines_use_every_agent(chooser):
    views = [make_view(port, None, START) for port in (1, 2, 3)]
    flows = [FlowKey(bytes((number,)) + FLOW[1:]) for number in range(60)]
    chosen = {chooser.choose(flow, views, Millis(START)).endpoint for flow in flows}
    assert len(chosen) == 3
