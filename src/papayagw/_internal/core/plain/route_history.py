"""Services that routes have lost, whose agents may still own flows of these routes."""

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import EntryKey
from papayagw._internal.models.plain.route_change import RouteChange
from papayagw._internal.models.plain.site import Route, SiteVersion


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
        self._lost_at: dict[EntryKey, dict[str, Millis]] = {}
        self._known_since: dict[tuple[int, int], Millis] = {}
        self._observed: list[RouteChange] = []

    def record(self, before: SiteVersion, after: SiteVersion, now: Millis) -> None:
        """Record which services routes lose as a configuration replaces another."""
        former_services = {
            entry: lost
            for entry, route in before.routes.items()
            if (lost := _list_lost_services(route, after.routes.get(entry)))
        }
        if former_services:
            change = RouteChange(before.version, after.version, former_services)
            self._observed.append(change)
            self.learn(change, now)

    def learn(self, change: RouteChange, now: Millis) -> None:
        """Record a change that this or another balancer has observed."""
        self._forget_expired(now)
        versions = (change.from_version, change.to_version)
        if versions in self._known_since:
            return
        self._known_since[versions] = now
        for entry, services in change.former_services.items():
            lost_at = self._lost_at.setdefault(entry, {})
            lost_at.update(dict.fromkeys(services, now))

    def list_former_services(self, entry: EntryKey, now: Millis) -> list[str]:
        """Return the services that the route of `entry` lost within a flow's life."""
        return [
            service
            for service, at in self._lost_at.get(entry, {}).items()
            if not self._is_expired(at, now)
        ]

    def list_observed(self, now: Millis) -> list[RouteChange]:
        """Return the changes within a flow's life that this balancer has observed.

        They must be in the store for balancers that start later.
        """
        self._forget_expired(now)
        return list(self._observed)

    def _is_expired(self, at: Millis, now: Millis) -> bool:
        """Whether no flow from before `at` lives any more."""
        return now - at > self._flow_limit_ms

    def _forget_expired(self, now: Millis) -> None:
        """Forget the changes after which no earlier flow lives any more."""
        expired = {
            versions
            for versions, at in self._known_since.items()
            if self._is_expired(at, now)
        }
        if not expired:
            return
        for versions in expired:
            del self._known_since[versions]
        self._observed = [
            change
            for change in self._observed
            if (change.from_version, change.to_version) in self._known_since
        ]
        for entry in list(self._lost_at):
            if not self.list_former_services(entry, now):
                del self._lost_at[entry]


def _list_lost_services(before: Route, after: Route | None) -> tuple[str, ...]:
    """Return the services that a route has lost; none if it was removed.

    The flows of a route that is removed end.
    """
    if after is None or after.services == before.services:
        return ()
    kept = {service.name for service in after.services}
    return tuple(one.name for one in before.services if one.name not in kept)
