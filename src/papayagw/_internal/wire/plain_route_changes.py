"""Encoding of route changes in the store."""

import json
from typing import Any

from papayagw._internal.exceptions import MALFORMED_JSON_ERRORS, DecodeError, Step
from papayagw._internal.models.plain.fields import check_count, check_name
from papayagw._internal.models.plain.packet import ENTRY_KEY_BYTES, EntryKey
from papayagw._internal.models.plain.route_change import RouteChange
from papayagw._internal.wire.plain_entries import SYSTEM_PREFIX

ROUTE_CHANGE_PREFIX = SYSTEM_PREFIX + "route-changes/"
"""Prefix of the store keys of route changes; the two versions follow."""


def route_change_key(change: RouteChange) -> str:
    """Return the store key of a route change."""
    return f"{ROUTE_CHANGE_PREFIX}{change.from_version}-{change.to_version}"


def encode_route_change(change: RouteChange) -> bytes:
    """Encode a route change as JSON."""
    former_services = {
        entry.hex(): services for entry, services in change.former_services.items()
    }
    fields = {
        "from_version": change.from_version,
        "to_version": change.to_version,
        "former_services": former_services,
    }
    return json.dumps(fields).encode()


def decode_route_change(key: str, value: bytes) -> RouteChange:
    """Decode a route change.

    Raises
    ------
    DecodeError
        If `value` isn't a valid route change.
    """
    try:
        fields = json.loads(value)
        return RouteChange(
            check_count(fields["from_version"], "from_version"),
            check_count(fields["to_version"], "to_version"),
            {
                _decode_entry_key(entry): _decode_services(services)
                for entry, services in fields["former_services"].items()
            },
        )
    except MALFORMED_JSON_ERRORS as error:
        raise DecodeError(
            f"malformed route change: {error!r}", step=Step.DECODE, peer=key
        ) from error


def _decode_services(services: Any) -> tuple[str, ...]:
    """Decode the services of an entry; raises ValueError if they aren't names."""
    if not isinstance(services, list):
        found = type(services).__name__
        raise ValueError(f"former_services: expected lists of names, found {found}")
    return tuple(check_name(service, "former_services") for service in services)


def _decode_entry_key(text: str) -> EntryKey:
    """Decode an entry key; raises ValueError if it isn't one."""
    entry = bytes.fromhex(text)
    if len(entry) != ENTRY_KEY_BYTES:
        raise ValueError(f"entry: expected {ENTRY_KEY_BYTES} bytes, found {len(entry)}")
    return EntryKey(entry)
