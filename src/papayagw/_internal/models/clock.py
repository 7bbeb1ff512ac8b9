"""Time: one type, in whole milliseconds."""

from typing import NewType, Protocol

Millis = NewType("Millis", int)
"""A point in time or a duration, in milliseconds."""

MILLIS_PER_SECOND = 1000


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary fixed point."""


def to_seconds(duration: Millis) -> float:
    """Return `duration` in seconds, for libraries that count in them."""
    return duration / MILLIS_PER_SECOND
