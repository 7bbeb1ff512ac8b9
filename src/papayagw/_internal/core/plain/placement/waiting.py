"""Policies that select which waiting opening is offered next."""

from collections import Counter, deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from math import inf
from typing import Protocol

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.settings import AdmissionOrder

SELECTIONS_PER_SHARE = 10
"""Number of accepted openings of which a kind that waits gets at least one.

Required by the users: a kind of higher priority must not starve the others.
"""

MAX_ADVANCE = 5 * SELECTIONS_PER_SHARE
"""Number of accepted openings for which a kind may have had its share in advance.

Without an advance, a kind that is served often enough, but at irregular intervals,
would also take precedence over a higher priority.
"""

RATE_WINDOW_MS = Millis(1_000)
"""Time over which accepted openings are counted.

Longer than most objectives, and short enough to follow the loss of servers.
"""

RATE_MARGIN = 2.0
"""Factor on the expected time until all waiting openings are accepted.

With 1 the order gains more at the limit of the capacity and loses more at twice of it,
where openings then wait until their objective can no longer be met.
"""

ANSWER_OVERHEAD_MS = Millis(10)
"""Time for the handshake and the round trip of a request, between zones."""

SERVICE_TIME_FACTOR = 1.5
"""Expected time at a server with free capacity, in service times.

It takes up to two requests a slot, so half a service time is spent waiting.
"""

MICROS_PER_MILLISECOND = 1_000


class Worth(IntEnum):
    """Worth of an answer to the client, best first."""

    FULL = 0
    """Within the objective."""
    LATE = 1
    """After the objective, within the deadline."""
    NONE = 2
    """After the deadline."""


@dataclass(frozen=True, slots=True)
class WaitingOpening:
    """What the order of a waiting opening depends on.

    Attributes
    ----------
    kind : str
        The kind of request; each gets a least share.
    priority : int
        Priority of its route: 0 before 1.
    age_ms : Millis
        Time since the client sent the first copy.
    objective_ms : Millis or None
        Time within which an answer has its full value; None if none is stated.
    timeout_ms : Millis or None
        Time after which an answer has no value; None if none is stated.
    """

    kind: str
    priority: int
    age_ms: Millis
    objective_ms: Millis | None
    timeout_ms: Millis | None

    def worth(self, answer_ms: Millis) -> Worth:
        """Return what an answer after another `answer_ms` is worth."""
        answered_at = self.age_ms + answer_ms
        if self.objective_ms is None or answered_at <= self.objective_ms:
            return Worth.FULL
        if self.timeout_ms is None or answered_at <= self.timeout_ms:
            return Worth.LATE
        return Worth.NONE

    def left_ms(self, answer_ms: Millis) -> float:
        """Return how long the opening may still wait to meet its objective.

        Infinite if none is stated.
        """
        if self.objective_ms is None:
            return inf
        return self.objective_ms - self.age_ms - answer_ms


@dataclass(frozen=True, slots=True)
class Selection:
    """A waiting opening that is offered, and why it goes first.

    Attributes
    ----------
    index : int
        Its position in the sequence that it was selected from.
    rule : str
        The rule that selected it, for the log.
    """

    index: int
    rule: str


class WaitingOrder(Protocol):
    """A policy that selects which waiting opening is offered next."""

    @property
    def is_logged(self) -> bool:
        """Whether its selections are logged."""

    def record_accepted(
        self, service: str, kind: str, now: Millis, *, was_selected: bool
    ) -> None:
        """Record that an opening of a service was accepted.

        Parameters
        ----------
        service : str
            The service.
        kind : str
            The kind of request.
        now : Millis
            Current time.
        was_selected : bool
            Whether `select` has returned it. Others found free capacity on arrival.
        """

    def rank(self, opening: WaitingOpening) -> tuple[int, int]:
        """Return the sort key of openings that are offered without known capacity."""

    def select(
        self,
        service: str,
        openings: Sequence[WaitingOpening],
        count: int,
        answer_ms: Millis,
        now: Millis,
    ) -> list[Selection]:
        """Return the next openings to offer, at most `count`.

        Parameters
        ----------
        service : str
            The service with free capacity.
        openings : sequence of WaitingOpening
            The openings that wait for it, newest first.
        count : int
            Number of openings that the agent can accept.
        answer_ms : Millis
            Expected time from an offer to the answer of the request.
        now : Millis
            Current time.
        """


class PriorityOrder:
    """Selects the higher priority first, then the newest."""

    is_logged = False

    def record_accepted(
        self, service: str, kind: str, now: Millis, *, was_selected: bool
    ) -> None:
        """Do nothing."""

    def rank(self, opening: WaitingOpening) -> tuple[int, int]:
        """Return the priority."""
        return (opening.priority, 0)

    def select(
        self,
        service: str,
        openings: Sequence[WaitingOpening],
        count: int,
        answer_ms: Millis,
        now: Millis,
    ) -> list[Selection]:
        """Return the openings of the highest priority, newest first."""
        indices = sorted(range(len(openings)), key=lambda one: openings[one].priority)
        return [Selection(index, "newest") for index in indices[:count]]


CREDIT_VALIDITY_MS = Millis(3_000)
"""How long a kind keeps its credit after it waited last.

A kind of few requests has gaps between two that wait. With the credit lost at each gap
it got no share at all.
"""


