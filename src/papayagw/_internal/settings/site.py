"""Loading of a site from a base file and an overlay."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from papayagw._internal.models.configuration import KEY_BYTES, FleetKey, Site
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Objectives, Service
from papayagw._internal.settings.document import Document, read_document
from papayagw._internal.settings.kinds import (
    MILLIS,
    Boolean,
    Integer,
    Name,
    Number,
    ReadableFile,
    SocketAddress,
)
from papayagw._internal.settings.location import KeyPath, Location
from papayagw._internal.settings.overlay import merge_overlay
from papayagw._internal.settings.problem import Problems
from papayagw._internal.settings.structure import ListOf, MapOf, ObjectOf, make_keys

MAX_KEY_ID = 255
MAX_SERVICE_ID = 65_535
_DAY_MS = 86_400_000


def _build_objectives(values: dict[str, Any], _location: Location) -> Objectives:
    return Objectives(**values)


def _build_service(values: dict[str, Any], location: Location) -> Service | None:
    service = Service(name=location.name, **values)
    if service.probe_interval_ms * 2 > service.idle_timeout_ms:
        location.child("probe_interval_ms").report(
            str(service.probe_interval_ms),
            f"at most half of idle_timeout_ms, which is {service.idle_timeout_ms}",
        )
        return None
    return service


def _build_key(values: dict[str, Any], location: Location) -> FleetKey | None:
    path = Path(values["secret"])
    try:
        secret = bytes.fromhex(path.read_text(encoding="ascii").strip())
    except (OSError, ValueError):
        secret = b""
    if len(secret) != KEY_BYTES:
        location.child("file").report(
            f"no valid key in {path}",
            f"{KEY_BYTES} bytes in hexadecimal digits",
            "create one with papayagw keys make",
        )
        return None
    return FleetKey(values["key_id"], secret)


def _build_site(values: dict[str, Any], location: Location) -> Site:
    _check_ids(values["services"], location.child("services"))
    _check_addresses(values["services"], values["control_address"], location)
    _check_distinct((key.key_id for key in values["keys"]), location.child("keys"))
    _check_distinct(values["zones"], location.child("zones"))
    values["services"] = tuple(sorted(values["services"], key=lambda s: s.service_id))
    return Site(**values)


OBJECTIVES_KEYS = make_keys(
    Objectives,
    {
        "availability": Number(0, 1),
        "latency_ms": Integer(1, 60_000, MILLIS),
        "latency_share": Number(0, 1),
        "imbalance": Number(1, 100),
    },
)
SERVICE_KEYS = make_keys(
    Service,
    {
        "id": Integer(1, MAX_SERVICE_ID),
        "address": SocketAddress(),
        "idempotent": Boolean(),
        "max_flows": Integer(1, 1_000_000, "flows"),
        "idle_timeout_ms": Integer(1_000, _DAY_MS, MILLIS),
        "probe_interval_ms": Integer(100, 60_000, MILLIS),
        "drain_limit_ms": Integer(0, _DAY_MS, MILLIS),
        "objectives": ObjectOf(OBJECTIVES_KEYS, _build_objectives),
    },
    renamed={"id": "service_id"},
)
FLEET_KEY_KEYS = make_keys(
    FleetKey,
    {"id": Integer(0, MAX_KEY_ID), "file": ReadableFile()},
    renamed={"id": "key_id", "file": "secret"},
)
FLEET_KEY = ObjectOf(FLEET_KEY_KEYS, _build_key)
SITE_KEYS = make_keys(
    Site,
    {
        "name": Name(),
        "control_address": SocketAddress(),
        "zones": ListOf(Name()),
        "services": MapOf(Name(), ObjectOf(SERVICE_KEYS, _build_service)),
        "keys": ListOf(FLEET_KEY),
    },
)
SITE = ObjectOf(SITE_KEYS, _build_site)


def load_site(base: Path, overlay: Path | None = None) -> Result[Site, Problems]:
    """Return the site described by a base file and an overlay, or every problem.

    Parameters
    ----------
    base : Path
        Base file.
    overlay : Path or None
        Overlay of one site; None loads the base file alone.
    """
    documents = [read_document(path) for path in (base, overlay) if path]
    problems = [
        problem for document in documents for problem in document.swap().value_or(())
    ]
    if problems:
        return Failure(tuple(problems))
    base_document, *overlays = (document.unwrap() for document in documents)
    if overlay is None:
        return _read_site(base_document, Location(lambda _: base))
    return _read_merged(base_document, overlays[0], base, overlay)


def _read_merged(
    base_document: Document, overlay_document: Document, base: Path, overlay: Path
) -> Result[Site, Problems]:
    def find_file(path: KeyPath) -> Path:
        return overlay if _has_path(overlay_document, path) else base

    location = Location(find_file)
    merged = merge_overlay(base_document, overlay_document, location)
    return _read_site(merged, location)


def _read_site(document: Document, location: Location) -> Result[Site, Problems]:
    site = SITE.read(document, location)
    if site is None or location.problems:
        return Failure(location.problems)
    return Success(site)


def _has_path(document: object, path: KeyPath) -> bool:
    """Return whether a document sets the value at `path`, or a list around it."""
    for key in path:
        if isinstance(document, list):
            return key.isdigit()
        if not isinstance(document, dict) or key not in document:
            return False
        document = document[key]
    return True


def _check_ids(services: Iterable[Service], location: Location) -> None:
    owners: dict[int, str] = {}
    for service in services:
        owner = owners.setdefault(service.service_id, service.name)
        if owner != service.name:
            location.child(service.name).child("id").report(
                f"{service.service_id}, which service {owner} already has",
                "a unique id",
                "ids are never reused: choose a new one",
            )


def _check_addresses(
    services: Iterable[Service], control: Endpoint, location: Location
) -> None:
    owners = {control.port: ("control_address", control)}
    for service in services:
        candidate = ("services." + service.name, service.address)
        owner, owner_address = owners.setdefault(service.address.port, candidate)
        if owner == candidate[0]:
            continue
        found = f"{service.address}, with the same port as {owner} at {owner_address}"
        location.child("services").child(service.name).child("address").report(
            found,
            "an address with a unique port",
            "a balancer that binds a single IP address tells services apart by port",
        )


def _check_distinct(members: Iterable[int | str], location: Location) -> None:
    seen: set[int | str] = set()
    for index, member in enumerate(members):
        if member in seen:
            location.child(index).report(
                f"{member} more than once", "distinct values", "remove one"
            )
        seen.add(member)
