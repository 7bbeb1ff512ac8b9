"""A flow at its caller: one TCP connection, carried over as many openings as safe."""

from typing import Protocol

import anyio

from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.stream import (
    BytesArrived,
    FlowEnded,
    HandshakeDone,
    StreamEvent,
)
from papayagw._internal.net.agent_flow import ACCEPTED
from papayagw._internal.net.bridge import FlowBridge
from papayagw._internal.net.tcp import TcpBrokenError, TcpStream
from papayagw._internal.wire.quic import FlowConnection


class OpeningPort(Protocol):
    """Where a caller's flow opens its connections."""

    def open(self) -> FlowConnection:
        """Return a new connection."""

    def add(self, attempt: "OpeningAttempt") -> None:
        """Send the packets of an attempt's connection to it from now on."""

    def on_handshake(self, attempt: "OpeningAttempt") -> None:
        """Note that an attempt's handshake is complete."""

    def touch(self, attempt: "OpeningAttempt") -> None:
        """Note that an attempt has something to send."""

    def send(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram to the entry address."""


class OpeningAttempt:
    """One opening of a flow; its events count only while it is the last one."""

    def __init__(self, flow: "CallerFlow", port: OpeningPort):
        self._flow = flow
        self._port = port
        self._connection = port.open()
        port.add(self)

    @property
    def connection(self) -> FlowConnection:
        """The caller's end of the opening."""
        return self._connection

    def on_events(self, events: list[StreamEvent]) -> None:
        """Hand the events on to the flow."""
        for event in events:
            self._flow.on_event(self, event)

    def on_writable(self) -> None:
        """Hand the sign on to the flow."""
        self._flow.on_writable(self)

    def transmit(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram of the opening."""
        self._port.send(datagram, peer)


class CallerFlow:
    """Carries a TCP connection as a flow.

    Bytes are kept until the agent says that it reached the backend server. Until
    then a refused opening is made again, with another random connection id and so,
    most likely, at another agent.

    Parameters
    ----------
    stream : TcpStream
        The caller's TCP connection.
    port : OpeningPort
        Where openings are made.
    retry : RetryPolicy
        Whether and when a refused opening is made again.
    """

    def __init__(self, stream: TcpStream, port: OpeningPort, retry: "RetryPolicy"):
        self._stream = stream
        self._port = port
        self._retry = retry
        self._kept: list[bytes] | None = []
        self._finished = False
        self._has_handshake = False
        self._bridge = FlowBridge(self)
        self._scope = anyio.CancelScope()
        self._ended: FlowEnded | None = None
        self._refused = anyio.Event()
        self._attempt = OpeningAttempt(self, port)

    @property
    def buffered_bytes(self) -> int:
        """Bytes written that the agent hasn't acknowledged, or that are kept."""
        if self._kept is not None:
            return sum(len(data) for data in self._kept)
        return self._attempt.connection.buffered_bytes

    def write(self, data: bytes) -> None:
        """Send bytes to the agent."""
        if self._kept is not None:
            self._kept.append(data)
        self._attempt.connection.write(data)
        self._port.touch(self._attempt)

    def finish(self) -> None:
        """Send no more bytes."""
        self._finished = True
        self._attempt.connection.finish()
        self._port.touch(self._attempt)

    def consume(self, count: int) -> None:
        """Note that bytes have been handed to the TCP connection."""
        if self._attempt.connection.consume(count):
            self._port.touch(self._attempt)

    def on_event(self, attempt: OpeningAttempt, event: StreamEvent) -> None:
        """Act on an event of an attempt."""
        if attempt is not self._attempt or self._ended is not None:
            return
        match event:
            case HandshakeDone():
                self._has_handshake = True
                self._port.on_handshake(attempt)
            case BytesArrived(data, finished):
                self._on_bytes(data, finished)
            case FlowEnded():
                self._on_ended(event)

    def on_writable(self, attempt: OpeningAttempt) -> None:
        """Read on from the TCP connection if there is room."""
        if attempt is self._attempt:
            self._bridge.on_writable()

    async def run(self) -> FlowEnded:
        """Carry the flow to its end and return how it ended."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._reopen)
                await self._carry()
                tasks.cancel_scope.cancel()
        ended = self._ended
        assert ended is not None, "the flow ends in one way or another"
        if ended.outcome is FlowOutcome.ANSWERED:
            self._stream.close()
        else:
            self._stream.abort()
        return ended

    async def _carry(self) -> None:
        try:
            await self._bridge.run(self._stream)
            self._close(FlowOutcome.ANSWERED, "")
        except* TcpBrokenError as errors:
            self._close(FlowOutcome.CANCELLED, str(errors.exceptions[0]))

    def _close(self, outcome: FlowOutcome, reason: str) -> None:
        if self._ended is None:
            self._ended = FlowEnded(outcome, reason)
            self._attempt.connection.close(outcome, reason)
            self._port.touch(self._attempt)

    def _on_bytes(self, data: bytes, finished: bool) -> None:
        if self._kept is not None and data:
            self._kept = None
            self._attempt.connection.consume(len(ACCEPTED))
            data = data[len(ACCEPTED) :]
        self._bridge.on_bytes(data, finished)

    def _on_ended(self, ended: FlowEnded) -> None:
        is_safe = self._kept is not None and (
            ended.outcome is FlowOutcome.REFUSED or not self._has_handshake
        )
        if is_safe:
            self._refused.set()
            return
        self._ended = ended
        self._scope.cancel()

    async def _reopen(self) -> None:
        while True:
            await self._refused.wait()
            self._refused = anyio.Event()
            delay = self._retry.next_delay_seconds()
            if delay is None:
                self._ended = FlowEnded(FlowOutcome.REFUSED, "no agent took the flow")
                self._scope.cancel()
                return
            await anyio.sleep(delay)
            self._open_again()

    def _open_again(self) -> None:
        self._has_handshake = False
        self._attempt = OpeningAttempt(self, self._port)
        for data in self._kept or ():
            self._attempt.connection.write(data)
        if self._finished:
            self._attempt.connection.finish()
        self._port.touch(self._attempt)


class RetryPolicy(Protocol):
    """Whether and when a refused opening is made again."""

    def next_delay_seconds(self) -> float | None:
        """Return how long to wait, or None to give up."""
