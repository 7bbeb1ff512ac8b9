"""Whether an agent's backend server can be reached, by the agent's own connects.

After a failed connect openings go to siblings for a while, which doubles with each
further failure. The first opening after it tries the backend server again.
"""

from typing import Protocol

from papayagw._internal.models.clock import Millis

FIRST_PAUSE_MS = Millis(200)
MAX_PAUSE_MS = Millis(5_000)


class BackendHealth(Protocol):
    """Decides whether new work may be tried at the backend server."""

    def is_reachable(self, now: Millis) -> bool:
        """Return whether an opening may be tried here before its siblings."""

    def record_connect(self, reached: bool, now: Millis) -> None:
        """Note whether a connection to the backend server was made."""


class ConnectHealth:
    """Pauses after failed connects."""

    def __init__(self) -> None:
        self._pause = Millis(0)
        self._paused_until = Millis(0)

    def is_reachable(self, now: Millis) -> bool:
        """Return whether an opening may be tried here before its siblings."""
        return not self._pause or now >= self._paused_until

    def record_connect(self, reached: bool, now: Millis) -> None:
        """Note whether a connection to the backend server was made."""
        if reached:
            self._pause = Millis(0)
        elif self.is_reachable(now):
            # Connects that were under way together count as one failure.
            doubled = min(2 * self._pause, MAX_PAUSE_MS)
            self._pause = max(FIRST_PAUSE_MS, Millis(doubled))
            self._paused_until = Millis(now + self._pause)
