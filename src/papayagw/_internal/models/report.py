"""Service-level records: what became of the flows of one instance in a while."""

from dataclasses import dataclass, field
from enum import Enum

from papayagw._internal.models.clock import Millis

LATENCY_BOUNDS_MS = (
    *(1, 2, 3, 5, 7, 10, 15, 20, 30, 50, 70, 100, 150, 200, 250, 300, 400, 500),
    *(700, 1_000, 1_500, 2_000, 3_000, 5_000, 10_000),
)
"""The highest latency that each bucket counts, in ms; one more counts the rest."""

LATENCY_BUCKETS = len(LATENCY_BOUNDS_MS) + 1


class Side(Enum):
    """Which end of the flows counted them."""

    AGENT = "agent"
    CALLER = "caller"


@dataclass(frozen=True, slots=True)
class FlowCounts:
    """Flows by what became of them.

    Attributes
    ----------
    opened : int
        Flows for which the backend server was reached.
    refused : int
        Openings that were refused: no byte reached a backend server.
    unknown : int
        Flows that were cut before any answer: whether the request ran is unknown.
    broken : int
        Flows that were cut in the middle of their answer.
    lost : int
        Flows that were open when an agent was last seen, before its next run
        started.
    answered : tuple of int of length LATENCY_BUCKETS
        Openings answered, by latency.
    """

    opened: int = 0
    refused: int = 0
    unknown: int = 0
    broken: int = 0
    lost: int = 0
    answered: tuple[int, ...] = (0,) * LATENCY_BUCKETS

    @property
    def cut(self) -> int:
        """Flows that broke, in whatever way."""
        return self.unknown + self.broken + self.lost

    def plus(self, other: "FlowCounts") -> "FlowCounts":
        """Return the sum of both."""
        return self._combine(other, 1)

    def minus(self, earlier: "FlowCounts") -> "FlowCounts":
        """Return what was added since `earlier`."""
        return self._combine(earlier, -1)

    def _combine(self, other: "FlowCounts", sign: int) -> "FlowCounts":
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
    """What one node has counted for one service since the node started.

    Attributes
    ----------
    service : str
        The name of the service.
    counts : FlowCounts
        The flows.
    flows_open : int
        Flows open now.
    work_ms : Millis
        The work done for the flows: the time for which requests were in progress
        at the backend server, added up.
    capacity : float
        The strength of the backend server, in the unit of announced weights.
        0 where there is none, as at the callers' side.
    """

    service: str
    counts: FlowCounts = field(default_factory=FlowCounts)
    flows_open: int = 0
    work_ms: Millis = Millis(0)
    capacity: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """What one instance did for one service in one interval.

    Attributes
    ----------
    start_ms : Millis
        Start of the interval, in ms since 1970.
    end_ms : Millis
        End of the interval, in ms since 1970.
    service : str
        The name of the service.
    instance : str
        The node that counted.
    zone : str
        Its availability zone.
    side : Side
        Which end of the flows it is.
    counts : FlowCounts
        The flows of the interval.
    work_ms : Millis
        The work done in the interval.
    capacity : float
        The strength of the backend server, in the unit of announced weights.
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
        """The length of the interval."""
        return Millis(self.end_ms - self.start_ms)
