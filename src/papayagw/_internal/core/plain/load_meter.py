"""How busy a backend server is, from the requests that pass its agent."""

import math

from papayagw._internal.models.clock import Millis

MEMORY_MS = 2_500.0
"""Time constant with which past load is forgotten, in milliseconds.

About a hundred requests of a slot, and short against a backend server's cold start.
"""

ENOUGH_REQUESTS = 2.0
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
        self._at: Millis | None = None
        self._busy_ms = 0.0
        self._time_ms = 0.0
        self._ended = 0.0

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
        self._ended += answered

    def utilization(self, now: Millis) -> float:
        """Return the share of the slots that was busy of late."""
        self._advance(now)
        if not self._time_ms:
            return 0.0
        return min(1.0, self._busy_ms / (self._time_ms * self.slots))

    def service_us(self, now: Millis) -> int:
        """Return the mean time of a slot for one request, or 0 if it isn't known."""
        self._advance(now)
        if self._ended < ENOUGH_REQUESTS:
            return 0
        return round(1_000 * self._busy_ms / self._ended)

    def _advance(self, now: Millis) -> None:
        passed = now - self._at if self._at is not None else 0
        self._at = now
        if passed <= 0:
            return
        kept = math.exp(-passed / MEMORY_MS)
        self._busy_ms = self._busy_ms * kept + passed * min(self._busy, self.slots)
        self._time_ms = self._time_ms * kept + passed
        self._ended *= kept
