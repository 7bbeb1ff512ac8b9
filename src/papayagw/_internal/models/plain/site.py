"""What the operators configure, as the plain front end uses it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import EntryKey


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes part of a route's new flows.

    Attributes
    ----------
    name : str
        The service.
    weight : float
        Its share is `weight` over the sum of the route's weights.
    """

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where new flows of one entry go.

    Attributes
    ----------
    name : str
        The operators' name of the route.
    services : tuple of WeightedService
        At least one.
    priority : int
        Whose new flows go first where not all can: 0 before 1.
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
        Rises with each accepted change.
    routes : mapping of EntryKey to Route
        The entries that are served.
    idle_timeout_ms : Millis
        How long a silent flow is kept.
    """

    version: int
    routes: Mapping[EntryKey, Route] = field(repr=False)
    idle_timeout_ms: Millis
