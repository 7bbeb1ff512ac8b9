"""Single-threaded event loop for sockets, timers and signals."""

import heapq
import itertools
import selectors
import signal
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis

_NANOS_PER_MILLI = 1_000_000
_COMPACTION_THRESHOLD = 256
"""Size of the heap of timers above which cancelled ones are removed from it."""


class HasFileno(Protocol):
    """An object with a file descriptor, such as a socket."""

    def fileno(self) -> int:
        """Return the file descriptor."""


class Timer:
    """A scheduled callback, which `cancel` revokes."""

    __slots__ = ("at", "callback")

    def __init__(self, at: Millis, callback: Callable[[], None]):
        self.at = at
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Make sure that the callback isn't called; has no effect after the call."""
        self.callback = None


class Loop:
    """Runs callbacks for socket events, timers and signals.

    Parameters
    ----------
    on_fault : callable
        Called with an exception that a callback didn't handle. The loop continues,
        since one message must not end a process that serves other flows.
    """

    def __init__(self, on_fault: Callable[[Exception], None]):
        self._on_fault = on_fault
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[Millis, int, Timer]] = []
        self._sequence = itertools.count()
        self._is_stopped = False
        self._signals: dict[int, Callable[[], None]] = {}
        self._wake_reader, self._wake_writer = socket.socketpair()

    def now(self) -> Millis:
        """Return the monotonic time in milliseconds, from an arbitrary origin."""
        return Millis(time.monotonic_ns() // _NANOS_PER_MILLI)

    def start(self) -> None:
        """Start receiving signals, which the loop handles like socket events."""
        for wake_socket in (self._wake_reader, self._wake_writer):
            wake_socket.setblocking(False)
        signal.set_wakeup_fd(self._wake_writer.fileno())
        self.watch(self._wake_reader, self._handle_signals)

    def close(self) -> None:
        """Stop receiving signals and close the selector and wake-up sockets."""
        signal.set_wakeup_fd(-1)
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def add_signal_handler(self, number: int, callback: Callable[[], None]) -> None:
        """Have the loop call `callback` on each signal `number`."""
        self._signals[number] = callback
        # The signal number reaches the loop through the wake-up descriptor that
        # `start` sets.
        signal.signal(number, lambda *_: None)

    def watch(
        self,
        source: HasFileno,
        on_readable: Callable[[], None] | None,
        on_writable: Callable[[], None] | None = None,
    ) -> None:
        """Call the callbacks when `source` is readable or writable.

        Replaces the callbacks set before.
        """
        events = selectors.EVENT_READ if on_readable is not None else 0
        events |= selectors.EVENT_WRITE if on_writable is not None else 0
        calls = (on_readable, on_writable)
        if source.fileno() in self._selector.get_map():
            self._selector.modify(source, events, calls)
        else:
            self._selector.register(source, events, calls)

    def unwatch(self, source: HasFileno) -> None:
        """Remove the callbacks of `source`."""
        with suppress(KeyError, ValueError):
            self._selector.unregister(source)

    def call_at(self, at: Millis, callback: Callable[[], None]) -> Timer:
        """Schedule one call of `callback` at time `at`, on the clock of `now`."""
        timer = Timer(at, callback)
        heapq.heappush(self._timers, (at, next(self._sequence), timer))
        return timer

    def call_after(self, delay: Millis, callback: Callable[[], None]) -> Timer:
        """Schedule one call of `callback` after `delay` milliseconds."""
        return self.call_at(Millis(self.now() + delay), callback)

    def stop(self) -> None:
        """Make `run` return after the current round of callbacks."""
        self._is_stopped = True

    def run(self) -> None:
        """Wait for events and run their callbacks until `stop` is called."""
        while not self._is_stopped:
            for key, mask in self._selector.select(self._select_timeout_s()):
                on_readable, on_writable = key.data
                if mask & selectors.EVENT_READ and on_readable is not None:
                    self._run_callback(on_readable)
                if mask & selectors.EVENT_WRITE and on_writable is not None:
                    self._run_callback(on_writable)
            self._run_timers()

    def _run_callback(self, callback: Callable[[], None]) -> None:
        """Call a callback and report an exception that it raises."""
        try:
            callback()
        except Exception as error:
            self._on_fault(error)

    def _select_timeout_s(self) -> float | None:
        """Return the time until the next timer in seconds; None if there is none."""
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return max(0, self._timers[0][0] - self.now()) / MILLIS_PER_SECOND

    def _run_timers(self) -> None:
        """Run the callbacks of the expired timers."""
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._run_callback(callback)
        if len(self._timers) > _COMPACTION_THRESHOLD:
            self._timers = [
                entry for entry in self._timers if entry[2].callback is not None
            ]
            heapq.heapify(self._timers)

    def _handle_signals(self) -> None:
        """Run the handlers of the received signals."""
        with suppress(BlockingIOError):
            for number in self._wake_reader.recv(64):
                callback = self._signals.get(number)
                if callback is not None:
                    callback()


class Alarm:
    """A timer with a fixed callback, which can be rescheduled.

    Parameters
    ----------
    loop : Loop
        Event loop.
    callback : callable
        Called when the timer expires.
    """

    def __init__(self, loop: Loop, callback: Callable[[], None]):
        self._loop = loop
        self._callback = callback
        self._timer: Timer | None = None

    def set(self, at: Millis | None) -> None:
        """Reschedule the timer to `at`; None cancels it."""
        timer = self._timer
        if timer is not None and timer.callback is not None:
            if timer.at == at:
                return
            timer.cancel()
        self._timer = None if at is None else self._loop.call_at(at, self._callback)
