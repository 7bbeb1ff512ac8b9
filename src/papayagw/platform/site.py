"""Decoding of the operators' configuration in the platform's store.

Source: PROTOCOL, section The operator's API.
"""

import json
from typing import Any

from papayagw._internal.exceptions import MALFORMED_JSON_ERRORS, DecodeError, Step
from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.plain.fields import check_count, check_name, check_weight
from papayagw._internal.models.plain.packet import EntryKey
from papayagw._internal.models.plain.site import (
    Route,
    ServiceLimits,
    SiteVersion,
    WeightedService,
)
from papayagw.platform.packet import encode_entry

SITE_KEY = "op/config"
"""Key of the configuration in the store."""

OPERATOR_PREFIX = "op/"
"""Prefix of all keys that operators write."""

_EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys of evacuated zones; the zone's name follows."""

MAX_RATE = 1e9
"""Upper limit of rates and durations; far above any that a deployment can state."""


def decode_evacuated_zone(key: str) -> str | None:
    """Return the zone that is evacuated while `key` exists; None for other keys.

    The value isn't used.
    """
    zone = key.removeprefix(_EVACUATION_PREFIX)
    if zone == key or not zone or "/" in zone:
        return None
    return zone


def decode_site(value: bytes) -> SiteVersion:
    """Decode a configuration that an operator wrote to the store.

    Raises
    ------
    DecodeError
        If `value` isn't a valid configuration; the active version stays.
    """
    try:
        fields = json.loads(value)
        routes = dict(_decode_route(route) for route in fields["routes"])
        idle_timeout_ms = check_count(
            fields["limits"]["idle_timeout_ms"], "idle_timeout_ms"
        )
        version = check_count(fields["version"], "version")
        limits = _decode_limits(fields.get("services"))
        return SiteVersion(version, routes, Millis(idle_timeout_ms), limits)
    except MALFORMED_JSON_ERRORS as error:
        raise DecodeError(
            f"invalid configuration: {error!r}", step=Step.DECODE, peer=SITE_KEY
        ) from error


def _decode_route(fields: dict[str, Any]) -> tuple[EntryKey, Route]:
    """Decode a route, with the entry that it applies to."""
    # Despite their names, from HTTP's host and path, `hostname` holds an IPv4 address
    # and `prefix` a port, such as "/8443/".
    address, port = fields["hostname"], int(fields["prefix"].strip("/"))
    priority = check_count(fields.get("priority", 0), "priority")
    kind = fields.get("type")
    route = Route(
        fields.get("name", ""),
        _decode_services(fields),
        priority,
        kind if isinstance(kind, str) else "",
        _read_duration(fields, "objective_ms"),
        _read_duration(fields, "timeout_ms"),
    )
    return EntryKey(encode_entry(address, port)), route


def _read_duration(fields: dict[str, Any], name: str) -> Millis | None:
    """Return a field that holds a duration in ms; None if it is absent or null."""
    value = fields.get(name)
    return None if value is None else Millis(check_count(value, name))


def _decode_limits(services: object) -> dict[str, ServiceLimits]:
    """Decode the limits of the services that state any.

    Earlier deployments have no list of services, or one without these fields.
    """
    if not isinstance(services, list):
        return {}
    return {
        check_name(fields["name"], "name"): ServiceLimits(
            Millis(round(_read_rate(fields, "cold_start_s") * MILLIS_PER_SECOND)),
            _read_rate(fields, "cold_per_s"),
        )
        for fields in services
        if isinstance(fields, dict) and "name" in fields and _states_limits(fields)
    }


def _states_limits(fields: dict[str, Any]) -> bool:
    """Whether a service states a rate of its cold servers, even if it is 0."""
    return fields.get("cold_per_s") is not None


def _read_rate(fields: dict[str, Any], name: str) -> float:
    """Return a field that holds a number from 0; 0 if it is absent or null."""
    value = fields.get(name)
    if value is None:
        return 0.0
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{name}: expected a number, found {type(value).__name__}")
    if not 0 <= value <= MAX_RATE:
        raise ValueError(f"{name}: expected a number from 0 to {MAX_RATE}")
    return float(value)


def _decode_services(fields: dict[str, Any]) -> tuple[WeightedService, ...]:
    """Decode a route's services and weights; a single service has the weight 1."""
    shares = fields.get("backends")
    if not shares:
        return (WeightedService(check_name(fields["service"], "service"), 1.0),)
    return tuple(
        WeightedService(
            check_name(share["service"], "service"), check_weight(share["weight"])
        )
        for share in shares
    )
