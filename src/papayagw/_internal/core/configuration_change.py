"""Computation and application of changes between configuration versions.

Nodes fetch changes instead of whole configurations: a changed service takes a few
hundred bytes, a whole configuration up to a megabyte.
"""

from collections import OrderedDict
from dataclasses import replace

from papayagw._internal.models.change import ConfigurationChange
from papayagw._internal.models.configuration import (
    HISTORY_LENGTH,
    Configuration,
    Site,
)

MAX_KEPT_VERSIONS = 16
"""Number of versions that a node keeps to compute changes from."""


def find_change(before: Configuration, after: Configuration) -> ConfigurationChange:
    """Return the change from version `before` to the later version `after`."""
    known = {service.service_id: service for service in before.site.services}
    kept = {service.service_id for service in after.site.services}
    changed = [one for one in after.site.services if known.get(one.service_id) != one]
    entries = [entry for entry in after.history if entry.version > before.version]
    return ConfigurationChange(
        base=before.version,
        base_submission_id=before.submission_id,
        submissions=tuple(entries),
        name=after.site.name,
        control_address=after.site.control_address,
        zones=after.site.zones,
        keys=after.site.keys,
        services=tuple(changed),
        removed=tuple(one for one in known if one not in kept),
    )


def apply_change(
    before: Configuration, change: ConfigurationChange
) -> Configuration | None:
    """Return the later version, or None if the change isn't based on `before`."""
    if (change.base, change.base_submission_id) != (
        before.version,
        before.submission_id,
    ):
        return None
    if not change.submissions:
        return None
    services = {service.service_id: service for service in before.site.services}
    for service_id in change.removed:
        services.pop(service_id, None)
    services.update({service.service_id: service for service in change.services})
    ordered = sorted(services.values(), key=lambda service: service.service_id)
    site = Site(
        name=change.name,
        control_address=change.control_address,
        zones=change.zones,
        services=tuple(ordered),
        keys=change.keys,
    )
    history = (*change.submissions, *before.history)[:HISTORY_LENGTH]
    return Configuration(change.submissions[0].version, site, history)


def reuse_equal_services(before: Configuration, after: Configuration) -> Configuration:
    """Return `after` with equal services replaced by the objects of `before`.

    A kept version then needs memory only for its changes and one reference per
    service.
    """
    known = {service.service_id: service for service in before.site.services}
    services = []
    for service in after.site.services:
        earlier = known.get(service.service_id)
        services.append(earlier if earlier == service and earlier else service)
    return replace(after, site=replace(after.site, services=tuple(services)))


class RecentVersions:
    """Most recent configuration versions of a node, to compute changes from."""

    def __init__(self) -> None:
        self._versions: OrderedDict[int, Configuration] = OrderedDict()

    def add(self, configuration: Configuration) -> None:
        """Add the version that is now in force."""
        self._versions[configuration.version] = configuration
        while len(self._versions) > MAX_KEPT_VERSIONS:
            self._versions.popitem(last=False)

    def find_change_since(
        self, version: int, submission_id: str
    ) -> ConfigurationChange | None:
        """Return the change from `version` to the latest one.

        Returns None if `version` isn't kept, is the latest or is of another submission.
        """
        before = self._versions.get(version)
        if before is None or before.submission_id != submission_id:
            return None
        last = next(reversed(self._versions.values()))
        return None if last is before else find_change(before, last)
