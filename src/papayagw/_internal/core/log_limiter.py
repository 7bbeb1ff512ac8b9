"""Rate limit for log messages of the same kind.

A flood of bad packets must not flood the log: only a few messages of each kind are
logged per window, and the next one logged reports how many were suppressed.
"""

from papayagw._internal.models.clock import Millis

MAX_KINDS = 1_024
"""Maximum number of kinds of message with a limit each; the others share one."""

WINDOW_MS = Millis(1_000)
"""Length of the window in which the messages of each kind are counted."""

BURST = 3
"""Maximum number of messages of one kind per window."""

_OTHER_KIND = "other"
"""Kind whose limit is shared by the kinds beyond `MAX_KINDS`."""


class LogLimiter:
    """Limits the number of messages of each kind per time window.

    Parameters
    ----------
    burst : int
        Maximum number of messages of one kind per window.
    window : Millis
        Length of a window in ms.
    """

    def __init__(self, burst: int = BURST, window: Millis = WINDOW_MS):
        self._burst = burst
        self._window = window
        self._kinds: dict[str, _KindWindow] = {}

    def admit(self, kind: str, now: Millis) -> int | None:
        """Return the number suppressed before this message, or None to suppress it.

        Parameters
        ----------
        kind : str
            Kind of the message; messages of one kind share a limit.
        now : Millis
            Current time.
        """
        state = self._get_window(kind, now)
        if now - state.start >= self._window:
            state.start = now
            state.admitted = 0
        if state.admitted >= self._burst:
            state.suppressed += 1
            return None
        state.admitted += 1
        suppressed, state.suppressed = state.suppressed, 0
        return suppressed

    def pop_suppressed(self, now: Millis) -> dict[str, int]:
        """Remove and return the suppressed counts by kind of windows that have ended.

        Parameters
        ----------
        now : Millis
            Current time.
        """
        expired = {
            kind: state.suppressed
            for kind, state in self._kinds.items()
            if state.suppressed and now - state.start >= self._window
        }
        for kind in expired:
            self._kinds[kind].suppressed = 0
        return expired

    def _get_window(self, kind: str, now: Millis) -> "_KindWindow":
        """Return the window of `kind`, or the shared one beyond `MAX_KINDS`."""
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS - 1:
            kind = _OTHER_KIND
        return self._kinds.setdefault(kind, _KindWindow(now))


class _KindWindow:
    """Current window of one kind of message."""

    __slots__ = ("admitted", "start", "suppressed")

    def __init__(self, start: Millis):
        self.start = start
        self.admitted = 0
        self.suppressed = 0
