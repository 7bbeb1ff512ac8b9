"""Worth of an answer to callers, by the order of waiting openings.

A load test without frames or network: clients that retry, balancers with an order, and
servers with slots. Run with ``python -m bench.waiting_order``;
``tests/unit/test_plain_waiting.py`` checks the gains.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, replace

from papayagw._internal.core.plain.placement.waiting import (
    ObjectiveOrder,
    PriorityOrder,
    Selection,
    WaitingOpening,
    expected_answer_ms,
)


class FirstComeOrder(PriorityOrder):
    """Selects the oldest opening."""

    def select(self, service, openings, count, answer_ms, now):
        """Return the oldest openings."""
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
        """Mean worth of an answer, over all requests."""
        return sum(self.worth.values()) / sum(self.asked.values())

    def after(self, delay, call, *arguments):
        """Schedule a call after a delay in ms."""
        event = (self.now + delay, next(self.tie), call, arguments)
        heapq.heappush(self.events, event)

    def ask(self, kind):
        """Begin a request, and schedule the next one of its kind."""
        if self.now > self.duration_ms:
            return
        is_burst = self.trouble.get("burst") == kind.name and 500 < self.now < 1_500
        rate = PER_MS * self.load * kind.share * (2.5 if is_burst else 1)
        self.after(self.random.expovariate(rate), self.ask, kind)
        self.asked[kind.name] += 1
        self.begin(Attempt(kind, self.now, 1, self.now))

    def begin(self, attempt):
        """Offer an attempt to a free server, or let it wait at a balancer."""
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
        """Give an attempt up, and begin the next one if there is one."""
        if attempt.is_open and attempt.number < ATTEMPTS:
            number = attempt.number + 1
            self.begin(Attempt(attempt.kind, attempt.asked_at, number, self.now))
        attempt.is_open = False

    def room(self, server):
        """Return how many openings a server can accept."""
        is_lost = "lost" in self.trouble and self.now > 500 and server % 2
        return 0 if is_lost else 2 * SLOTS - len(self.queues[server])

    def accept(self, attempt, balancer, server, *, was_selected):
        """Pass an attempt to a server."""
        attempt.is_open = False
        self.orders[balancer].record_accepted(
            "order", attempt.kind.name, self.now, was_selected=was_selected
        )
        self.queues[server].append(attempt)
        if len(self.queues[server]) <= SLOTS:
            self.serve(attempt, server)

    def serve(self, attempt, server):
        """Process a request in one slot."""
        slow = 10 if self.trouble.get("slow") == server else 1
        self.after(
            slow * self.random.gammavariate(4, SERVICE_MS / 4),
            self.finish,
            attempt,
            server,
        )

    def finish(self, attempt, server):
        """Count the answer, and offer the free capacity to balancers in turn."""
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


CASES = (
    *((load, {}) for load in (0.5, 1, 1.1, 1.5, 2, 4)),
    (0.9, {"burst": "b"}),
    (0.6, {"lost": True}),
    (0.9, {"slow": 0}),
)


def main():
    """Print the mean worth for each order, kinds of one priority first."""
    print("priorities", "load", "trouble", *(order.__name__ for order in ORDERS))
    for name, kinds in (("equal", EQUALS), ("unequal", KINDS)):
        for load, trouble in CASES:
            means = (mean_worth(order, kinds, load, **trouble) for order in ORDERS)
            print(name, load, trouble, *(f"{one:.3f}" for one in means), flush=True)


if __name__ == "__main__":
    main()
