"""Change of the configuration by which routes lose services."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from papayagw._internal.models.plain.packet import EntryKey


@dataclass(frozen=True, slots=True)
class RouteChange:
    """Services that routes lost between two versions of the configuration.

    Attributes
    ----------
    from_version : int
        The earlier version.
    to_version : int
        The later version.
    former_services : mapping of EntryKey to tuple of str
        By entry, the services that only the earlier version routes to. Entries without
        such a service, and those without a route in either version, are left out.
    """

    from_version: int
    to_version: int
    former_services: Mapping[EntryKey, tuple[str, ...]] = field(repr=False)
