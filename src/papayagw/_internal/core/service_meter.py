"""Counters of the flows of one service at one node."""

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
"""Maximum number of latest latencies kept until `pop_latencies` is called."""


class ServiceMeter:
    """Totals of one service since the start of the node.

    Parameters
    ----------
    service : str
        Name of the service.
    side : Side
        End of the flows at which they are counted.
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
        """End of the flows at which they are counted."""
        return self._side

    def start_flow(self, now: Millis) -> "FlowMeter":
        """Return the meter of a flow whose opening arrived at `now`."""
        return FlowMeter(self, now)

    def record_opened(self, latency: Millis) -> None:
        """Record a flow that reached its backend server after `latency` ms."""
        self._opened += 1
        self._latencies.append(latency)
        self._answered[bisect_left(LATENCY_BOUNDS_MS, latency)] += 1

    def pop_latencies(self) -> tuple[Millis, ...]:
        """Remove and return the latest latencies of openings, in ms."""
        latencies = tuple(self._latencies)
        self._latencies.clear()
        return latencies

    def record_refused(self) -> None:
        """Record that an opening was refused."""
        self._refused += 1

    def record_cut(self, answer_started: bool) -> None:
        """Record an interrupted flow: broken if an answer had started, else unknown."""
        if answer_started:
            self._broken += 1
        else:
            self._unknown += 1

    def record_work(self, duration: Millis) -> None:
        """Record the time for which a request was in progress at the backend server."""
        self._work_ms += duration

    def report(self, flows_open: int, capacity: float = 0.0) -> ServiceTotals:
        """Return the totals of the service.

        Parameters
        ----------
        flows_open : int
            Number of currently open flows.
        capacity : float
            Capacity of the backend server, or 0 if there is none.
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
    """Recorder of one flow for the totals of its service.

    A request is in progress from the first bytes sent to the backend server until
    bytes are received from it. An idle open feed doesn't count as work.

    Parameters
    ----------
    service : ServiceMeter
        Totals to which the flow is added.
    opened_at : Millis
        Time at which the opening arrived.
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
        """Record that the backend server was reached."""
        self._opened = True
        self._service.record_opened(Millis(now - self._opened_at))

    def record_request(self, now: Millis) -> None:
        """Record that bytes were sent to the backend server."""
        if self._request_started_at is None:
            self._request_started_at = now

    def record_answer(self, now: Millis) -> None:
        """Record that bytes were received from the backend server."""
        self._answered = True
        self._end_request(now)

    def record_ended(self, outcome: FlowOutcome, now: Millis) -> None:
        """Record the outcome of the flow."""
        self._end_request(now)
        if outcome is FlowOutcome.REFUSED:
            self._service.record_refused()
        elif outcome is FlowOutcome.UNKNOWN and self._owns_flow():
            self._service.record_cut(self._answered)

    def _owns_flow(self) -> bool:
        """Return whether a cut of the flow counts at this node."""
        # An agent may also hold a duplicate of an opening accepted by another agent.
        return self._opened or self._service.side is Side.CALLER

    def _end_request(self, now: Millis) -> None:
        """Add the duration of the request in progress, if any, to the work."""
        if self._request_started_at is not None:
            self._service.record_work(Millis(now - self._request_started_at))
        self._request_started_at = None
