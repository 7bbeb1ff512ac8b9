"""Counting of what becomes of the flows of one service at one node."""

from bisect import bisect_left
from collections import deque

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.report import (
    LATENCY_BOUNDS_MS,
    LATENCY_BUCKETS,
    FlowCounts,
    ServiceTotals,
    Side,
)

MAX_LATENCIES = 1_000
"""The most latencies that are kept for the next timer."""


class ServiceMeter:
    """Totals of one service since the node started.

    Parameters
    ----------
    service : str
        The name of the service.
    side : Side
        Which end of the flows counts.
    """

    def __init__(self, service: str, side: Side):
        self._service = service
        self._side = side
        self._opened = 0
        self._refused = 0
        self._unknown = 0
        self._broken = 0
        self._answered = [0] * LATENCY_BUCKETS
        self._work_ms = 0
        self._latencies: deque[Millis] = deque(maxlen=MAX_LATENCIES)

    @property
    def side(self) -> Side:
        """Which end of the flows counts."""
        return self._side

    def start_flow(self, now: Millis) -> "FlowMeter":
        """Return the meter of a flow whose opening came now."""
        return FlowMeter(self, now)

    def record_opened(self, latency: Millis) -> None:
        """Note that a flow reached its backend server, `latency` after it came."""
        self._opened += 1
        self._latencies.append(latency)
        self._answered[bisect_left(LATENCY_BOUNDS_MS, latency)] += 1

    def pop_latencies(self) -> tuple[Millis, ...]:
        """Return the newest latencies of openings, each of them once."""
        latencies = tuple(self._latencies)
        self._latencies.clear()
        return latencies

    def record_refused(self) -> None:
        """Note that an opening was refused."""
        self._refused += 1

    def record_cut(self, answer_started: bool) -> None:
        """Note that a flow was cut, and whether an answer had begun."""
        if answer_started:
            self._broken += 1
        else:
            self._unknown += 1

    def record_work(self, duration: Millis) -> None:
        """Note that a request was in progress at the backend server for a while."""
        self._work_ms += duration

    def report(self, flows_open: int, capacity: float = 0.0) -> ServiceTotals:
        """Return the totals.

        Parameters
        ----------
        flows_open : int
            Flows open now.
        capacity : float
            The strength of the backend server; 0 where there is none.
        """
        counts = FlowCounts(
            opened=self._opened,
            refused=self._refused,
            unknown=self._unknown,
            broken=self._broken,
            answered=tuple(self._answered),
        )
        work = Millis(self._work_ms)
        return ServiceTotals(self._service, counts, flows_open, work, capacity)


class FlowMeter:
    """What one flow adds to the totals of its service.

    A request counts as in progress from the bytes that go to the backend server
    to those that come back; a feed that is merely held open is no work.

    Parameters
    ----------
    service : ServiceMeter
        The totals.
    opened_at : Millis
        When the opening came.
    """

    __slots__ = (
        "_answered",
        "_request_started_at",
        "_opened",
        "_opened_at",
        "_service",
    )

    def __init__(self, service: ServiceMeter, opened_at: Millis):
        self._service = service
        self._opened_at = opened_at
        self._opened = False
        self._answered = False
        self._request_started_at: Millis | None = None

    def record_opened(self, now: Millis) -> None:
        """Note that the backend server was reached."""
        self._opened = True
        self._service.record_opened(Millis(now - self._opened_at))

    def record_request(self, now: Millis) -> None:
        """Note that bytes go to the backend server."""
        if self._request_started_at is None:
            self._request_started_at = now

    def record_answer(self, now: Millis) -> None:
        """Note that bytes come from the backend server."""
        self._answered = True
        self._end_request(now)

    def record_ended(self, outcome: FlowOutcome, now: Millis) -> None:
        """Note how the flow ended."""
        self._end_request(now)
        if outcome is FlowOutcome.REFUSED:
            self._service.record_refused()
        elif outcome is FlowOutcome.UNKNOWN and self._owns_flow():
            self._service.record_cut(self._answered)

    def _owns_flow(self) -> bool:
        # An agent also holds copies of openings that another agent has latencies.
        return self._opened or self._service.side is Side.CALLER

    def _end_request(self, now: Millis) -> None:
        if self._request_started_at is not None:
            self._service.record_work(Millis(now - self._request_started_at))
        self._request_started_at = None
