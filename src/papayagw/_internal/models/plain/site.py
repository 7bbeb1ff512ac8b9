"""The operators' configuration, as used by the plain front end."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import EntryKey


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's new flows.

    Attributes
    ----------
    name : str
        Name of the service.
    weight : float
        Its share is `weight` divided by the sum of the route's weights.
    """

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services that new flows of one entry are routed to.

    Attributes
    ----------
    name : str
        The operators' name of the route.
    services : tuple of WeightedService
        One or more services that share the new flows by weight.
    priority : int
        Order in which new flows are served under overload: 0 before 1.
    type : str
        The operators' name of the kind of its requests; empty if none is stated.
    objective_ms : Millis or None
        Time within which an answer has its full value; None if none is stated.
    timeout_ms : Millis or None
        Time after which clients give a request up; None if none is stated.
    """

    name: str
    services: tuple[WeightedService, ...]
    priority: int = 0
    type: str = ""
    objective_ms: Millis | None = None
    timeout_ms: Millis | None = None


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What the configuration states on the cold servers of a service.

    Attributes
    ----------
    cold_start_ms : Millis
        How long a backend server is cold after its start.
    cold_per_s : float
        Requests a second that a cold backend server handles; 0 if none is stated.
    """

    cold_start_ms: Millis
    cold_per_s: float

    def is_cold_at(self, run_age_ms: Millis | None) -> bool:
        """Whether a server may be cold at an age, and a rate is stated for it."""
        if self.cold_per_s <= 0 or run_age_ms is None:
            return False
        return run_age_ms <= self.cold_start_ms


NO_LIMITS = ServiceLimits(Millis(0), 0.0)
"""The limits of a service that states none."""


@dataclass(frozen=True, slots=True)
class SiteVersion:
    """One accepted version of the configuration.

    Attributes
    ----------
    version : int
        Increases with each accepted change.
    routes : mapping of EntryKey to Route
        The route of each served entry.
    idle_timeout_ms : Millis
        How long an idle flow is kept.
    limits : mapping of str to ServiceLimits
        The limits of each service that states any.
    """

    version: int
    routes: Mapping[EntryKey, Route] = field(repr=False)
    idle_timeout_ms: Millis
    limits: Mapping[str, ServiceLimits] = field(default_factory=dict, repr=False)
