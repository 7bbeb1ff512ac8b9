"""Tests of the order of waiting openings, with a load test of what callers get."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, replace

import pytest

from papayagw._internal.core.plain.placement.waiting import (
    ObjectiveOrder,
    PriorityOrder,
    Selection,
    WaitingOpening,
    expected_answer_ms,
    make_order,
)
from papayagw._internal.models.plain.action import LogEvent, SendFrame
from papayagw._internal.models.plain.instance import Availability
from papayagw._internal.models.plain.packet import FlowKey, PacketKind
from papayagw._internal.models.plain.settings import AdmissionOrder
from papayagw._internal.models.plain.site import Route, WeightedService
from tests.lib.plain_world import ENTRY, make_packet, make_site
from tests.unit.test_plain_balancer import FLOW, START, A, Driver, load_report

OPENING = WaitingOpening("b", 1, 0, 600, 3_000)
LATE = replace(OPENING, age_ms=700)
EXPIRED = replace(OPENING, age_ms=1_200, timeout_ms=1_250)
HIGH = replace(OPENING, kind="a", priority=0)


@pytest.mark.parametrize(
    ("ages_ms", "accepted_per_s", "age_ms", "rule"),
    [
        ([0, 100, 200], 20, 200, "least time left"),
        # At 6 a second, with the margin, the second of three would be late.
        ([0, 100, 200, 540], 6, 0, "newest"),
        ([0, 100, 200, 540], 8, 200, "least time left"),
        ([0, 300, 500], 4, 0, "newest"),
        ([560, 700], 20, 560, "late"),
        ([700], 0, 700, "late"),
    ],
)
def test_the_one_that_is_offered_next(ages_ms, accepted_per_s, age_ms, rule):
    order = ObjectiveOrder()
    for _ in range(accepted_per_s):
        order.record_accepted("order", "b", 1_000, was_selected=True)
    openings = [replace(OPENING, age_ms=age) for age in ages_ms]
    [selection] = order.select("order", openings, 1, 70, 1_500)
    assert (ages_ms[selection.index], selection.rule) == (age_ms, rule)


@pytest.mark.parametrize(
    ("openings", "indices"),
    [
        ([OPENING, HIGH], [1, 0]),
        ([LATE, OPENING], [1, 0]),
        ([EXPIRED, LATE], [1, 0]),
        ([replace(HIGH, age_ms=700), OPENING], [0, 1]),
        # Without an objective, an opening is never late.
        ([replace(LATE, objective_ms=None), LATE], [0, 1]),
    ],
)
def test_order_of_unequal_openings(openings, indices):
    selected = ObjectiveOrder().select("order", openings, 5, 70, 0)
    assert [one.index for one in selected] == indices


@pytest.mark.parametrize("direct_per_selection", [0, 1, 3])
def test_a_kind_that_waits_gets_a_tenth(direct_per_selection):
    """Not more by itself if it gets a tenth by openings that find free capacity."""
    order, counts = ObjectiveOrder(), Counter()
    for _ in range(1_000):
        waiting = [HIGH, OPENING, replace(OPENING, kind="c")]
        [selection] = order.select("order", waiting, 1, 70, 0)
        counts[waiting[selection.index].kind] += 1
        for _ in range(direct_per_selection):
            order.record_accepted("order", "c", 0, was_selected=False)
            counts["c"] += 1
    total = sum(counts.values())
    assert all(counts[kind] >= total // 10 - 1 for kind in "abc")
    if direct_per_selection:
        assert counts["c"] == 1_000 * direct_per_selection


def test_priority_order_is_the_newest_first():
    """Without the setting, objectives and deadlines change nothing."""
    order = make_order(AdmissionOrder.PRIORITY)
    assert isinstance(order, PriorityOrder)
    openings = [EXPIRED, LATE, OPENING, HIGH]
    selected = order.select("order", openings, 3, 70, 0)
    assert selected == [Selection(one, "newest") for one in (3, 0, 1)]
    assert {order.rank(one) for one in openings} == {(1, 0), (0, 0)}


@pytest.mark.parametrize(
    ("order", "offered", "rule"),
    [(None, [1, 0], None), (ObjectiveOrder(), [0, 1], "least time left")],
)
def test_a_balancer_offers_in_the_order_of_its_setting(order, offered, rule):
    """Without the setting the newest goes first, and no event is added."""
    services = (WeightedService("order", 1.0),)
    route = Route("r1", services, 1, "b", objective_ms=600, timeout_ms=3_000)
    for _ in range(20 if order else 0):
        order.record_accepted("order", "b", START, was_selected=False)
    driver = Driver(agents=(A,), order=order)
    driver.run_step(make_site(2, routes={ENTRY: route}))
    driver.run_step(load_report(A, Availability.UNREADY, version=2))
    flows = [FlowKey(bytes((one,)) + FLOW[1:]) for one in range(2)]
    for flow in flows:
        driver.run_step(make_packet(flow, PacketKind.OPEN))
        driver.run_step(10)
    actions = driver.run_step(load_report(A, Availability.READY, version=2))
    frames = [one.frame for one in actions if isinstance(one, SendFrame)]
    assert [flows.index(one.packet.flow) for one in frames] == offered
    waited = [
        one.fields
        for one in actions
        if isinstance(one, LogEvent) and one.event == "opening waited"
    ]
    assert [one["rule"] for one in waited] == ([rule] * 2 if rule else [])
    assert [one["ms"] for one in waited] == ([20, 10] if rule else [])


# Load test: clients, balancers and servers, without frames or network.


class FirstComeOrder(PriorityOrder):
    """Selects the oldest opening."""

    def select(self, service, openings, count, answer_ms, now):
        oldest = sorted(range(len(openings)), key=lambda one: -openings[one].age_ms)
        return [Selection(one, "oldest") for one in oldest[:count]]


@dataclass(frozen=True)
class Kind:
    """A kind of request: its share of the load and what an answer is worth."""

    name: str
    share: float
    priority: int
    objective_ms: int
    timeout_ms: int
    late_worth: float


KINDS = (
    Kind("a", 0.3, 0, 277, 1_453, 0.4),
    Kind("b", 0.5, 1, 600, 3_000, 0.5),
    Kind("c", 0.2, 1, 944, 6_548, 0.3),
)
EQUALS = tuple(replace(kind, priority=1) for kind in KINDS)
SERVERS, SLOTS, SERVICE_MS, BALANCERS = 4, 2, 40, 2
PER_MS = SERVERS * SLOTS / SERVICE_MS
GIVE_UP_MS, MAX_WAIT_MS, ATTEMPTS = 1_400, 1_300, 3


@dataclass
class Attempt:
    """One flow of a request, which waits at a balancer until a server accepts it."""

    kind: Kind
    asked_at: float
    number: int
    began_at: float
    is_open: bool = True


class LoadTest:
    """Clients that retry twice, balancers with an order, and servers with slots."""

    def __init__(self, make, kinds, load, seed, **trouble):
        self.random = random.Random(seed)
        self.now, self.events, self.tie = 0.0, [], itertools.count()
        self.kinds, self.load, self.trouble = kinds, load, trouble
        self.orders = [make() for _ in range(BALANCERS)]
        self.waiting = [[] for _ in range(BALANCERS)]
        self.queues = [[] for _ in range(SERVERS)]
        self.turn, self.asked, self.worth = 0, Counter(), Counter()

    def run(self, duration_ms):
        """Run until all requests have ended; return the mean worth of each kind."""
        self.duration_ms = duration_ms
        for kind in self.kinds:
            self.after(0, self.ask, kind)
        while self.events:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        return {kind: self.worth[kind] / self.asked[kind] for kind in self.asked}

    @property
    def mean(self):
        return sum(self.worth.values()) / sum(self.asked.values())

    def after(self, delay, call, *arguments):
        event = (self.now + delay, next(self.tie), call, arguments)
        heapq.heappush(self.events, event)

    def ask(self, kind):
        if self.now > self.duration_ms:
            return
        is_burst = self.trouble.get("burst") == kind.name and 500 < self.now < 1_500
        rate = PER_MS * self.load * kind.share * (2.5 if is_burst else 1)
        self.after(self.random.expovariate(rate), self.ask, kind)
        self.asked[kind.name] += 1
        self.begin(Attempt(kind, self.now, 1, self.now))

    def begin(self, attempt):
        if self.now - attempt.asked_at >= attempt.kind.timeout_ms:
            return
        self.after(GIVE_UP_MS, self.retry, attempt)
        balancer = self.random.randrange(BALANCERS)
        free = [one for one in range(SERVERS) if self.room(one) > 0]
        if free:
            server = min(free, key=lambda one: len(self.queues[one]))
            self.accept(attempt, balancer, server, was_selected=False)
        else:
            self.waiting[balancer].append(attempt)

    def retry(self, attempt):
        if attempt.is_open and attempt.number < ATTEMPTS:
            number = attempt.number + 1
            self.begin(Attempt(attempt.kind, attempt.asked_at, number, self.now))
        attempt.is_open = False

    def room(self, server):
        is_lost = "lost" in self.trouble and self.now > 500 and server % 2
        return 0 if is_lost else 2 * SLOTS - len(self.queues[server])

    def accept(self, attempt, balancer, server, *, was_selected):
        attempt.is_open = False
        self.orders[balancer].record_accepted(
            "order", attempt.kind.name, self.now, was_selected=was_selected
        )
        self.queues[server].append(attempt)
        if len(self.queues[server]) <= SLOTS:
            self.serve(attempt, server)

    def serve(self, attempt, server):
        slow = 10 if self.trouble.get("slow") == server else 1
        self.after(
            slow * self.random.gammavariate(4, SERVICE_MS / 4),
            self.finish,
            attempt,
            server,
        )

    def finish(self, attempt, server):
        kind, age = attempt.kind, self.now + 6 - attempt.asked_at
        is_late = age > kind.objective_ms
        if age <= kind.timeout_ms:
            self.worth[kind.name] += kind.late_worth if is_late else 1
        queue = self.queues[server]
        queue.remove(attempt)
        if len(queue) >= SLOTS:
            self.serve(queue[SLOTS - 1], server)
        for _ in range(BALANCERS):
            if self.room(server) > 0:
                self.turn = (self.turn + 1) % BALANCERS
                self.offer(self.turn, server)

    def offer(self, balancer, server):
        """Offer one waiting opening of a balancer, as an agent notifies in turn."""
        waiting = self.waiting[balancer] = [
            one
            for one in self.waiting[balancer]
            if one.is_open and self.now - one.began_at <= MAX_WAIT_MS
        ]
        openings = [
            WaitingOpening(
                one.kind.name,
                one.kind.priority,
                self.now - one.began_at,
                one.kind.objective_ms,
                one.kind.timeout_ms,
            )
            for one in reversed(waiting)
        ]
        answer_ms = expected_answer_ms(1_000 * SERVICE_MS)
        selected = self.orders[balancer].select(
            "order", openings, 1, answer_ms, self.now
        )
        for selection in selected:
            attempt = waiting.pop(len(waiting) - 1 - selection.index)
            self.accept(attempt, balancer, server, was_selected=True)


def mean_worth(make, kinds, load, seeds=(1, 2, 3), duration_ms=2_000, **trouble):
    """Return the mean worth of an answer to callers, over several runs."""
    tests = [LoadTest(make, kinds, load, seed, **trouble) for seed in seeds]
    for test in tests:
        test.run(duration_ms)
    return sum(test.mean for test in tests) / len(tests)


ORDERS = (FirstComeOrder, PriorityOrder, ObjectiveOrder)


@pytest.mark.parametrize(
    ("load", "options", "gain_on_first_come", "gain_on_priority"),
    [
        (0.5, {}, 0, 0),
        (1, {}, 0.005, 0.02),
        (2, {}, 0.05, 0),
        (4, {"duration_ms": 1_000}, 0.05, 0),
        (0.9, {"burst": "b"}, 0.02, 0.02),
        (0.6, {"lost": True}, 0.02, 0.02),
        (0.9, {"slow": 0}, 0.01, 0.02),
    ],
)
def test_what_callers_get(load, options, gain_on_first_come, gain_on_priority):
    """Mean worth of an answer, with kinds of one priority.

    Guards against an order that makes callers late or wastes capacity on them.
    """
    first_come, by_priority, by_objective = (
        mean_worth(make, EQUALS, load, **options) for make in ORDERS
    )
    assert by_objective >= first_come + gain_on_first_come
    assert by_objective >= by_priority + gain_on_priority
