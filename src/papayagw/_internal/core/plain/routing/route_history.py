"""Services that routes have lost, whose agents may still own flows of these routes."""

from dataclasses import dataclass

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import EntryKey
from papayagw._internal.models.plain.route_change import RouteChange
from papayagw._internal.models.plain.site import Route, SiteVersion


@dataclass(frozen=True, slots=True)
class _KnownChange:
    """A route change, and since when it is known."""

    change: RouteChange
    since: Millis


class RouteHistory:
    """Remembers lost services for as long as a flow may live.

    A new configuration leaves open flows at their backend servers, so a route that
    gets another service may have flows at both.

    Parameters
    ----------
    flow_limit_ms : Millis
        Age or idle time after which a flow may be removed.
    """

    def __init__(self, flow_limit_ms: Millis):
        self._flow_limit_ms = flow_limit_ms
        self._known: dict[tuple[int, int], _KnownChange] = {}
        self._observed: set[tuple[int, int]] = set()

    def record(self, before: SiteVersion, after: SiteVersion, now: Millis) -> None:
        """Record which services routes lose as a configuration replaces another."""
        former_services = {
            entry: lost
            for entry, route in before.routes.items()
            if (lost := _list_lost_services(route, after.routes.get(entry)))
        }
        if former_services:
            self.learn(RouteChange(before.version, after.version, former_services), now)
            self._observed.add((before.version, after.version))

    def learn(self, change: RouteChange, now: Millis) -> None:
        """Record a change that this or another balancer has observed."""
        self._forget_expired(now)
        versions = (change.from_version, change.to_version)
        self._known.setdefault(versions, _KnownChange(change, now))

    def list_former_services(self, entry: EntryKey, now: Millis) -> list[str]:
        """Return the services that the route of `entry` lost within a flow's life."""
        former = (
            service
            for known in self._known.values()
            if not self._is_expired(known, now)
            for service in known.change.former_services.get(entry, ())
        )
        return list(dict.fromkeys(former))

    def list_observed(self, now: Millis) -> list[RouteChange]:
        """Return the changes within a flow's life that this balancer has observed.

        They must be in the store for balancers that start later.
        """
        self._forget_expired(now)
        return [
            known.change
            for versions, known in self._known.items()
            if versions in self._observed
        ]

    def _is_expired(self, known: _KnownChange, now: Millis) -> bool:
        """Whether no flow from before a change lives any more."""
        return now - known.since > self._flow_limit_ms

    def _forget_expired(self, now: Millis) -> None:
        """Forget the changes after which no earlier flow lives any more."""
        self._known = {
            versions: known
            for versions, known in self._known.items()
            if not self._is_expired(known, now)
        }
        self._observed &= self._known.keys()


def _list_lost_services(before: Route, after: Route | None) -> tuple[str, ...]:
    """Return the services that a route has lost; none if it was removed.

    The flows of a route that is removed end.
    """
    if after is None or after.services == before.services:
        return ()
    kept = {service.name for service in after.services}
    return tuple(one.name for one in before.services if one.name not in kept)
