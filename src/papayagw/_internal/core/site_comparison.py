"""Comparison of the configurations of two sites."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, fields, is_dataclass

from papayagw._internal.models.configuration import FleetKey, Site
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service

ABSENT = "nothing"
"""Text shown for a value that one of the sites doesn't have."""

_SHOWN_DIGEST_BYTES = 3
"""Length of the digest that is shown in place of a secret, in bytes."""


@dataclass(frozen=True, slots=True)
class Difference:
    """Configuration value that differs between two sites.

    Attributes
    ----------
    path : str
        Configuration key, such as ``services.order.max_flows``.
    before, after : str
        Value in each of the two sites, or `ABSENT` if there is none.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.path}: {self.before} -> {self.after}"


def compare_sites(before: Site, after: Site) -> tuple[Difference, ...]:
    """Return the differences in key order, with secrets replaced by digests."""
    old, new = dict(_flatten_site(before)), dict(_flatten_site(after))
    paths = [*old, *(path for path in new if path not in old)]
    return tuple(
        Difference(path, old.get(path, ABSENT), new.get(path, ABSENT))
        for path in paths
        if old.get(path) != new.get(path)
    )


def _flatten_site(site: Site) -> Iterator[tuple[str, str]]:
    """Yield the key and the text of each value of a site."""
    yield "name", site.name
    yield "control_address", str(site.control_address)
    yield "zones", ", ".join(site.zones)
    for position, key in enumerate(site.keys):
        yield f"keys.{key.key_id}", _format_key(position, key)
    for service in site.services:
        yield from _flatten(f"services.{service.name}", service)


def _format_key(position: int, key: FleetKey) -> str:
    # A short digest distinguishes two secrets without disclosing them.
    role = "seals" if position == 0 else "opens"
    digest = hashlib.blake2s(key.secret, digest_size=_SHOWN_DIGEST_BYTES)
    return f"{role}, digest {digest.hexdigest()}"


def _flatten(path: str, value: Service | object) -> Iterator[tuple[str, str]]:
    """Yield the key and the text of each value in a nested data class."""
    if isinstance(value, Endpoint) or not is_dataclass(value):
        yield path, str(value)
        return
    for one in fields(value):
        yield from _flatten(f"{path}.{one.name}", getattr(value, one.name))
