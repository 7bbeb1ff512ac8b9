"""A limit on how often one kind of message is logged.

A flood of bad packets must not become a flood of lines: of each kind only a few
get through in each window, and the next that does says how many didn't.
"""

from papayagw._internal.models.clock import Millis

MAX_KINDS = 1_024
"""The most kinds that are told apart; the rest share one limit."""

WINDOW_MS = Millis(1_000)
BURST = 3
"""How many messages of one kind are admitted in a window."""

_OTHER_KIND = "other"


class LogLimiter:
    """Admits a few messages of each kind in a window of time.

    Parameters
    ----------
    burst : int
        How many messages of one kind are admitted in a window.
    window : Millis
        The length of a window.
    """

    def __init__(self, burst: int = BURST, window: Millis = WINDOW_MS):
        self._burst = burst
        self._window = window
        self._kinds: dict[str, _KindWindow] = {}

    def admit(self, kind: str, now: Millis) -> int | None:
        """Return how many were held back before this one, or None to hold it back.

        Parameters
        ----------
        kind : str
            What the message has in common with its like.
        now : Millis
            The present time.
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
        """Return the kinds whose window is expired, with how many were held back.

        Parameters
        ----------
        now : Millis
            The present time.
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
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS - 1:
            kind = _OTHER_KIND
        return self._kinds.setdefault(kind, _KindWindow(now))


class _KindWindow:
    """The present window of one kind of message."""

    __slots__ = ("admitted", "start", "suppressed")

    def __init__(self, start: Millis):
        self.start = start
        self.admitted = 0
        self.suppressed = 0
