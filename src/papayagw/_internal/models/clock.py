"""The type of all times and durations, and the clock protocol."""

from typing import NewType, Protocol

Millis = NewType("Millis", int)
"""A point in time or a duration in whole milliseconds."""

MILLIS_PER_SECOND = 1000


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary fixed point."""


def to_seconds(duration: Millis) -> float:
    """Convert `duration` to seconds, for libraries that expect them."""
    return duration / MILLIS_PER_SECOND
