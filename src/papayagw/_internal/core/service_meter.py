"""Counting of what becomes of the flows of one service at one node."""

from bisect import bisect_left

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.report import (
    LATENCY_BOUNDS_MS,
    LATENCY_BUCKETS,
    FlowCounts,
    ServiceTotals,
)


class ServiceMeter:
    """Totals of one service since the node started.

    Parameters
    ----------
    service : str
        The name of the service.
    """

    def __init__(self, service: str):
        self._service = service
        self._opened = 0
        self._refused = 0
        self._unknown = 0
        self._broken = 0
        self._answered = [0] * LATENCY_BUCKETS
        self._work_ms = 0

    def note_opened(self) -> None:
        """Note that a flow was accepted."""
        self._opened += 1

    def note_refused(self) -> None:
        """Note that an opening was refused."""
        self._refused += 1

    def note_answered(self, latency: Millis) -> None:
        """Note that an opening was answered, `latency` after it came."""
        self._answered[bisect_left(LATENCY_BOUNDS_MS, latency)] += 1

    def note_broken(self, outcome: FlowOutcome) -> None:
        """Note that a flow was cut and what its caller was told."""
        if outcome is FlowOutcome.UNKNOWN:
            self._unknown += 1
        else:
            self._broken += 1

    def note_work(self, duration: Millis) -> None:
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
