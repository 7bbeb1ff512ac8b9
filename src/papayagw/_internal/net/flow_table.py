"""The flows of one process: packet dispatch, deadlines and transmissions."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

import anyio

from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.exceptions import Step
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.stream import StreamEvent
from papayagw._internal.observe.logs import Log
from papayagw._internal.wire.quic import FlowConnection


class FlowHandler(Protocol):
    """Handler of the events of one flow."""

    @property
    def connection(self) -> FlowConnection:
        """Connection of the flow."""

    def on_events(self, events: list[StreamEvent]) -> None:
        """Process events without blocking."""

    def on_writable(self) -> None:
        """Use the buffer space that the peer may have freed by acknowledging bytes."""

    def transmit(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram of the flow to `peer`."""


class FlowTable:
    """Drives the connections of many flows from one event loop.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    on_removed : callable
        Called with the handler of each flow that is removed.
    log : Log
        Log for exceptions that end a flow.
    """

    def __init__(
        self, clock: Clock, on_removed: Callable[[FlowHandler], None], log: Log
    ):
        self._clock = clock
        self._on_removed = on_removed
        self._log = log
        self._handlers: dict[bytes, FlowHandler] = {}
        self._connection_ids: dict[FlowHandler, tuple[bytes, ...]] = {}
        self._pending: dict[FlowHandler, None] = {}
        self._deadlines: DeadlineQueue[FlowHandler] = DeadlineQueue()
        self._wake = anyio.Event()

    def __len__(self) -> int:
        return len(self._connection_ids)

    @property
    def handlers(self) -> tuple[FlowHandler, ...]:
        """Handlers of all flows."""
        return tuple(self._connection_ids)

    def find(self, connection_id: bytes) -> FlowHandler | None:
        """Return the handler of the flow with a connection id, or None."""
        return self._handlers.get(connection_id)

    def add(self, handler: FlowHandler, *connection_ids: bytes) -> None:
        """Add a flow whose packets carry any of `connection_ids`."""
        self._connection_ids[handler] = connection_ids
        for connection_id in connection_ids:
            self._handlers[connection_id] = handler
        self.mark_pending(handler)

    def add_id(self, handler: FlowHandler, connection_id: bytes) -> None:
        """Register another id by which `find` returns a flow."""
        self._connection_ids[handler] = (*self._connection_ids[handler], connection_id)
        self._handlers[connection_id] = handler

    def receive(
        self, handler: FlowHandler, datagram: bytes, peer: tuple[str, int]
    ) -> None:
        """Pass a datagram to its flow; `flush` must be called afterwards."""
        with self._isolated(handler):
            handler.connection.receive(datagram, peer, self._clock.now())
            self._pending[handler] = None

    def mark_pending(self, handler: FlowHandler) -> None:
        """Mark a flow as having work to do, and wake the loop."""
        if handler in self._connection_ids:
            self._pending[handler] = None
            self._wake.set()

    def flush(self) -> None:
        """Process the events of the pending flows and send their due datagrams."""
        while self._pending:
            pending = list(self._pending)
            self._pending.clear()
            for handler in pending:
                with self._isolated(handler):
                    self._process(handler)

    async def run(self) -> None:
        """Serve deadlines and pending flows until cancelled."""
        while True:
            await self._wait_for_work()
            now = self._clock.now()
            for handler in self._deadlines.pop_due(now):
                with self._isolated(handler):
                    handler.connection.on_deadline(now)
                    self._pending[handler] = None
            self.flush()

    async def _wait_for_work(self) -> None:
        """Wait until a flow is pending or the next deadline is due."""
        next_at = self._deadlines.next_at
        if self._pending:
            await anyio.lowlevel.checkpoint()
        elif next_at is None:
            await self._wake.wait()
        else:
            wait_ms = Millis(max(0, next_at - self._clock.now()))
            with anyio.move_on_after(to_seconds(wait_ms)):
                await self._wake.wait()
        self._wake = anyio.Event()

    def _process(self, handler: FlowHandler) -> None:
        if handler not in self._connection_ids:
            return
        connection = handler.connection
        events = connection.pop_events()
        if events:
            handler.on_events(events)
        handler.on_writable()
        connection.transmit(self._clock.now(), handler.transmit)
        deadline = connection.next_deadline
        self._deadlines.set(handler, deadline)
        if deadline is None:
            self._remove(handler)

    @contextmanager
    def _isolated(self, handler: FlowHandler) -> Iterator[None]:
        """Log an exception in one flow and remove only that flow."""
        try:
            yield
        except Exception:
            self._log.exception("a fault ended a flow", step=Step.DELIVER)
            if handler in self._connection_ids:
                self._remove(handler)

    def _remove(self, handler: FlowHandler) -> None:
        for connection_id in self._connection_ids.pop(handler):
            self._handlers.pop(connection_id, None)
        self._deadlines.set(handler, None)
        self._pending.pop(handler, None)
        self._on_removed(handler)
