"""Log of the plain front end: one JSON object per line, on standard output.

absl's logging isn't used here: importing it takes 0.1 s of CPU time, most of the
start-up budget of these processes. The lines have the same fields as those of
`observe.logs`.
"""

import json
import os
import time
from typing import Any

from papayagw._internal.core.log_limiter import LogLimiter
from papayagw._internal.models.clock import Clock, Millis
from papayagw._internal.observe.log_text import format_time, format_value

MAX_UNSENT_BYTES = 262_144
"""Buffer limit for a slow reader; further lines are dropped and counted."""

LINES_PER_WINDOW = 40
"""Maximum number of lines per event in each `_RATE_LIMIT_WINDOW_MS`, one second."""

_RATE_LIMIT_WINDOW_MS = Millis(1_000)
"""Length of the window in which the lines of each event are counted and limited."""

_STDOUT = 1


class JsonLinesLog:
    """Writes events as JSON lines without blocking on a slow reader.

    Parameters
    ----------
    node : str
        The name of the node, written on every line.
    clock : Clock
        The clock of the rate limit.
    descriptor : int
        The file descriptor to write to.
    """

    def __init__(self, node: str, clock: Clock, descriptor: int = _STDOUT):
        self._node = node
        self._clock = clock
        self._descriptor = descriptor
        self._limiter = LogLimiter(LINES_PER_WINDOW, _RATE_LIMIT_WINDOW_MS)
        self._unsent = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines lost because the buffer was full or the reader closed."""
        return self._dropped

    def start(self) -> None:
        """Make the descriptor non-blocking, so that a slow reader delays no write."""
        os.set_blocking(self._descriptor, False)

    def close(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        self._send_buffered()

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write one event, or count it as suppressed if its rate limit is reached."""
        suppressed = self._limiter.admit(event, self._clock.now())
        if suppressed is None:
            return
        line: dict[str, Any] = {"time": format_time(time.time()), "node": self._node}
        line["event"] = event
        line.update(fields)
        if suppressed:
            line["suppressed"] = suppressed
        if self._dropped:
            line["dropped_lines"] = self._dropped
        data = json.dumps(line, default=format_value, separators=(",", ":")).encode()
        if len(self._unsent) + len(data) > MAX_UNSENT_BYTES:
            self._dropped += 1
            return
        self._unsent += data + b"\n"
        self._send_buffered()

    def _send_buffered(self) -> None:
        """Write buffered lines until the reader accepts no more."""
        try:
            while self._unsent:
                written = os.write(self._descriptor, self._unsent)
                self._unsent = self._unsent[written:]
        except BlockingIOError:
            # The reader is slow; the rest is sent with the next line.
            return
        except OSError:
            # The reader has closed the pipe. A process that carries flows must keep
            # running without its log.
            self._dropped += self._unsent.count(b"\n")
            self._unsent = b""
