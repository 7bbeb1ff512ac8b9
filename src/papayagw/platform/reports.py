"""Decoding of status reports from backend servers.

Source: PROTOCOL, section Service discovery.
"""

import json
from http import HTTPMethod
from typing import Any

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.fields import is_integer
from papayagw._internal.models.plain.instance import (
    Departure,
    ReportedState,
    StatusReport,
)

_INSTANCES_PATH = "/-/instances/"
"""Path of reports; the id of the backend server follows."""

_UNUSED_TEXT_FIELDS = ("address", "zone", "version")
"""Fields that every backend server sends; a report without one is another writer's."""

_STATE_BY_NAME = {"ready": ReportedState.READY, "draining": ReportedState.DRAINING}

READINESS_PATH = "/-/readyz"
"""Path of the platform's readiness probe."""


def decode_report(
    method: str, path: str, body: bytes
) -> StatusReport | Departure | None:
    """Decode a backend server's HTTP request: a report, or the announcement of its end.

    Returns None if the request is neither.
    """
    instance = path.removeprefix(_INSTANCES_PATH)
    if not path.startswith(_INSTANCES_PATH) or not instance:
        return None
    fields = _read_object(body)
    if method == HTTPMethod.DELETE:
        return Departure(instance, _read_integer(fields, "born"))
    if method != HTTPMethod.PUT:
        return None
    state = _STATE_BY_NAME.get(_read_string(fields, "state"))
    service = _read_string(fields, "service")
    slots = _read_integer(fields, "slots")
    started_at = _read_integer(fields, "born")
    number = _read_integer(fields, "seq")
    cold_left = _read_integer(fields, "cold_left_ms")
    if state is None or not service or not slots or slots < 0:
        return None
    if number is None or started_at is None or cold_left is None:
        return None
    if not all(_read_string(fields, name) for name in _UNUSED_TEXT_FIELDS):
        return None
    return StatusReport(
        instance=instance,
        service=service,
        state=state,
        slots=slots,
        cold_left_ms=Millis(cold_left),
        started_at=started_at,
        number=number,
    )


def _read_object(body: bytes) -> dict[str, Any]:
    """Return the fields of a JSON object; none if `body` isn't one."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        # Invalid input from outside; a report without fields is refused.
        return {}
    return value if isinstance(value, dict) else {}


def _read_string(fields: dict[str, Any], name: str) -> str:
    """Return a string field, or an empty string if it is missing or of another type."""
    value = fields.get(name)
    return value if isinstance(value, str) else ""


def _read_integer(fields: dict[str, Any], name: str) -> int | None:
    """Return an integer field, or None if it is missing, too large or no integer."""
    value = fields.get(name)
    return value if is_integer(value) else None
