"""Tests of the routing decisions of a balancer of the plain front end."""

from dataclasses import replace
from random import Random

import pytest

from papayagw._internal.core.plain.balancer import (
    POWER_LOSS_VALIDITY_MS,
    PROBE_INTERVAL_MS,
    RESTART_SPREAD_MS,
    PlainBalancer,
)
from papayagw._internal.core.plain.early_packets import MAX_EARLY_AGE_MS
from papayagw._internal.core.plain.membership.roster import (
    BUSY_BACKOFF_MS,
    MAX_LOAD_AGE_MS,
    MISSING_GRACE_MS,
    UNAVAILABLE_VALIDITY_MS,
    AgentView,
    Roster,
)
from papayagw._internal.core.plain.ownership import pending_lookups
from papayagw._internal.core.plain.ownership.batching import MIN_QUERY_INTERVAL_MS
from papayagw._internal.core.plain.ownership.owner_lookup import (
    CHECK_INTERVAL_MS,
    READ_INTERVAL_MS,
)
from papayagw._internal.core.plain.ownership.pending_lookups import (
    LOOKUP_RETRY_MS,
    LOOKUP_VALIDITY_MS,
    REPLY_TIMEOUT_MS,
)
from papayagw._internal.core.plain.placement.choice import (
    HashChooser,
    LeastWaitChooser,
    RandomChooser,
    RoundRobinChooser,
)
from papayagw._internal.core.plain.placement.openings import (
    COPY_AGES_MS,
    MIN_RETRY_MS,
    OFFER_TIMEOUT_MS,
    OPENING_TIMEOUT_MS,
)
from papayagw._internal.core.plain.routing.route_history import RouteHistory
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import LogEvent, ResetClient, SendFrame
from papayagw._internal.models.plain.frame import (
    EntryMissingFrame,
    ForwardFrame,
    LoadFrame,
    OpenedFrame,
    OpenFrame,
    OwnerQueryFrame,
    OwnerReply,
    OwnerReplyFrame,
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
from papayagw._internal.models.plain.packet import (
    MAX_COPY_AGE_MS,
    FlowKey,
    PacketKind,
)
from papayagw._internal.models.plain.site import Route, SiteVersion, WeightedService
from tests.lib.plain_world import ENTRY, FLOW_LIMIT_MS, make_packet, make_site

A, B, C = (Endpoint("10.0.0.2", port) for port in (1, 2, 3))
DRAWINGS_AGENT = Endpoint("10.0.0.4", 1)
"""Agent of the service "drawings"."""

FLOW = FlowKey(b"\x64\x40\x00\x07\x9c\x41" + ENTRY)
OPENING = make_packet(FLOW, PacketKind.OPEN)
COPY = make_packet(FLOW, PacketKind.OPEN, copy=1)
DATA = make_packet(FLOW, PacketKind.DATA, 1, 501, payload=10)
FINISH = make_packet(FLOW, PacketKind.FINISH, 11, 501)
ABORT = make_packet(FLOW, PacketKind.ABORT, 11, 501)
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
    """Select the first candidate, so that the tables are deterministic."""

    def choose(self, flow, candidates, now):
        return candidates[0]


class Driver:
    """Run the steps of a table on a balancer that knows agents A and B.

    A step is a packet from a client, an agent with its frame or a change of its store
    entry, a configuration, "listed" for a full read of the agents' entries, or a number
    of milliseconds to pass.
    """

    def __init__(
        self, agents=(A, B), chooser=None, age=MISSING_GRACE_MS + 1, order=None
    ):
        self.roster = Roster()
        for endpoint in agents:
            self.add(endpoint)
        self.not_found = self.newer = 0
        self.history = RouteHistory(FLOW_LIMIT_MS)
        self.core = PlainBalancer(
            self.roster,
            self.history,
            chooser or FirstChooser(),
            self.count_newer,
            self.count_not_found,
            order=order,
        )
        self.core.apply_site(make_site(), START)
        self.core.on_agents_listed(START - age)
        self.now = START

    def add(self, endpoint):
        entry = AgentEntry(endpoint, "order", "zone-a")
        self.roster.put(str(endpoint), entry, 1)

    def count_not_found(self):
        self.not_found += 1

    def count_newer(self):
        self.newer += 1

    def run_step(self, step):
        """Run a step, and the timer that is due then, as the event loop does."""
        actions = self.apply_step(step)
        due_at = self.core.due_at
        if due_at is not None and due_at <= self.now:
            actions += self.core.on_timer(self.now)
        return actions

    def apply_step(self, step):
        core = self.core
        match step:
            case int():
                self.now += step
                return core.on_timer(self.now)
            case "listed":
                return core.on_agents_listed(self.now)
            case SiteVersion():
                core.apply_site(step, self.now)
                return []
            case (Endpoint() as agent, "missing"):
                self.roster.mark_missing(str(agent), self.now)
                return []
            case (Endpoint() as agent, "added"):
                self.add(agent)
                return []
            case (Endpoint() as agent, frame):
                return core.on_frame(frame, agent, self.now)
        return core.on_client_packet(step, self.now)


def run_steps(steps, **options):
    """Return the actions of the last step without log events, and the driver."""
    driver = Driver(**options)
    actions = []
    for step in steps:
        actions = driver.run_step(step)
    return [one for one in actions if not isinstance(one, LogEvent)], driver


def returned(agent, reason, packet=OPENING, report=None):
    """Return the step in which an agent returns a packet."""
    return (agent, ReturnFrame(reason, packet, report or load()))


def owner_reply(agent, ownership, **fields):
    """Return the step in which an agent replies to an owner query."""
    return (agent, OwnerReplyFrame((OwnerReply(FLOW, ownership),), load(**fields)))


def sent(actions):
    """Return the receiver and type of each frame sent."""
    return [
        (one.peer, type(one.frame)) for one in actions if isinstance(one, SendFrame)
    ]


def queried(actions):
    """Return the agents that were queried for the owner of a flow, without probes."""
    return [
        one.peer
        for one in actions
        if isinstance(one, SendFrame)
        and isinstance(one.frame, OwnerQueryFrame)
        and one.frame.queries
    ]


def load_report(agent, availability, **fields):
    """Return the step in which an agent reports its load."""
    return (agent, LoadFrame(load(availability, **fields)))


OPENED = (A, OpenedFrame(FLOW, load()))
OTHER = make_packet(FlowKey(bytes((9,)) + FLOW[1:]), PacketKind.OPEN)
BUSY_REJECTION = [
    OPENING,
    returned(A, ReturnReason.BUSY, report=load(busy=2)),
    (B, OpenedFrame(FLOW, load())),
]
DENIED = [
    DATA,
    owner_reply(A, Ownership.NOT_OWNER),
    owner_reply(B, Ownership.NOT_OWNER),
]
NOT_READY = Availability.UNREADY
YOUNG_REPORTS = [
    load_report(agent, Availability.READY, run_age=300) for agent in (A, B)
]
"""Steps in which both agents report that their backend servers have just started."""

LATE_REPORT = load_report(B, Availability.READY)


@pytest.mark.parametrize(
    ("steps", "frames"),
    [
        ([OPENING], [(A, OpenFrame)]),
        # Until an agent accepts, each copy is offered to another agent.
        ([OPENING, COPY], [(B, OpenFrame)]),
        ([OPENING, OPENED, COPY], [(A, OpenFrame)]),
        ([OPENING, OFFER_TIMEOUT_MS], [(B, OpenFrame)]),
        ([OPENING, OPENED, OFFER_TIMEOUT_MS], []),
        ([OPENING, OFFER_TIMEOUT_MS, (A, LoadFrame(load()))], []),
        ([OPENING, returned(A, ReturnReason.FULL)], [(B, OpenFrame)]),
        ([OPENING, returned(A, ReturnReason.BUSY)], [(B, OpenFrame)]),
        ([OPENING, returned(A, ReturnReason.DRAINING)], [(B, OpenFrame)]),
        ([OPENING, returned(A, ReturnReason.OLD_VERSION)], []),
        # A return from an agent that the opening isn't offered to is ignored.
        ([OPENING, returned(B, ReturnReason.FULL)], []),
        ([load_report(A, NOT_READY), OPENING], [(B, OpenFrame)]),
        ([load_report(A, Availability.DRAINING), OPENING], [(B, OpenFrame)]),
        ([load_report(A, Availability.LEAVING), OPENING], [(B, OpenFrame)]),
        (
            [load_report(A, NOT_READY), UNAVAILABLE_VALIDITY_MS + 1, OPENING],
            [(A, OpenFrame)],
        ),
        # A busy agent gets no offers until it reports free capacity or time passes.
        ([*BUSY_REJECTION, MAX_LOAD_AGE_MS + 1, OTHER], [(B, OpenFrame)]),
        (
            [*BUSY_REJECTION, load_report(A, Availability.READY), OTHER],
            [(A, OpenFrame)],
        ),
        ([*BUSY_REJECTION, BUSY_BACKOFF_MS, OTHER], [(A, OpenFrame)]),
        ([load_report(A, NOT_READY), load_report(B, NOT_READY), OPENING], []),
        ([load_report(A, Availability.READY, busy=2), OPENING], [(B, OpenFrame)]),
        ([(A, "missing"), OPENING], [(A, OpenFrame)]),
        ([(A, "missing"), MISSING_GRACE_MS + 1, OPENING], [(B, OpenFrame)]),
        # Both agents are suspect: the opening waits for another round of offers, as an
        # offer to a suspect agent is better than none.
        (
            [OPENING, OFFER_TIMEOUT_MS, OFFER_TIMEOUT_MS, 0],
            [],
        ),
    ],
)
def test_openings(steps, frames):
    """The last step results in the given frames, and in no reset."""
    actions, _ = run_steps(steps)
    assert sent(actions) == frames
    assert not any(isinstance(one, ResetClient) for one in actions)


def test_an_opening_that_backend_servers_decline_is_refused_at_once():
    steps = [OPENING, returned(A, ReturnReason.FULL), returned(B, ReturnReason.FULL)]
    (reset,), _ = run_steps(steps)
    assert reset == ResetClient(FLOW, 0)


UNANSWERED = [OPENING, OFFER_TIMEOUT_MS]
"""Steps after which agent A hasn't answered its offer, and B has one."""


@pytest.mark.parametrize(
    ("steps", "is_reset"),
    [
        # Agent A may have accepted the opening, and the client may use the flow.
        ([*UNANSWERED, returned(B, ReturnReason.FULL)], False),
        # So may another agent, by way of another balancer.
        ([COPY, returned(A, ReturnReason.FULL), returned(B, ReturnReason.FULL)], False),
        # A late return of agent A shows that it hasn't.
        (
            [
                *UNANSWERED,
                returned(A, ReturnReason.FULL),
                returned(B, ReturnReason.FULL),
            ],
            True,
        ),
    ],
)
def test_an_opening_that_may_have_been_accepted_isnt_refused(steps, is_reset):
    actions, driver = run_steps(steps)
    assert actions == ([ResetClient(FLOW, 0)] if is_reset else [])
    late = driver.run_step(OPENING_TIMEOUT_MS)
    assert not any(isinstance(one, ResetClient) for one in late)


def test_an_opening_that_nobody_is_ready_for_is_offered_until_its_client_gives_up():
    driver = Driver()
    driver.run_step(load_report(A, NOT_READY))
    driver.run_step(load_report(B, NOT_READY))
    driver.run_step(OPENING)
    resets = []
    copies = [START + age for age in COPY_AGES_MS[1:]]
    while driver.core.due_at is not None and driver.now < START + 3_000:
        driver.run_step(load_report(A, NOT_READY))
        driver.run_step(load_report(B, NOT_READY))
        next_at = min([driver.core.due_at, *copies])
        actions = driver.run_step(next_at - driver.now)
        if next_at in copies:
            copies.remove(next_at)
            number = len(COPY_AGES_MS) - len(copies) - 1
            driver.run_step(make_packet(FLOW, PacketKind.OPEN, copy=number))
        resets += [driver.now for one in actions if isinstance(one, ResetClient)]
    assert len(resets) == 1
    assert OPENING_TIMEOUT_MS // 2 < resets[0] - START <= OPENING_TIMEOUT_MS


D = Endpoint("10.0.0.2", 4)
YOUNG_MS, OLD_MS = 300, 60_000
"""Age of a backend server that lost power just now, and of one that didn't."""


def deny(*agents, run_age=YOUNG_MS):
    """Return the steps in which agents deny that they own the flow."""
    return [owner_reply(one, Ownership.NOT_OWNER, run_age=run_age) for one in agents]


@pytest.mark.parametrize(
    ("steps", "is_reset"),
    [
        # Agent D is lost for good: its backend server lost power with the others.
        ([DATA, *deny(A, B, C), REPLY_TIMEOUT_MS], True),
        # Its backend server hasn't come back.
        ([DATA, *deny(A, B, C), owner_reply(D, Ownership.UNKNOWN)], True),
        # It may have been cut off for a while, with a backend server that goes on.
        ([DATA, *deny(A, B), *deny(C, run_age=OLD_MS), REPLY_TIMEOUT_MS], False),
        # Too few are known to have lost power.
        ([DATA, *deny(A, B), *deny(C, run_age=None), REPLY_TIMEOUT_MS], False),
        # It has been heard, and is only slow to reply.
        (
            [
                load_report(D, Availability.READY, run_age=YOUNG_MS),
                DATA,
                *deny(A, B, C),
                REPLY_TIMEOUT_MS,
            ],
            False,
        ),
        # Asked too late: it may have accepted a flow since by way of another balancer.
        (
            [RESTART_SPREAD_MS + 1, DATA, *deny(A, B, C), REPLY_TIMEOUT_MS],
            False,
        ),
        (
            [
                DATA,
                *deny(A, B, C),
                # The balancer froze, and asked nothing meanwhile.
                RESTART_SPREAD_MS + 1,
                DATA,
                *deny(A, B, C),
                REPLY_TIMEOUT_MS,
            ],
            False,
        ),
        # It has had a report, and was restarted since.
        (
            [
                load_report(D, Availability.READY, run_age=YOUNG_MS),
                DATA,
                *deny(A, B, C),
                owner_reply(D, Ownership.UNKNOWN, run_age=None),
            ],
            False,
        ),
        # It may own a flow that was opened since its backend server started.
        (
            [
                DATA,
                *deny(A, B, C),
                owner_reply(D, Ownership.UNKNOWN, run_age=YOUNG_MS),
            ],
            False,
        ),
        ([POWER_LOSS_VALIDITY_MS + 1, DATA, *deny(A, B, C), REPLY_TIMEOUT_MS], False),
    ],
)
def test_flows_from_before_a_loss_of_power_end_without_a_lost_agent(steps, is_reset):
    """Otherwise their clients would wait until the lost agent's entry expires."""
    actions, driver = run_steps([*steps, "listed"], agents=(A, B, C, D), age=0)
    assert actions == ([ResetClient(FLOW, 501)] if is_reset else [])
    assert driver.not_found == is_reset


@pytest.mark.parametrize("age", [0, OLD_MS])
@pytest.mark.parametrize(
    ("others", "run_age", "is_reset"),
    [
        # Servers on other machines started at the same time, by clocks of their own.
        (deny(A, B, C), YOUNG_MS, True),
        ([*deny(A, B), *deny(C, run_age=OLD_MS)], YOUNG_MS, True),
        (deny(A, B, C), YOUNG_MS + RESTART_SPREAD_MS + 1, False),
        # The agent's own clock may have been set back.
        (deny(A, B, C, run_age=OLD_MS), YOUNG_MS, False),
        ([*deny(A), *deny(B, C, run_age=OLD_MS)], YOUNG_MS, False),
        (deny(A, B, C, run_age=None), YOUNG_MS, False),
    ],
)
def test_an_unconfirmed_denial_counts_if_other_clocks_confirm_it(
    others, run_age, is_reset, age
):
    """Otherwise a restarted agent's live flows would be reset after a clock was set."""
    reply = owner_reply(D, Ownership.UNCONFIRMED, run_age=run_age)
    agents = (A, B, C, D)
    actions, driver = run_steps([DATA, *others, reply], agents=agents, age=age)
    assert sent(actions) == ([] if is_reset else [(D, ForwardFrame)])
    assert driver.not_found == is_reset


@pytest.mark.parametrize(
    ("steps", "probed"),
    [
        ([], []),
        ([DATA], [A, B, C]),
        ([DATA, *deny(A, B)], [C]),
        ([DATA, *deny(A, B), *deny(C, run_age=None)], [C]),
        ([DATA, *deny(A, B, C)], []),
        # First asked too late for its silence to mean anything.
        ([RESTART_SPREAD_MS + 1, DATA], []),
        ([POWER_LOSS_VALIDITY_MS + 1, DATA], []),
    ],
)
def test_agents_without_a_report_are_asked_all_the_while(steps, probed):
    _, driver = run_steps(steps, agents=(A, B, C), age=0)
    driver.run_step(REPLY_TIMEOUT_MS)
    probes = [driver.run_step(PROBE_INTERVAL_MS) for _ in range(3)]
    expected = [(agent, OwnerQueryFrame) for agent in probed]
    assert [sent(actions) for actions in probes] == [expected] * 3


class EarlyDriver(Driver):
    """Run steps on a balancer that knows nothing yet; "site" applies the routes."""

    def __init__(self):
        self.roster = Roster()
        self.history = RouteHistory(FLOW_LIMIT_MS)
        self.core = PlainBalancer(self.roster, self.history, FirstChooser())
        self.now = START

    def apply_step(self, step):
        match step:
            case "site":
                self.core.apply_site(make_site(), self.now)
                return self.core.handle_early_packets(self.now)
            case "listed":
                for endpoint in (A, B):
                    self.add(endpoint)
        return super().apply_step(step)


@pytest.mark.parametrize("ready", [("site", "listed"), ("listed", "site")])
@pytest.mark.parametrize(
    ("steps", "frames"),
    [
        ([OPENING], [(A, OpenFrame)]),
        ([OPENING, 200, COPY], [(A, OpenFrame)]),
        ([DATA], [(A, OwnerQueryFrame), (B, OwnerQueryFrame)]),
        ([OPENING, MAX_EARLY_AGE_MS + 1], []),
        ([OPENING, MAX_EARLY_AGE_MS + 1, COPY], [(A, OpenFrame)]),
        ([], []),
    ],
)
def test_packets_are_held_until_routes_and_agents_are_known(steps, frames, ready):
    driver = EarlyDriver()
    for step in (*steps, ready[0]):
        assert driver.run_step(step) == []
    assert sent(driver.run_step(ready[1])) == frames
    assert sent(driver.run_step("listed")) == []


def test_a_held_opening_keeps_its_age_and_the_newest_goes_first():
    driver = EarlyDriver()
    for step in (OPENING, 300, OTHER, "site"):
        driver.run_step(step)
    actions = driver.run_step("listed")
    offered = [one.frame.packet.flow for one in actions if isinstance(one, SendFrame)]
    assert offered == [OTHER.flow, FLOW]
    (accepted,) = driver.run_step(OPENED)
    assert accepted.fields["ms"] == 300


def test_the_newest_waiting_opening_goes_first_and_priority_before_that():
    routes = {
        ENTRY: Route("low", (WeightedService("order", 1.0),), priority=2),
        b"\x00\x50" + ENTRY[2:]: Route(
            "high", (WeightedService("order", 1.0),), priority=1
        ),
    }
    driver = Driver(agents=(A,))
    driver.core.apply_site(make_site(2, routes=routes), START)
    driver.run_step(load_report(A, NOT_READY, version=2))
    flows = [
        FlowKey(bytes((1,)) + FLOW[1:]),
        FlowKey(bytes((2,)) + FLOW[1:]),
        FlowKey(FLOW[:6] + b"\x00\x50" + ENTRY[2:]),
    ]
    for flow in (flows[2], flows[0], flows[1]):
        driver.run_step(make_packet(flow, PacketKind.OPEN))
    actions = driver.run_step(load_report(A, Availability.READY, version=2, slots=4))
    offered = [one.frame.packet.flow for one in actions if isinstance(one, SendFrame)]
    assert offered == [flows[2], flows[1], flows[0]]


@pytest.mark.parametrize(
    ("step", "frames"),
    [
        (load_report(B, Availability.READY), [(B, OpenFrame)]),
        (load_report(B, Availability.READY, busy=1), [(B, OpenFrame)]),
        (load_report(B, Availability.READY, busy=2), []),
        (load_report(B, Availability.DRAINING), []),
    ],
)
def test_an_opening_that_waits_goes_to_the_first_agent_with_room(step, frames):
    busy = [load_report(agent, Availability.READY, busy=2) for agent in (A, B)]
    actions, _ = run_steps([*busy, OPENING, step])
    assert sent(actions) == frames


@pytest.mark.parametrize(
    ("site", "receivers"),
    [
        (make_site(2), [A]),
        (make_site(2, "drawings"), [DRAWINGS_AGENT]),
        (make_site(2, routes={}), []),
    ],
)
def test_an_opening_that_waits_goes_to_no_service_that_its_route_has_lost(
    site, receivers
):
    driver = Driver(agents=(A,))
    entry = AgentEntry(DRAWINGS_AGENT, "drawings", "zone-a")
    driver.roster.put(str(DRAWINGS_AGENT), entry, 1)
    for step in (load_report(A, NOT_READY), OPENING, site):
        driver.run_step(step)
    frames = [
        *sent(driver.run_step(load_report(A, Availability.READY))),
        *sent(driver.run_step(MIN_RETRY_MS)),
    ]
    assert [agent for agent, frame in frames if frame is OpenFrame] == receivers


def test_an_opening_that_waits_is_offered_to_one_agent():
    busy = [load_report(agent, Availability.READY, busy=2) for agent in (A, B)]
    free = [load_report(agent, Availability.READY) for agent in (A, B)]
    actions, _ = run_steps([*busy, OPENING, *free])
    assert sent(actions) == []


@pytest.mark.parametrize(("copy", "age_ms"), [(0, 0), (1, 200), (2, 600), (3, 600)])
def test_an_opening_is_as_old_as_its_copy_says(copy, age_ms):
    driver = Driver()
    for agent in (A, B):
        driver.run_step(load_report(agent, NOT_READY))
    driver.run_step(make_packet(FLOW, PacketKind.OPEN, copy=copy))
    ended_at = None
    while ended_at is None:
        for agent in (A, B):
            driver.run_step(load_report(agent, NOT_READY))
        actions = driver.run_step(driver.core.due_at - driver.now)
        # The other copies may have gone to another balancer, so there is no reset.
        assert not any(isinstance(one, ResetClient) for one in actions)
        if any(one.event == "opening dropped" for one in actions):
            ended_at = driver.now
    assert OPENING_TIMEOUT_MS // 2 < ended_at - START + age_ms <= OPENING_TIMEOUT_MS


@pytest.mark.parametrize(
    ("steps", "frames"),
    [
        ([OPENING, DATA], [(A, ForwardFrame)]),
        ([OPENING, OPENED, DATA], [(A, ForwardFrame)]),
        ([DATA], [(A, OwnerQueryFrame), (B, OwnerQueryFrame)]),
        ([DATA, DATA], []),
        ([DATA, owner_reply(B, Ownership.OWNER)], [(B, ForwardFrame)]),
        (
            [DATA, DATA, owner_reply(B, Ownership.OWNER)],
            [(B, ForwardFrame), (B, ForwardFrame)],
        ),
        ([DATA, owner_reply(B, Ownership.OWNER), DATA], [(B, ForwardFrame)]),
        ([DATA, owner_reply(A, Ownership.UNKNOWN)], []),
        (
            [
                DATA,
                owner_reply(A, Ownership.UNKNOWN),
                owner_reply(B, Ownership.NOT_OWNER),
            ],
            [(A, ForwardFrame)],
        ),
        (
            [DATA, owner_reply(A, Ownership.UNKNOWN), REPLY_TIMEOUT_MS],
            [(A, ForwardFrame)],
        ),
        # Possible owners get only two packets of a flow, the confirmed owner all.
        (
            [
                *[DATA] * 4,
                owner_reply(A, Ownership.UNKNOWN),
                owner_reply(B, Ownership.NOT_OWNER),
            ],
            [(A, ForwardFrame)] * 2,
        ),
        (
            [
                *[DATA] * 4,
                owner_reply(A, Ownership.UNKNOWN),
                owner_reply(B, Ownership.NOT_OWNER),
                owner_reply(A, Ownership.OWNER),
            ],
            [(A, ForwardFrame)] * 2,
        ),
        ([DATA, REPLY_TIMEOUT_MS], []),
        # An abort is sent to a known owner, but isn't worth a query to every agent.
        ([ABORT], []),
        ([OPENING, OPENED, ABORT], [(A, ForwardFrame)]),
        ([OPENING, OPENED, returned(A, ReturnReason.NOT_OWNER, ABORT)], []),
        (
            [DATA, ABORT, owner_reply(B, Ownership.OWNER)],
            [(B, ForwardFrame), (B, ForwardFrame)],
        ),
        # Returned by the cached owner: the other agent is queried.
        (
            [OPENING, OPENED, returned(A, ReturnReason.NOT_OWNER, DATA)],
            [(B, OwnerQueryFrame)],
        ),
        # Returned twice, as the network duplicated the frame.
        (
            [
                OPENING,
                OPENED,
                *[returned(A, ReturnReason.NOT_OWNER, DATA)] * 2,
                owner_reply(B, Ownership.OWNER),
            ],
            [(B, ForwardFrame)],
        ),
        # Returned by a possible owner, which isn't queried again.
        (
            [
                DATA,
                owner_reply(A, Ownership.UNKNOWN),
                owner_reply(B, Ownership.NOT_OWNER),
                returned(A, ReturnReason.NOT_OWNER, DATA),
            ],
            [],
        ),
    ],
)
def test_later_packets(steps, frames):
    """A packet of an accepted flow results in the given frames."""
    actions, _ = run_steps(steps)
    assert sent(actions) == frames


USED_PORT_OPENING = make_packet(FLOW, PacketKind.OPEN, 7_000)


@pytest.mark.parametrize(
    ("end", "wait_ms", "opening", "receiver"),
    [
        ([], 0, OPENING, A),
        ([], MAX_COPY_AGE_MS, OPENING, A),
        ([], MAX_COPY_AGE_MS + 1, OPENING, DRAWINGS_AGENT),
        ([], 0, USED_PORT_OPENING, DRAWINGS_AGENT),
        ([], 10_000, USED_PORT_OPENING, DRAWINGS_AGENT),
        ([FINISH], 10_000, OPENING, DRAWINGS_AGENT),
        ([FINISH], 0, USED_PORT_OPENING, DRAWINGS_AGENT),
        ([ABORT], 10_000, OPENING, DRAWINGS_AGENT),
        ([ABORT], 0, USED_PORT_OPENING, DRAWINGS_AGENT),
    ],
)
@pytest.mark.parametrize("is_read_before", [True, False])
def test_a_new_flow_from_a_used_port_goes_to_the_routes_new_service(
    end, wait_ms, opening, receiver, is_read_before
):
    """Only a copy of the accepted opening goes to the earlier owner."""
    driver = Driver()
    entry = AgentEntry(DRAWINGS_AGENT, "drawings", "zone-a")
    driver.roster.put(str(DRAWINGS_AGENT), entry, 1)
    steps = [OPENING, OPENED, *([DATA] if is_read_before else []), *end]
    for step in (*steps, wait_ms, make_site(2, "drawings")):
        driver.run_step(step)
    assert sent(driver.run_step(opening)) == [(receiver, OpenFrame)]


def test_a_new_flow_at_a_balancer_that_looked_up_the_earlier_ones_owner():
    """It hasn't seen the earlier opening, so that none can be a copy of that."""
    driver = Driver()
    entry = AgentEntry(DRAWINGS_AGENT, "drawings", "zone-a")
    driver.roster.put(str(DRAWINGS_AGENT), entry, 1)
    for step in (DATA, owner_reply(A, Ownership.OWNER), make_site(2, "drawings")):
        driver.run_step(step)
    assert sent(driver.run_step(OPENING)) == [(DRAWINGS_AGENT, OpenFrame)]


@pytest.mark.parametrize("has_other_key", [True, False])
def test_an_agent_at_a_reused_endpoint_is_asked_before_a_flow_is_reset(has_other_key):
    """The agent that was asked there before it denied for its own service only."""
    driver = Driver()
    entries = [
        AgentEntry(DRAWINGS_AGENT, service, "zone-a")
        for service in ("drawings", "order")
    ]
    driver.run_step(make_site(2, "order", "drawings"))
    driver.roster.put("a1", entries[0], 1)
    denials = [owner_reply(one, Ownership.NOT_OWNER) for one in (A, B, DRAWINGS_AGENT)]
    for step in (DATA, *denials, MIN_QUERY_INTERVAL_MS):
        driver.run_step(step)
    driver.roster.put("a10" if has_other_key else "a1", entries[1], 2)
    assert sent(driver.run_step("listed")) == [(DRAWINGS_AGENT, OwnerQueryFrame)]
    driver.run_step(owner_reply(DRAWINGS_AGENT, Ownership.OWNER))
    assert driver.run_step("listed") == []


def test_an_opening_from_a_used_port_replaces_one_in_progress():
    driver = Driver()
    driver.run_step(OPENING)
    assert sent(driver.run_step(USED_PORT_OPENING)) == [(A, OpenFrame)]
    driver.run_step(OPENED)
    driver.run_step(make_site(2, "drawings"))
    assert sent(driver.run_step(USED_PORT_OPENING)) == [(A, OpenFrame)]


@pytest.mark.parametrize(
    ("services", "age_ms", "asked"),
    [
        ([("order",)], 0, 2),
        ([("order",), ("drawings",)], 0, 5),
        ([("order",), ("drawings",), ("order",)], 0, 5),
        ([("order",), ("drawings",)], FLOW_LIMIT_MS, 5),
        ([("order",), ("drawings",)], FLOW_LIMIT_MS + 1, 3),
    ],
)
def test_a_lookup_asks_only_agents_of_services_that_the_route_has_or_lost(
    services, age_ms, asked
):
    driver = Driver()
    for number, service in enumerate(("drawings",) * 3 + ("intake",) * 50):
        endpoint = Endpoint("10.0.0.3", number + 1)
        entry = AgentEntry(endpoint, service, "zone-a")
        driver.roster.put(str(endpoint), entry, 1)
    for version, names in enumerate(services, 2):
        driver.run_step(make_site(version, *names))
    driver.run_step(age_ms)
    assert (
        sent(driver.run_step(DATA))
        == [
            (one.endpoint, OwnerQueryFrame)
            for name in dict.fromkeys(sum(reversed(services), ()))
            for one in driver.roster.list_service(name)
        ][:asked]
    )


@pytest.mark.parametrize(
    ("steps", "resets", "not_found"),
    [
        (DENIED, 0, 1),
        ([*DENIED, "listed"], 1, 1),
        ([DATA, owner_reply(A, Ownership.NOT_OWNER), "listed"], 0, 0),
        ([DATA, REPLY_TIMEOUT_MS, "listed"], 0, 0),
        # A client that gave up sends its end again until it is answered.
        ([FINISH, *DENIED[1:], "listed"], 1, 1),
        ([*DENIED, FINISH, "listed"], 1, 1),
        # An abort needs no answer.
        ([ABORT, *DENIED[1:], "listed"], 0, 0),
        ([DATA, ABORT, *DENIED[1:], "listed"], 0, 0),
        ([*DENIED, ABORT, "listed"], 0, 1),
        # The store holds an agent that hasn't been queried.
        ([*DENIED, (C, "added"), "listed"], 0, 1),
        ([*DENIED, (C, "added"), "listed", owner_reply(C, Ownership.OWNER)], 0, 1),
        (
            [
                *DENIED,
                (C, "added"),
                "listed",
                owner_reply(C, Ownership.NOT_OWNER),
                "listed",
            ],
            1,
            2,
        ),
        # Agents missing from the store are queried too.
        ([(B, "missing"), DATA, owner_reply(A, Ownership.NOT_OWNER), "listed"], 0, 0),
    ],
)
def test_flows_that_nobody_owns(steps, resets, not_found):
    """Flows are reset once all agents deny them and the store was read again."""
    actions, driver = run_steps(steps)
    assert sum(isinstance(one, ResetClient) for one in actions) == resets
    assert driver.not_found == not_found


RETRANSMISSION_MS = 1_600
"""Longest interval between a client's retransmissions of a packet."""


@pytest.mark.parametrize(
    ("steps", "frames", "resets"),
    [
        # The list of agents isn't certain yet: the denials are kept.
        ([*DENIED, "listed", RETRANSMISSION_MS, DATA], [], 0),
        ([*DENIED, "listed", MISSING_GRACE_MS + 1, DATA, "listed"], [], 1),
        # It becomes certain by the agents' reports, without another read.
        ([*DENIED, "listed", *YOUNG_REPORTS, CHECK_INTERVAL_MS], [], 1),
        ([*DENIED, "listed", YOUNG_REPORTS[0], CHECK_INTERVAL_MS], [], 0),
        ([*DENIED, *YOUNG_REPORTS, CHECK_INTERVAL_MS], [], 0),
        # An agent became known after the read.
        (
            [
                *DENIED,
                "listed",
                (C, "added"),
                *YOUNG_REPORTS,
                load_report(C, Availability.READY, run_age=300),
                CHECK_INTERVAL_MS,
            ],
            [C],
            0,
        ),
        # The store is away, while the client sends its packet again.
        ([*DENIED, *[RETRANSMISSION_MS, DATA] * 5], [], 0),
        ([*DENIED, *[RETRANSMISSION_MS, DATA] * 5, "listed", "listed"], [], 0),
        # The client has given up.
        ([*DENIED, "listed", LOOKUP_VALIDITY_MS, "listed"], [], 0),
        ([*DENIED, LOOKUP_VALIDITY_MS, DATA], [A, B], 0),
        # The client may have opened another flow from its port.
        (
            [*DENIED, MIN_QUERY_INTERVAL_MS, replace(DATA, acknowledged=901)],
            [A, B],
            0,
        ),
        ([*DENIED, OPENING, OPENED, "listed", MISSING_GRACE_MS + 1, "listed"], [], 0),
        # Only the agents that haven't denied the flow are queried again.
        ([*DENIED[:2], REPLY_TIMEOUT_MS, DATA], [], 0),
        ([*DENIED[:2], LOOKUP_RETRY_MS - 1, DATA], [], 0),
        ([*DENIED[:2], LOOKUP_RETRY_MS, DATA], [B], 0),
        (
            [
                *DENIED[:2],
                owner_reply(B, Ownership.UNKNOWN),
                LOOKUP_RETRY_MS,
                DATA,
            ],
            [B],
            0,
        ),
        (
            [*DENIED[:2], LOOKUP_RETRY_MS, (C, "added"), LOOKUP_RETRY_MS, DATA],
            [B, C],
            0,
        ),
        # One that returned a packet of the flow isn't queried for it.
        (
            [
                OPENING,
                OPENED,
                returned(A, ReturnReason.NOT_OWNER, DATA),
                owner_reply(B, Ownership.NOT_OWNER),
                "listed",
            ],
            [],
            0,
        ),
    ],
)
def test_denials_are_kept_until_the_list_of_agents_is_certain(steps, frames, resets):
    """Otherwise each retransmission of a dead flow queries all agents again."""
    actions, _ = run_steps(steps, age=0)
    assert queried(actions) == frames
    assert sum(isinstance(one, ResetClient) for one in actions) == resets


@pytest.mark.parametrize(
    ("steps", "frames", "resets"),
    [
        # A late denial completes the lookup.
        ([DENIED[2], "listed"], [], 1),
        # The agent had not started when it was queried; another reply of it is lost.
        ([LOOKUP_RETRY_MS, LATE_REPORT], [B], 0),
        ([LOOKUP_RETRY_MS, LATE_REPORT, LATE_REPORT], [], 0),
        ([LOOKUP_RETRY_MS, LATE_REPORT, DENIED[2], "listed"], [], 1),
        # The reply to the query may still be under way.
        ([LATE_REPORT], [], 0),
        ([LATE_REPORT, LOOKUP_RETRY_MS, LATE_REPORT], [B], 0),
        # An agent that may own the flow gets its next packet.
        ([owner_reply(B, Ownership.UNKNOWN), "listed"], [], 0),
        ([owner_reply(B, Ownership.OWNER), "listed"], [], 0),
    ],
)
def test_replies_after_the_timeout_count(steps, frames, resets):
    """A slow balancer, or an agent that starts later, would never end a dead flow."""
    actions, _ = run_steps([*DENIED[:2], REPLY_TIMEOUT_MS, *steps])
    assert queried(actions) == frames
    assert sum(isinstance(one, ResetClient) for one in actions) == resets


@pytest.mark.parametrize(
    "opened",
    [
        [OPENING, OPENED],
        # The flow's owner is known by a frame only, without its opening.
        [OPENED],
    ],
)
def test_a_late_denial_doesnt_reset_a_later_flow_from_the_port(opened):
    """The reply is on the earlier flow, which the client has given up."""
    late = [DENIED[2], "listed"]
    actions, _ = run_steps([*DENIED[:2], REPLY_TIMEOUT_MS, *opened, *late])
    assert not [one for one in actions if isinstance(one, ResetClient)]


def test_kept_denials_dont_keep_other_flows_from_being_looked_up(monkeypatch):
    """A limit that counts them would leave flows of live servers without an owner."""
    monkeypatch.setattr(pending_lookups, "MAX_LOOKUPS", 1)
    driver = Driver()
    other = replace(DATA, flow=OTHER.flow)
    assert len(sent(driver.run_step(DATA))) == 2
    assert sent(driver.run_step(other)) == []
    for step in (*DENIED[1:], LOOKUP_RETRY_MS):
        driver.run_step(step)
    assert len(sent(driver.run_step(other))) == 2


def test_the_agents_are_read_again_while_their_list_isnt_certain():
    _, driver = run_steps([*DENIED, "listed"], age=0)
    assert driver.not_found == 1
    while driver.now < START + READ_INTERVAL_MS:
        driver.run_step(driver.core.due_at - driver.now)
    assert driver.not_found == 2


@pytest.mark.parametrize(
    ("age", "runs", "resets"),
    [
        # A balancer that has just started may not know an agent whose entry expired.
        (0, (None, None), 0),
        (0, (60_000, 60_000), 0),
        (0, (1_000, 60_000), 0),
        (MISSING_GRACE_MS, (60_000, 60_000), 0),
        (MISSING_GRACE_MS + 1, (60_000, 60_000), 1),
        # All backend servers have just started, so no earlier flow exists.
        (0, (1_000, 900), 1),
        (1_500, (1_500 + RESTART_SPREAD_MS - 1, 900), 1),
        (1_500, (1_500 + RESTART_SPREAD_MS, 900), 0),
    ],
)
def test_a_balancer_that_has_just_started_resets_no_earlier_flow(age, runs, resets):
    not_owner = Ownership.NOT_OWNER
    replies = [
        owner_reply(a, not_owner, run_age=b) for a, b in zip((A, B), runs, strict=True)
    ]
    actions, _ = run_steps([DATA, *replies, "listed"], age=age)
    assert sum(isinstance(one, ResetClient) for one in actions) == resets


@pytest.mark.parametrize("packet", [OPENING, DATA])
def test_entry_without_a_route_is_reset(packet):
    (reset,), _ = run_steps([make_site(2, routes={}), packet])
    assert reset == ResetClient(FLOW, packet.acknowledged or 0)


def test_a_forged_acceptance_is_dropped():
    actions, _ = run_steps([make_packet(FLOW, PacketKind.ACCEPT, 5, 1)])
    assert actions == []


@pytest.mark.parametrize(
    ("version", "frames", "newer"),
    [(1, [], 0), (0, [(A, ScopeFrame)], 0), (7, [], 1)],
)
def test_versions_are_compared_with_every_load_report(version, frames, newer):
    actions, driver = run_steps([(A, LoadFrame(load(version=version)))])
    assert (sent(actions), driver.newer) == (frames, newer)


def test_an_older_version_is_not_applied():
    _, driver = run_steps([make_site(7), make_site(3)])
    assert driver.core.site.version == 7


def test_missing_agents_are_notified():
    _, driver = run_steps([(A, "missing")])
    assert sent(driver.core.notify_missing_agents()) == [(A, EntryMissingFrame)]


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (0, 1)])
def test_a_route_of_several_services_keeps_its_weights(weights):
    services = tuple(
        WeightedService(name, weight)
        for name, weight in zip(("order", "drawings"), weights, strict=True)
    )
    driver = Driver(agents=(A,))
    driver.roster.put("d", AgentEntry(B, "drawings", "zone-a"), 2)
    driver.core.apply_site(make_site(2, routes={ENTRY: Route("r", services)}), START)
    count = 2_000
    found = {A: 0, B: 0}
    for number in range(count):
        flow = FlowKey(number.to_bytes(4, "big") + FLOW[4:])
        opening = make_packet(flow, PacketKind.OPEN)
        peers = [
            one.peer for one in driver.run_step(opening) if isinstance(one, SendFrame)
        ]
        driver.core.on_frame(OpenedFrame(flow, load(version=2)), peers[0], driver.now)
        found[peers[0]] += 1
    assert found[A] / count == pytest.approx(weights[0] / sum(weights), abs=0.04)


def make_view(port, report, now, zone="zone-a"):
    """Return a view of an agent that has sent `report`, if not None."""
    view = AgentView(AgentEntry(Endpoint("10.0.0.2", port), "order", zone), 1)
    if report is not None:
        view.record_load(report, now)
    return view


@pytest.mark.parametrize(
    ("reports", "zones", "chosen"),
    [
        ([load(busy=1), load()], "aa", 1),
        ([load(service_us=50_000), load(service_us=20_000)], "aa", 1),
        ([load(busy=1, slots=3), load(busy=1)], "aa", 0),
        ([load(service_us=20_000), load(service_us=20_000)], "ba", 1),
        # Load takes precedence over the zone.
        ([load(service_us=20_000), load(busy=1, service_us=20_000)], "ba", 0),
        ([None, load(busy=1)], "aa", 0),
    ],
)
def test_least_wait(reports, zones, chosen):
    chooser = LeastWaitChooser("zone-a", Random(1))
    views = [
        make_view(port, report, START, f"zone-{zone}")
        for port, (report, zone) in enumerate(zip(reports, zones, strict=True), start=1)
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
