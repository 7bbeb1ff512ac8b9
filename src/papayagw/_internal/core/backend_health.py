"""Passive health check of an agent's backend server.

After a failed connection attempt, openings are forwarded to sibling agents for a
pause that doubles with each further failure. The first opening after the pause
tries the backend server again.
"""

from typing import Protocol

from papayagw._internal.models.clock import Millis

FIRST_PAUSE_MS = Millis(200)
"""Time for which openings are forwarded after the first failed connection attempt."""

MAX_PAUSE_MS = Millis(5_000)
"""Maximum of that time, which doubles with each further failure."""


class BackendHealth(Protocol):
    """Health check of the backend server."""

    def is_reachable(self, now: Millis) -> bool:
        """Return whether openings should be accepted rather than forwarded."""

    def record_connect(self, reached: bool, now: Millis) -> None:
        """Record the result of a connection attempt to the backend server."""


class ConnectHealth:
    """Health check based on the results of connection attempts."""

    def __init__(self) -> None:
        self._pause = Millis(0)
        self._paused_until = Millis(0)

    def is_reachable(self, now: Millis) -> bool:
        """Return whether openings should be accepted rather than forwarded."""
        return not self._pause or now >= self._paused_until

    def record_connect(self, reached: bool, now: Millis) -> None:
        """Record the result of a connection attempt to the backend server."""
        if reached:
            self._pause = Millis(0)
        elif self.is_reachable(now):
            # Concurrent failed attempts count as one failure.
            doubled = min(2 * self._pause, MAX_PAUSE_MS)
            self._pause = max(FIRST_PAUSE_MS, Millis(doubled))
            self._paused_until = Millis(now + self._pause)