class ObjectiveOrder:
    """Selects by the value that an answer has to the clients.

    The higher priority goes first. Within a priority those that can meet their
    objective precede the others. While the rate of accepted openings shows that all of
    them can, the one with the least time left goes first, otherwise the newest, since
    then the oldest would meet their objective at the cost of all others.

    Each kind of request that waits gets at least one of `SELECTIONS_PER_SHARE`
    accepted openings.
    """

    is_logged = True

    def __init__(self) -> None:
        self._accepted_at: dict[str, deque[Millis]] = {}
        self._credits_by_service: dict[str, dict[str, int]] = {}
        self._waited_at: dict[tuple[str, str], Millis] = {}

    def record_accepted(
        self, service: str, kind: str, now: Millis, *, was_selected: bool
    ) -> None:
        """Count an opening towards the rate of its service and its kind's share."""
        accepted_at = self._accepted_at.setdefault(service, deque())
        accepted_at.append(now)
        self._count_accepted(service, now)
        if not was_selected and service in self._credits_by_service:
            self._update_credits(service, kind)

    def rank(self, opening: WaitingOpening) -> tuple[int, int]:
        """Return the priority, and the worth of an answer."""
        return (opening.priority, opening.worth(ANSWER_OVERHEAD_MS))

    def select(
        self,
        service: str,
        openings: Sequence[WaitingOpening],
        count: int,
        answer_ms: Millis,
        now: Millis,
    ) -> list[Selection]:
        """Return the openings of the highest value."""
        accepted = max(1, self._count_accepted(service, now))
        interval_ms = RATE_MARGIN * RATE_WINDOW_MS / accepted
        by_worth = _iterate_by_worth(
            openings, range(len(openings)), answer_ms, interval_ms
        )
        waiting = Counter(opening.kind for opening in openings)
        selected: dict[int, Selection] = {}
        while len(selected) < min(count, len(openings)):
            kind = self._find_owed_kind(service, +waiting, now)
            if kind is None:
                selection = next(one for one in by_worth if one.index not in selected)
            else:
                owed = [
                    index
                    for index, opening in enumerate(openings)
                    if opening.kind == kind and index not in selected
                ]
                first = next(_iterate_by_worth(openings, owed, answer_ms, interval_ms))
                selection = Selection(first.index, "least share")
            selected[selection.index] = selection
            waiting[openings[selection.index].kind] -= 1
            self._update_credits(service, openings[selection.index].kind)
        return list(selected.values())

    def _count_accepted(self, service: str, now: Millis) -> int:
        """Return the number of openings accepted within the window."""
        accepted_at = self._accepted_at.get(service)
        if accepted_at is None:
            return 0
        while accepted_at and now - accepted_at[0] > RATE_WINDOW_MS:
            accepted_at.popleft()
        return len(accepted_at)

    def _find_owed_kind(
        self, service: str, waiting: Iterable[str], now: Millis
    ) -> str | None:
        """Return the kind that hasn't got its least share while it waited, or None.

        A kind that hasn't waited for `CREDIT_VALIDITY_MS` loses its credit.
        """
        kinds = sorted(waiting)
        for kind in kinds:
            self._waited_at[service, kind] = now
        known = self._credits_by_service.get(service, {})
        oldest = now - CREDIT_VALIDITY_MS
        credits_by_kind = {
            kind: credit
            for kind, credit in known.items()
            if self._waited_at[service, kind] >= oldest
        }
        for kind in kinds:
            credits_by_kind.setdefault(kind, 0)
        self._credits_by_service[service] = credits_by_kind
        owed = max(kinds, key=lambda kind: credits_by_kind[kind])
        is_owed = credits_by_kind[owed] >= SELECTIONS_PER_SHARE - 1
        return owed if is_owed else None

    def _update_credits(self, service: str, kind: str) -> None:
        """Credit each kind that waits or did lately for an opening of `kind`.

        That kind is charged `SELECTIONS_PER_SHARE`, so that its share isn't less than
        one of them.
        """
        credits_by_kind = self._credits_by_service[service]
        for one in credits_by_kind:
            credits_by_kind[one] = min(credits_by_kind[one] + 1, MAX_ADVANCE)
        if kind in credits_by_kind:
            charged = credits_by_kind[kind] - SELECTIONS_PER_SHARE
            credits_by_kind[kind] = max(-MAX_ADVANCE, charged)


def make_order(order: AdmissionOrder) -> WaitingOrder:
    """Return the policy of a setting."""
    match order:
        case AdmissionOrder.PRIORITY:
            return PriorityOrder()
        case AdmissionOrder.DEADLINE:
            return ObjectiveOrder()


def expected_answer_ms(service_us: float) -> Millis:
    """Return the expected time from an offer to the answer of the request.

    Parameters
    ----------
    service_us : float
        Mean service time of a request, in microseconds.
    """
    service_ms = service_us / MICROS_PER_MILLISECOND
    return Millis(round(service_ms * SERVICE_TIME_FACTOR) + ANSWER_OVERHEAD_MS)


def _iterate_by_worth(
    openings: Sequence[WaitingOpening],
    candidates: Iterable[int],
    answer_ms: Millis,
    interval_ms: float,
) -> Iterator[Selection]:
    """Yield the candidates, the highest value first; they are sorted newest first."""
    by_rank: dict[tuple[int, Worth], list[int]] = {}
    for index in candidates:
        opening = openings[index]
        rank = (opening.priority, opening.worth(answer_ms))
        by_rank.setdefault(rank, []).append(index)
    for rank in sorted(by_rank):
        equals, rule = by_rank[rank], rank[1].name.lower()
        if rank[1] is Worth.FULL:
            left_ms = {one: openings[one].left_ms(answer_ms) for one in equals}
            by_time_left = sorted(equals, key=left_ms.__getitem__)
            can_all_meet = all(
                place * interval_ms <= left_ms[one]
                for place, one in enumerate(by_time_left)
            )
            rule = "least time left" if can_all_meet else "newest"
            equals = by_time_left if can_all_meet else equals
        for index in equals:
            yield Selection(index, rule)
