"""What differs between two sites."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, fields, is_dataclass

from papayagw._internal.models.configuration import FleetKey, Site
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service

ABSENT = "nothing"
_SHOWN_DIGEST_BYTES = 3


@dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs.

    Attributes
    ----------
    path : str
        The value's key, such as ``services.order.max_flows``.
    before, after : str
        The value in the one site and in the other; `ABSENT` if it isn't there.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.path}: {self.before} -> {self.after}"


def compare_sites(before: Site, after: Site) -> tuple[Difference, ...]:
    """Return what differs, in order of the keys; secrets aren't shown."""
    old, new = dict(_flatten_site(before)), dict(_flatten_site(after))
    paths = [*old, *(path for path in new if path not in old)]
    return tuple(
        Difference(path, old.get(path, ABSENT), new.get(path, ABSENT))
        for path in paths
        if old.get(path) != new.get(path)
    )


def _flatten_site(site: Site) -> Iterator[tuple[str, str]]:
    yield "name", site.name
    yield "control_address", str(site.control_address)
    yield "zones", ", ".join(site.zones)
    for position, key in enumerate(site.keys):
        yield f"keys.{key.key_id}", _format_key(position, key)
    for service in site.services:
        yield from _flatten(f"services.{service.name}", service)


def _format_key(position: int, key: FleetKey) -> str:
    # Enough of the secret to tell two apart, too little to be of use.
    role = "seals" if position == 0 else "opens"
    digest = hashlib.blake2s(key.secret, digest_size=_SHOWN_DIGEST_BYTES)
    return f"{role}, digest {digest.hexdigest()}"


def _flatten(path: str, value: Service | object) -> Iterator[tuple[str, str]]:
    if isinstance(value, Endpoint) or not is_dataclass(value):
        yield path, str(value)
        return
    for one in fields(value):
        yield from _flatten(f"{path}.{one.name}", getattr(value, one.name))
