"""Human-readable formats of timestamps and durations."""

from datetime import UTC, datetime

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis, to_seconds

_UNITS = (("d", 86_400), ("h", 3_600), ("min", 60), ("s", 1))


def format_duration(duration: Millis) -> str:
    """Return a duration in its two largest units, such as ``2 h 5 min``."""
    remaining = max(duration, 0) // MILLIS_PER_SECOND
    parts = []
    for unit, seconds in _UNITS:
        count, remaining = divmod(remaining, seconds)
        if count:
            parts.append(f"{count} {unit}")
    return " ".join(parts[:2]) or f"{duration} ms"


def format_timestamp(timestamp: Millis) -> str:
    """Return a Unix time in milliseconds as an RFC 3339 time, to the second."""
    utc_time = datetime.fromtimestamp(to_seconds(timestamp), UTC)
    return utc_time.strftime("%Y-%m-%dT%H:%M:%SZ")
