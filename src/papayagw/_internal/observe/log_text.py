"""Formats of times and values in log lines."""

import time
from enum import Enum


def format_time(seconds: float) -> str:
    """Return a Unix time as an RFC 3339 time in UTC, to the millisecond.

    Parameters
    ----------
    seconds : float
        Seconds since 1970.
    """
    whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{whole}.{int(seconds * 1_000) % 1_000:03}Z"


def format_value(value: object) -> str:
    """Convert a value that JSON cannot represent to text."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Enum):
        return str(value.value)
    return str(value)
