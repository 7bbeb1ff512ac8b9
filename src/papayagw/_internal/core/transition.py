"""Whether one version of a site may follow another.

For some seconds both are in force, at different nodes. So what one node seals
must open at every other, or the fleet falls apart in two, and a number must never mean
two services.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from papayagw._internal.models.configuration import Site


@dataclass(frozen=True, slots=True)
class Objection:
    """Why a version may not follow another.

    Attributes
    ----------
    path : str
        The key that is at fault.
    reason : str
        What is wrong with it.
    is_final : bool
        Whether the operator can't overrule it.
    """

    path: str
    reason: str
    is_final: bool

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


def find_objections(before: Site, after: Site) -> tuple[Objection, ...]:
    """Return why `after` may not follow `before`."""
    return (
        *_object_to_name(before, after),
        *_object_to_numbers(before, after),
        *_object_to_keys(before, after),
        *_object_to_addresses(before, after),
    )


def _object_to_name(before: Site, after: Site) -> Iterator[Objection]:
    if before.name != after.name:
        reason = f"the files are of the site {after.name}, not {before.name}"
        yield Objection("name", reason, is_final=True)


def _object_to_numbers(before: Site, after: Site) -> Iterator[Objection]:
    for service in after.services:
        path = f"services.{service.name}.id"
        known = before.find_service(service.name)
        if known is not None and known.service_id != service.service_id:
            reason = f"it is {known.service_id}, and a service's number never changes"
            yield Objection(path, reason, is_final=True)
        owner = before.find_service_by_id(service.service_id)
        if owner is not None and owner.name != service.name:
            reason = f"{service.service_id} is the number of {owner.name}"
            yield Objection(path, reason, is_final=True)


def _object_to_keys(before: Site, after: Site) -> Iterator[Objection]:
    known = {key.key_id: key.secret for key in before.keys}
    for key in after.keys:
        if known.get(key.key_id, key.secret) != key.secret:
            reason = "another secret under a known id: give it a new id"
            yield Objection(f"keys.{key.key_id}", reason, is_final=True)
    if after.keys[0].key_id not in known:
        reason = (
            "it would seal before every node can open: submit it behind the old key "
            "first, in front of it next"
        )
        yield Objection(f"keys.{after.keys[0].key_id}", reason, is_final=True)
    sealing = before.keys[0].key_id
    if all(key.key_id != sealing for key in after.keys):
        reason = "it seals now: keep it behind the new key until its flows have ended"
        yield Objection(f"keys.{sealing}", reason, is_final=True)


def _object_to_addresses(before: Site, after: Site) -> Iterator[Objection]:
    for service in before.services:
        follower = after.find_service(service.name)
        if follower is None:
            reason = "its established flows would break"
            yield Objection(f"services.{service.name}", reason, is_final=False)
        elif follower.address != service.address:
            reason = f"flows to {service.address} would break"
            path = f"services.{service.name}.address"
            yield Objection(path, reason, is_final=False)
