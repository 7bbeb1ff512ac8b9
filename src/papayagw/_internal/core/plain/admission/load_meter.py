"""Load of a backend server, measured from the requests that pass its agent."""

import math

from papayagw._internal.models.clock import Millis

DECAY_TIME_MS = 2_500.0
"""Time constant of the exponential decay of past load, in milliseconds.

Spans about a hundred requests of a slot, and is short compared with a backend
server's cold start.
"""

MIN_REQUESTS = 2.0
"""Minimum (decayed) number of answered requests for a usable mean."""


class LoadMeter:
    """Measures requests in progress, utilization and mean service time.

    By the utilization law, the mean service time is the total busy time of the slots
    divided by the number of answered requests.

    Parameters
    ----------
    slots : int
        Number of requests that the backend server processes concurrently.
    """

    def __init__(self, slots: int = 1):
        self.slots = slots
        self._busy = 0
        self._updated_at: Millis | None = None
        self._busy_ms = 0.0
        self._elapsed_ms = 0.0
        self._answered = 0.0

    @property
    def busy(self) -> int:
        """Number of requests in progress, including those that wait for a slot."""
        return self._busy

    def begin_request(self, now: Millis) -> None:
        """Record that a request begins."""
        self._update(now)
        self._busy += 1

    def end_request(self, now: Millis, *, answered: bool) -> None:
        """Record that a request ends, and whether the backend server answered it."""
        self._update(now)
        self._busy = max(0, self._busy - 1)
        self._answered += answered

    def utilization(self, now: Millis) -> float:
        """Return the recent share of busy slots, 0 to 1."""
        self._update(now)
        if not self._elapsed_ms:
            return 0.0
        return min(1.0, self._busy_ms / (self._elapsed_ms * self.slots))

    def service_us(self, now: Millis) -> int:
        """Return the mean service time in microseconds, or 0 if it isn't known."""
        self._update(now)
        if self._answered < MIN_REQUESTS:
            return 0
        return round(1_000 * self._busy_ms / self._answered)

    def _update(self, now: Millis) -> None:
        """Decay the past load and add the load since the last call."""
        elapsed_ms = now - self._updated_at if self._updated_at is not None else 0
        self._updated_at = now
        if elapsed_ms <= 0:
            return
        decay = math.exp(-elapsed_ms / DECAY_TIME_MS)
        self._busy_ms = self._busy_ms * decay + elapsed_ms * min(self._busy, self.slots)
        self._elapsed_ms = self._elapsed_ms * decay + elapsed_ms
        self._answered *= decay
