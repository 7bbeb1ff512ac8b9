"""A flow at its agent: from the opening to its last byte."""

from collections.abc import Callable

import anyio

from papayagw._internal.core.service_meter import FlowMeter
from papayagw._internal.models.clock import Clock, Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.stream import (
    BytesArrived,
    FlowEnded,
    HandshakeDone,
    StreamEvent,
)
from papayagw._internal.net.bridge import FlowBridge
from papayagw._internal.net.tcp import TcpBrokenError, TcpStream
from papayagw._internal.wire.quic import DatagramSink, FlowConnection

ACCEPTED = b"\x01"
"""The first byte of each answer: the backend server has been reached."""

CONNECT_TIMEOUT_MS = Millis(1_000)


class AgentFlow:
    """Ends a caller's flow and carries it to the backend server.

    Parameters
    ----------
    connection : FlowConnection
        The agent's end of the flow.
    client : Endpoint
        The caller.
    backend : Endpoint
        The backend server.
    touch : callable
        Tells the flow table that this flow has something to send.
    spawn : callable
        Starts a coroutine function as a task.
    sink : callable
        Sends a datagram to the caller.
    meter : FlowMeter
        Counts what becomes of the flow.
    clock : Clock
        The time.
    on_outcome : callable
        Told how the flow ended, and a word about it.
    """

    def __init__(
        self,
        connection: FlowConnection,
        client: Endpoint,
        backend: Endpoint,
        *,
        touch: Callable[["AgentFlow"], None],
        spawn: Callable[..., None],
        sink: DatagramSink,
        meter: FlowMeter,
        clock: Clock,
        on_outcome: Callable[[FlowOutcome, str], None],
    ):
        self._connection = connection
        self._client = client
        self._backend = backend
        self._touch = touch
        self._spawn = spawn
        self._sink = sink
        self._meter = meter
        self._clock = clock
        self._on_outcome = on_outcome
        self._bridge = FlowBridge(self)
        self._scope = anyio.CancelScope()
        self._ended: FlowEnded | None = None

    @property
    def connection(self) -> FlowConnection:
        """The agent's end of the flow."""
        return self._connection

    @property
    def client(self) -> Endpoint:
        """The caller."""
        return self._client

    @property
    def buffered_bytes(self) -> int:
        """Bytes written that the caller hasn't acknowledged."""
        return self._connection.buffered_bytes

    def write(self, data: bytes) -> None:
        """Send bytes of the backend server to the caller."""
        self._meter.note_answer(self._clock.now())
        self._send(data)

    def finish(self) -> None:
        """Send no more bytes to the caller."""
        self._connection.finish()
        self._touch(self)

    def consume(self, count: int) -> None:
        """Note that bytes have been handed to the backend server."""
        self._meter.note_request(self._clock.now())
        if self._connection.consume(count):
            self._touch(self)

    def close(self, outcome: FlowOutcome, reason: str) -> None:
        """End the flow and tell the caller how."""
        if self._ended is None:
            self._end(FlowEnded(outcome, reason))
            self._connection.close(outcome, reason)
            self._touch(self)

    def on_events(self, events: list[StreamEvent]) -> None:
        """Act on what has happened at the caller's side."""
        for event in events:
            match event:
                case HandshakeDone():
                    self._spawn(self._run)
                case BytesArrived(data, finished):
                    self._bridge.on_bytes(data, finished)
                case FlowEnded():
                    self._end(event)

    def on_writable(self) -> None:
        """Read on from the backend server if there is room."""
        self._bridge.on_writable()

    def transmit(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram of the flow."""
        self._sink(datagram, peer)

    def _send(self, data: bytes) -> None:
        self._connection.write(data)
        self._touch(self)

    def _end(self, ended: FlowEnded) -> None:
        if self._ended is None:
            self._ended = ended
            self._scope.cancel()
            self._meter.note_ended(ended.outcome, self._clock.now())
            self._on_outcome(ended.outcome, ended.reason)

    async def _run(self) -> None:
        with self._scope:
            try:
                stream = await TcpStream.connect(self._backend, CONNECT_TIMEOUT_MS)
            except TcpBrokenError as error:
                self.close(FlowOutcome.REFUSED, str(error))
                return
            self._meter.note_opened(self._clock.now())
            self._send(ACCEPTED)
            await self._carry(stream)

    async def _carry(self, stream: TcpStream) -> None:
        is_whole = False
        try:
            await self._bridge.run(stream)
            is_whole = True
        except* TcpBrokenError as errors:
            delivered = self._bridge.handed_over > 0
            outcome = FlowOutcome.UNKNOWN if delivered else FlowOutcome.REFUSED
            self.close(outcome, str(errors.exceptions[0]))
        finally:
            ended = self._ended
            if is_whole or (ended and ended.outcome is FlowOutcome.ANSWERED):
                stream.close()
            else:
                stream.abort()
