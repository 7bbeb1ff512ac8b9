"""The report on service-level burn, as data."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.report import FlowCounts, Side


class Objective(Enum):
    """What a service is held against."""

    AVAILABILITY = "availability"
    LATENCY = "latency"
    IMBALANCE = "imbalance"


class Risk(Enum):
    """How urgent an objective is; a later one outranks an earlier one."""

    NONE = "none"
    TICKET = "ticket"
    """The budget won't last: look at it within days."""
    PAGE = "page"
    """The budget goes fast: look at it now."""
    SPENT = "spent"
    """The budget is spent."""

    @property
    def rank(self) -> int:
        """Its place in the order of urgency."""
        return tuple(Risk).index(self)

    @classmethod
    def find_worst(cls, risks: Iterable["Risk"]) -> "Risk":
        """Return the most urgent of `risks`."""
        return max(risks, key=lambda risk: risk.rank, default=cls.NONE)


@dataclass(frozen=True, slots=True)
class Window:
    """A stretch of time that ends with the newest record.

    Attributes
    ----------
    name : str
        Its length in words.
    length_ms : Millis
        Its length.
    """

    name: str
    length_ms: Millis


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """How fast a budget went in one window.

    Attributes
    ----------
    window : str
        The name of the window.
    burn : float
        1 uses up exactly the budget; 0 where nothing can be said.
    value : float
        The share of bad flows or openings; for imbalance the ratio.
    flows : int
        The flows or openings of the window.
    """

    window: str
    burn: float
    value: float
    flows: int


@dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """How one objective of a service stands.

    Attributes
    ----------
    objective : Objective
        Which one.
    target : float
        What the settings ask for.
    windows : tuple of WindowBurn
        From the shortest window to the longest, which is the budget's period.
    risk : Risk
        How urgent it is.
    """

    objective: Objective
    target: float
    windows: tuple[WindowBurn, ...]
    risk: Risk

    @property
    def spent(self) -> float:
        """The share of the recorded period's budget that is used up."""
        return self.windows[-1].burn


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """The load of a backend server or an availability zone.

    Attributes
    ----------
    name : str
        The instance or zone.
    load : float
        Work over capacity: work in ms a second for each unit of weight.
    opened : int
        Flows that it accepted.
    cut : int
        Flows that broke there.
    """

    name: str
    load: float
    opened: int
    cut: int


@dataclass(frozen=True, slots=True)
class Balance:
    """How evenly work is spread.

    Attributes
    ----------
    groups : tuple of GroupLoad
        In order of their names.
    ratio : float
        The highest load over the mean; 1 is even, 0 where there was no work.
    """

    groups: tuple[GroupLoad, ...]
    ratio: float


@dataclass(frozen=True, slots=True)
class SideCounts:
    """What one end of the flows counted.

    Attributes
    ----------
    side : Side
        Which end.
    counts : FlowCounts
        The flows.
    """

    side: Side
    counts: FlowCounts


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """How one service stands.

    Attributes
    ----------
    service : str
        The name of the service.
    objectives : tuple of ObjectiveBurn
        One for each objective.
    sides : tuple of SideCounts
        The flows of the whole period.
    by_backend : Balance
        Spread over backend servers, over the whole period.
    by_zone : Balance
        Spread over availability zones, over the whole period.
    """

    service: str
    objectives: tuple[ObjectiveBurn, ...]
    sides: tuple[SideCounts, ...]
    by_backend: Balance
    by_zone: Balance

    @property
    def risk(self) -> Risk:
        """The risk of the objective that is worst off."""
        return Risk.find_worst(one.risk for one in self.objectives)


@dataclass(frozen=True, slots=True)
class BurnReport:
    """How all services stand.

    Attributes
    ----------
    start_ms : Millis
        Where the records start, in ms since 1970.
    end_ms : Millis
        Where they end.
    services : tuple of ServiceBurn
        In order of their names.
    notes : tuple of str
        What the reader has to know about the records.
    """

    start_ms: Millis
    end_ms: Millis
    services: tuple[ServiceBurn, ...]
    notes: tuple[str, ...] = ()

    @property
    def risk(self) -> Risk:
        """The risk of the service that is worst off."""
        return Risk.find_worst(one.risk for one in self.services)
