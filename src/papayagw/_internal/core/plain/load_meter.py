"""How busy a backend server is, from the requests that pass its agent."""

import math

from papayagw._internal.models.clock import Millis

DECAY_TIME_MS = 2_500.0
"""Time constant with which past load is forgotten, in milliseconds.

About a hundred requests of a slot, and short against a backend server's cold start.
"""

MIN_REQUESTS = 2.0
"""How many remembered requests give a usable mean."""


class LoadMeter:
    """Requests in progress and the time that a slot takes for one.

    By the utilization law, the mean time of a slot for one request is the time for
    which slots were busy over the number of requests that ended.

    Parameters
    ----------
    slots : int
        How many requests the backend server works on at once.
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
        """Requests in progress, those that wait for a slot included."""
        return self._busy

    def begin(self, now: Millis) -> None:
        """Note that a request came."""
        self._advance(now)
        self._busy += 1

    def end(self, now: Millis, *, answered: bool) -> None:
        """Note that a request is over, and whether it was answered."""
        self._advance(now)
        self._busy = max(0, self._busy - 1)
        self._answered += answered

    def utilization(self, now: Millis) -> float:
        """Return the share of the slots that was busy of late."""
        self._advance(now)
        if not self._elapsed_ms:
            return 0.0
        return min(1.0, self._busy_ms / (self._elapsed_ms * self.slots))

    def service_us(self, now: Millis) -> int:
        """Return the mean time of a slot for one request, or 0 if it isn't known."""
        self._advance(now)
        if self._answered < MIN_REQUESTS:
            return 0
        return round(1_000 * self._busy_ms / self._answered)

    def _advance(self, now: Millis) -> None:
        elapsed_ms = now - self._updated_at if self._updated_at is not None else 0
        self._updated_at = now
        if elapsed_ms <= 0:
            return
        decay = math.exp(-elapsed_ms / DECAY_TIME_MS)
        self._busy_ms = self._busy_ms * decay + elapsed_ms * min(self._busy, self.slots)
        self._elapsed_ms = self._elapsed_ms * decay + elapsed_ms
        self._answered *= decay
