"""Clocks of the machine."""

import time

from papayagw._internal.models.agent import Incarnation
from papayagw._internal.models.clock import Millis

_NANOS_PER_MILLI = 1_000_000


class MonotonicClock:
    """Monotonic clock of the machine."""

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary fixed point."""
        return Millis(time.monotonic_ns() // _NANOS_PER_MILLI)


class WallClock:
    """Wall clock, for records that people and other machines read."""

    def now(self) -> Millis:
        """Return the milliseconds since 1970."""
        return Millis(time.time_ns() // _NANOS_PER_MILLI)


def make_incarnation() -> Incarnation:
    """Return the incarnation of a process that starts now: ms since 1970."""
    return Incarnation(time.time_ns() // _NANOS_PER_MILLI)
