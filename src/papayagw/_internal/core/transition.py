"""Compatibility of a new version of a site with the version in force.

For a few seconds both versions are in force at different nodes. Every node must
therefore be able to open (decrypt or verify) what any other node seals (encrypts or
signs), or the fleet splits in two.
A service id must never refer to two services.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from papayagw._internal.models.configuration import Site


@dataclass(frozen=True, slots=True)
class Incompatibility:
    """Reason why a version may not replace another.

    Attributes
    ----------
    path : str
        Configuration key that is incompatible.
    reason : str
        Description of the problem.
    is_blocking : bool
        Whether the change is rejected even if breaking changes are allowed.
    """

    path: str
    reason: str
    is_blocking: bool

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


def find_incompatibilities(before: Site, after: Site) -> tuple[Incompatibility, ...]:
    """Return the reasons why `after` may not replace `before`."""
    return (
        *_check_site_name(before, after),
        *_check_service_ids(before, after),
        *_check_keys(before, after),
        *_check_addresses(before, after),
    )


def _check_site_name(before: Site, after: Site) -> Iterator[Incompatibility]:
    """Yield an incompatibility if the files belong to another site."""
    if before.name != after.name:
        reason = f"the files belong to site {after.name}, not {before.name}"
        yield Incompatibility("name", reason, is_blocking=True)


def _check_service_ids(before: Site, after: Site) -> Iterator[Incompatibility]:
    """Yield changed ids, and ids that were taken over from another service."""
    for service in after.services:
        path = f"services.{service.name}.id"
        known = before.find_service(service.name)
        if known is not None and known.service_id != service.service_id:
            reason = (
                f"the id is {known.service_id}, and the id of a service never changes"
            )
            yield Incompatibility(path, reason, is_blocking=True)
        owner = before.find_service_by_id(service.service_id)
        if owner is not None and owner.name != service.name:
            reason = f"{service.service_id} is already the id of service {owner.name}"
            yield Incompatibility(path, reason, is_blocking=True)


def _check_keys(before: Site, after: Site) -> Iterator[Incompatibility]:
    """Yield keys with which some nodes couldn't open what others seal."""
    known = {key.key_id: key.secret for key in before.keys}
    for key in after.keys:
        if known.get(key.key_id, key.secret) != key.secret:
            reason = "the secret of a known key id has changed: use a new id"
            yield Incompatibility(f"keys.{key.key_id}", reason, is_blocking=True)
    if after.keys[0].key_id not in known:
        reason = (
            "nodes would seal with it before every node can open: submit it after "
            "the old key first, then in front of it"
        )
        yield Incompatibility(f"keys.{after.keys[0].key_id}", reason, is_blocking=True)
    sealing = before.keys[0].key_id
    if all(key.key_id != sealing for key in after.keys):
        reason = "it seals now: keep it after the new key until its flows have ended"
        yield Incompatibility(f"keys.{sealing}", reason, is_blocking=True)


def _check_addresses(before: Site, after: Site) -> Iterator[Incompatibility]:
    """Yield removed services and changed addresses, which break flows."""
    for service in before.services:
        successor = after.find_service(service.name)
        if successor is None:
            reason = "its established flows would break"
            yield Incompatibility(f"services.{service.name}", reason, is_blocking=False)
        elif successor.address != service.address:
            reason = f"flows to {service.address} would break"
            path = f"services.{service.name}.address"
            yield Incompatibility(path, reason, is_blocking=False)
