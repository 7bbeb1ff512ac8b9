"""One loop on one thread: sockets, timers and signals."""

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
_COMPACT_TIMERS = 256
"""From how many timers on cancelled ones are cleared away."""


class HasFileno(Protocol):
    """Something that can be waited for."""

    def fileno(self) -> int:
        """Return the descriptor."""


class Timer:
    """A call at a later time; `cancel` takes it back."""

    __slots__ = ("at", "call")

    def __init__(self, at: Millis, call: Callable[[], None]):
        self.at = at
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Take the call back."""
        self.call = None


class Loop:
    """Waits for sockets and timers and calls whom they concern.

    Parameters
    ----------
    on_fault : callable
        Takes an exception that escaped from a call. The loop goes on: one message
        must not end a process that carries the flows of others.
    """

    def __init__(self, on_fault: Callable[[Exception], None]):
        self._on_fault = on_fault
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[Millis, int, Timer]] = []
        self._order = itertools.count()
        self._is_stopped = False
        self._signals: dict[int, Callable[[], None]] = {}
        self._wake_reader, self._wake_writer = socket.socketpair()

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary fixed point."""
        return Millis(time.monotonic_ns() // _NANOS_PER_MILLI)

    def start(self) -> None:
        """Take signals."""
        for end in (self._wake_reader, self._wake_writer):
            end.setblocking(False)
        signal.set_wakeup_fd(self._wake_writer.fileno())
        self.watch(self._wake_reader, self._take_signals)

    def close(self) -> None:
        """Give the descriptors back."""
        signal.set_wakeup_fd(-1)
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Call `call` in the loop whenever the signal comes."""
        self._signals[number] = call
        # The number reaches the loop through the descriptor of `start`.
        signal.signal(number, lambda *_: None)

    def watch(
        self,
        source: HasFileno,
        on_readable: Callable[[], None] | None,
        on_writable: Callable[[], None] | None = None,
    ) -> None:
        """Call when `source` is readable or writable, in place of earlier wishes."""
        events = selectors.EVENT_READ if on_readable is not None else 0
        events |= selectors.EVENT_WRITE if on_writable is not None else 0
        calls = (on_readable, on_writable)
        if source.fileno() in self._selector.get_map():
            self._selector.modify(source, events, calls)
        else:
            self._selector.register(source, events, calls)

    def forget(self, source: HasFileno) -> None:
        """Wait for `source` no more."""
        with suppress(KeyError, ValueError):
            self._selector.unregister(source)

    def call_at(self, at: Millis, call: Callable[[], None]) -> Timer:
        """Call `call` once at a time."""
        timer = Timer(at, call)
        heapq.heappush(self._timers, (at, next(self._order), timer))
        return timer

    def call_after(self, delay: Millis, call: Callable[[], None]) -> Timer:
        """Call `call` once after a while."""
        return self.call_at(Millis(self.now() + delay), call)

    def stop(self) -> None:
        """Make `run` return."""
        self._is_stopped = True

    def run(self) -> None:
        """Serve until `stop`."""
        while not self._is_stopped:
            for key, mask in self._selector.select(self._wait_seconds()):
                on_readable, on_writable = key.data
                if mask & selectors.EVENT_READ and on_readable is not None:
                    self._guard(on_readable)
                if mask & selectors.EVENT_WRITE and on_writable is not None:
                    self._guard(on_writable)
            self._run_timers()

    def _guard(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as error:
            self._on_fault(error)

    def _wait_seconds(self) -> float | None:
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return max(0, self._timers[0][0] - self.now()) / MILLIS_PER_SECOND

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            call, timer.call = timer.call, None
            if call is not None:
                self._guard(call)
        if len(self._timers) > _COMPACT_TIMERS:
            self._timers = [one for one in self._timers if one[2].call is not None]
            heapq.heapify(self._timers)

    def _take_signals(self) -> None:
        with suppress(BlockingIOError):
            for number in self._wake_reader.recv(64):
                call = self._signals.get(number)
                if call is not None:
                    call()


class Alarm:
    """A single timer that is set anew as what it waits for changes.

    Parameters
    ----------
    loop : Loop
        The loop.
    call : callable
        What is called when the time has come.
    """

    def __init__(self, loop: Loop, call: Callable[[], None]):
        self._loop = loop
        self._call = call
        self._timer: Timer | None = None

    def set(self, at: Millis | None) -> None:
        """Call at `at` and not at the time set before; None calls never."""
        timer = self._timer
        if timer is not None and timer.call is not None:
            if timer.at == at:
                return
            timer.cancel()
        self._timer = None if at is None else self._loop.call_at(at, self._call)
