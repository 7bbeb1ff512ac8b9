"""Logs of the plain front end: one JSON object a line, on standard output.

absl's logging takes 0.1 s of processor time to import, most of what a process here
may take until it serves; the lines have the same fields as `observe.logs` gives them.
"""

import json
import os
import time
from typing import Any

from papayagw._internal.core.log_limiter import LogLimiter
from papayagw._internal.models.clock import Clock, Millis
from papayagw._internal.observe.log_text import format_time, format_value

MAX_UNSENT_BYTES = 262_144
"""How much waits for a reader that is slow; what comes then is dropped and counted."""

LINES_PER_WINDOW = 40
"""How many lines of one event are written in a second."""

_WINDOW_MS = Millis(1_000)
_STDOUT = 1


class JsonLinesLog:
    """Writes events without ever waiting for their reader.

    Parameters
    ----------
    node : str
        The name of the process.
    clock : Clock
        The time, for the limit on lines.
    descriptor : int
        Where lines go.
    """

    def __init__(self, node: str, clock: Clock, descriptor: int = _STDOUT):
        self._node = node
        self._clock = clock
        self._descriptor = descriptor
        self._limiter = LogLimiter(LINES_PER_WINDOW, _WINDOW_MS)
        self._unsent = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """How many lines found no room."""
        return self._dropped

    def start(self) -> None:
        """Make writing return at once where nobody reads."""
        os.set_blocking(self._descriptor, False)

    def close(self) -> None:
        """Write what is left, as far as it is taken."""
        self._send_buffered()

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write one event, or count it if there are too many of its kind."""
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
        try:
            while self._unsent:
                written = os.write(self._descriptor, self._unsent)
                self._unsent = self._unsent[written:]
        except BlockingIOError:
            # The reader is slow; the next line tries again.
            return
        except OSError:
            # Nobody reads any more. A process that carries flows goes on without.
            self._dropped += self._unsent.count(b"\n")
            self._unsent = b""
