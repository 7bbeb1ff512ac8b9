"""Service-level records: flow counts of one instance over an interval."""

from dataclasses import dataclass, field
from enum import Enum

from papayagw._internal.models.clock import Millis

LATENCY_BOUNDS_MS = (
    *(1, 2, 3, 5, 7, 10, 15, 20, 30, 50, 70, 100, 150, 200, 250, 300, 400, 500),
    *(700, 1_000, 1_500, 2_000, 3_000, 5_000, 10_000),
)
"""Inclusive upper bounds of the latency buckets in ms; one more bucket has no bound."""

LATENCY_BUCKETS = len(LATENCY_BOUNDS_MS) + 1
"""Number of latency buckets."""


class Side(Enum):
    """The end of a flow, the agent's or the caller's, at which it is counted."""

    AGENT = "agent"
    CALLER = "caller"


@dataclass(frozen=True, slots=True)
class FlowCounts:
    """Flow counts by outcome.

    Attributes
    ----------
    opened : int
        Flows with a connection to the backend server.
    refused : int
        Openings that were refused: no byte reached a backend server.
    unknown : int
        Flows that were cut before any answer, so that it is unknown whether the
        request was executed.
    broken : int
        Flows that were cut during their answer.
    lost : int
        Flows that were open in the last report of an agent before it restarted
        without draining.
    answered : tuple of int of length LATENCY_BUCKETS
        Flows whose opening was answered, for each bucket of `LATENCY_BOUNDS_MS` by
        the time from the opening to its answer.
    """

    opened: int = 0
    refused: int = 0
    unknown: int = 0
    broken: int = 0
    lost: int = 0
    answered: tuple[int, ...] = (0,) * LATENCY_BUCKETS

    @property
    def cut(self) -> int:
        """Number of flows that were interrupted: `unknown`, `broken` or `lost`."""
        return self.unknown + self.broken + self.lost

    def plus(self, other: "FlowCounts") -> "FlowCounts":
        """Return the sum of both counts, for each outcome."""
        return self._combine(other, 1)

    def minus(self, earlier: "FlowCounts") -> "FlowCounts":
        """Return the increase since the `earlier` counts, for each outcome."""
        return self._combine(earlier, -1)

    def _combine(self, other: "FlowCounts", sign: int) -> "FlowCounts":
        """Return these counts plus `sign` times `other`."""
        pairs = zip(self.answered, other.answered, strict=True)
        return FlowCounts(
            self.opened + sign * other.opened,
            self.refused + sign * other.refused,
            self.unknown + sign * other.unknown,
            self.broken + sign * other.broken,
            self.lost + sign * other.lost,
            tuple(mine + sign * theirs for mine, theirs in pairs),
        )


@dataclass(frozen=True, slots=True)
class ServiceTotals:
    """Totals of one service at one node since the node started.

    Attributes
    ----------
    service : str
        The name of the service.
    counts : FlowCounts
        The flow counts.
    flows_open : int
        The number of flows that are open now.
    work_ms : Millis
        The sum of the times in ms for which requests were in progress at the
        backend server.
    capacity : float
        The capacity of the backend server in units of announced weights; 0 where
        there is none, as on the callers' side.
    """

    service: str
    counts: FlowCounts = field(default_factory=FlowCounts)
    flows_open: int = 0
    work_ms: Millis = Millis(0)
    capacity: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """Flow counts and work of one service at one instance in one interval.

    Attributes
    ----------
    start_ms : Millis
        Start of the interval, in ms since the Unix epoch.
    end_ms : Millis
        End of the interval, in ms since the Unix epoch.
    service : str
        The name of the service.
    instance : str
        The name of the node that counted.
    zone : str
        The availability zone of the instance.
    side : Side
        The end of the flows at which they were counted.
    counts : FlowCounts
        The flow counts of the interval.
    work_ms : Millis
        The work in ms done in the interval, as in `ServiceTotals`.
    capacity : float
        The capacity of the backend server in units of announced weights.
    """

    start_ms: Millis
    end_ms: Millis
    service: str
    instance: str
    zone: str
    side: Side
    counts: FlowCounts
    work_ms: Millis = Millis(0)
    capacity: float = 0.0

    @property
    def duration_ms(self) -> Millis:
        """The length of the interval in ms."""
        return Millis(self.end_ms - self.start_ms)
