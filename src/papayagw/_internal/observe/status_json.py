"""JSON encoding of status reports."""

import json

from returns.result import Failure, Result

from papayagw._internal.models.status import StatusReport
from papayagw._internal.observe.json_values import from_json_value, to_json_value


def encode_status(report: StatusReport) -> bytes:
    """Return `report` as JSON."""
    return json.dumps(to_json_value(report), separators=(",", ":")).encode()


def decode_status(text: bytes) -> Result[StatusReport, Exception]:
    """Return the report encoded in `text`, or the reason why it is invalid."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Failure(ValueError(f"not JSON: {error}"))
    return from_json_value(StatusReport, value)
