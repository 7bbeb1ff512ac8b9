"""Encoding of status reports as JSON."""

import json

from returns.result import Failure, Result

from papayagw._internal.models.status import StatusReport
from papayagw._internal.observe.plain import from_plain, to_plain


def write_status(report: StatusReport) -> bytes:
    """Return `report` as JSON."""
    return json.dumps(to_plain(report), separators=(",", ":")).encode()


def read_status(text: bytes) -> Result[StatusReport, Exception]:
    """Return the report in `text`, or what is wrong with it."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Failure(ValueError(f"not JSON: {error}"))
    return from_plain(StatusReport, value)
