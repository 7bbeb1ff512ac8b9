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
    """

    name: str
    services: tuple[WeightedService, ...]
    priority: int = 0


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
    """

    version: int
    routes: Mapping[EntryKey, Route] = field(repr=False)
    idle_timeout_ms: Millis
