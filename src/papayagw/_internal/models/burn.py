"""Data of the burn report, which tracks the use of error budgets."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.report import FlowCounts, Side


class Objective(Enum):
    """A kind of service-level objective."""

    AVAILABILITY = "availability"
    LATENCY = "latency"
    IMBALANCE = "imbalance"


class Risk(Enum):
    """How urgently an objective needs attention, in ascending order."""

    NONE = "none"
    TICKET = "ticket"
    """The budget will run out early: investigate within days."""
    PAGE = "page"
    """The budget is being used up quickly: investigate now."""
    SPENT = "spent"
    """The budget is used up."""

    @property
    def rank(self) -> int:
        """The position in the order of urgency."""
        return tuple(Risk).index(self)

    @classmethod
    def find_worst(cls, risks: Iterable["Risk"]) -> "Risk":
        """Return the most urgent of `risks`."""
        return max(risks, key=lambda risk: risk.rank, default=cls.NONE)


@dataclass(frozen=True, slots=True)
class Window:
    """A time window that ends with the newest record.

    Attributes
    ----------
    name : str
        The length as text.
    length_ms : Millis
        The length in ms.
    """

    name: str
    length_ms: Millis


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn rate of an error budget in one window.

    Attributes
    ----------
    window : str
        The name of the window.
    burn : float
        The burn rate: at 1 exactly the budget is used up; 0 if it can't be determined.
    value : float
        The share of bad flows or openings, or the ratio for imbalance.
    flows : int
        The number of flows or openings in the window.
    """

    window: str
    burn: float
    value: float
    flows: int


@dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """The burn rates and risk of one objective of a service.

    Attributes
    ----------
    objective : Objective
        The kind of objective.
    target : float
        The configured target.
    windows : tuple of WindowBurn
        From the shortest window to the longest, which is the budget's period.
    risk : Risk
        The urgency.
    """

    objective: Objective
    target: float
    windows: tuple[WindowBurn, ...]
    risk: Risk

    @property
    def spent(self) -> float:
        """The share of the budget used up in the recorded period."""
        return self.windows[-1].burn


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """The load of a backend server or an availability zone.

    Attributes
    ----------
    name : str
        The name of the instance or zone.
    load : float
        Work divided by capacity, in ms of work per second and unit of weight.
    opened : int
        The number of flows opened at the backend server, or at those of the zone.
    cut : int
        The number of flows that were cut there, see `FlowCounts.cut`.
    """

    name: str
    load: float
    opened: int
    cut: int


@dataclass(frozen=True, slots=True)
class Balance:
    """The distribution of load over instances or zones.

    Attributes
    ----------
    groups : tuple of GroupLoad
        The groups, sorted by name.
    ratio : float
        The highest load divided by the mean: 1 if the load is even, 0 if there was
        no work.
    """

    groups: tuple[GroupLoad, ...]
    ratio: float


@dataclass(frozen=True, slots=True)
class SideCounts:
    """The flow counts of one end of the flows.

    Attributes
    ----------
    side : Side
        The end of the flows.
    counts : FlowCounts
        The flow counts.
    """

    side: Side
    counts: FlowCounts


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """The objectives, flow counts and load distribution of one service.

    Attributes
    ----------
    service : str
        The name of the service.
    objectives : tuple of ObjectiveBurn
        The burn of each objective.
    sides : tuple of SideCounts
        The flow counts of the whole period.
    by_backend : Balance
        The load distribution over backend servers in the whole period.
    by_zone : Balance
        The load distribution over availability zones in the whole period.
    """

    service: str
    objectives: tuple[ObjectiveBurn, ...]
    sides: tuple[SideCounts, ...]
    by_backend: Balance
    by_zone: Balance

    @property
    def risk(self) -> Risk:
        """The highest risk of all objectives."""
        return Risk.find_worst(one.risk for one in self.objectives)


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The burn rates of all services over the recorded period.

    Attributes
    ----------
    start_ms : Millis
        The start of the records, in ms since the Unix epoch.
    end_ms : Millis
        The end of the records, in ms since the Unix epoch.
    services : tuple of ServiceBurn
        The services, sorted by name.
    notes : tuple of str
        Caveats about the records.
    """

    start_ms: Millis
    end_ms: Millis
    services: tuple[ServiceBurn, ...]
    notes: tuple[str, ...] = ()

    @property
    def risk(self) -> Risk:
        """The highest risk of all services."""
        return Risk.find_worst(one.risk for one in self.services)
