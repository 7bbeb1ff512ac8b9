"""A flow at its caller: relays one byte stream and retries its opening while safe."""

from collections.abc import Callable
from typing import Protocol

import anyio

from papayagw._internal.core.retry import OpeningRetry
from papayagw._internal.core.service_meter import FlowMeter
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.retry import AttemptEnded, Reopen
from papayagw._internal.models.stream import (
    BytesArrived,
    FlowEnded,
    HandshakeDone,
    StreamEvent,
)
from papayagw._internal.net.agent_flow import ACCEPTED_PREFIX
from papayagw._internal.net.bridge import FlowBridge
from papayagw._internal.net.byte_stream import ByteStream, StreamBrokenError
from papayagw._internal.wire.quic import FlowConnection

OPENING_TIMEOUT_MS = Millis(1_500)
"""Time without a completed handshake after which the flow is opened again."""


class OpeningTransport(Protocol):
    """Transport on which a caller's flow opens its connections."""

    def open(self) -> FlowConnection:
        """Return a new connection, whose opening is ready to be transmitted."""

    def add(self, attempt: "OpeningAttempt") -> None:
        """Register an attempt, so that it receives the packets of its connection."""

    def on_handshake(self, attempt: "OpeningAttempt") -> None:
        """Process the completed handshake of an attempt."""

    def mark_pending(self, attempt: "OpeningAttempt") -> None:
        """Schedule an attempt that has something to send."""

    def send(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram to the entry address."""


class OpeningAttempt:
    """One opening of a flow; only events of the latest attempt have an effect."""

    def __init__(self, flow: "CallerFlow", transport: OpeningTransport):
        self._flow = flow
        self._transport = transport
        self._connection = transport.open()
        transport.add(self)

    @property
    def connection(self) -> FlowConnection:
        """Connection to the agent."""
        return self._connection

    def on_events(self, events: list[StreamEvent]) -> None:
        """Pass the events to the flow."""
        for event in events:
            self._flow.on_event(self, event)

    def on_writable(self) -> None:
        """Tell the flow that the agent may have acknowledged bytes."""
        self._flow.on_writable(self)

    def transmit(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram of the opening."""
        self._transport.send(datagram, peer)


class CallerFlow:
    """Relays the bytes of a TCP connection over a flow.

    Request bytes are buffered for replay until the agent signals that it reached the
    backend server. Until then a refused opening is retried with another random
    connection id, and therefore most likely at another agent.

    Parameters
    ----------
    stream : ByteStream
        The caller's TCP connection, or another byte stream.
    transport : OpeningTransport
        Transport for the connections of the flow.
    retry : OpeningRetry
        Decides whether and when the flow is opened again.
    clock : Clock
        Source of the current time.
    meter : FlowMeter
        Records the flow for the totals of its service.
    on_end : callable
        Called with the outcome of the flow and its reason before the stream closes.
    """

    def __init__(
        self,
        stream: ByteStream,
        transport: OpeningTransport,
        retry: OpeningRetry,
        clock: Clock,
        meter: FlowMeter,
        on_end: Callable[[FlowOutcome, str], None],
    ):
        self._stream = stream
        self._on_end = on_end
        self._transport = transport
        self._retry = retry
        self._clock = clock
        self._meter = meter
        self._replay_data: list[bytes] | None = []
        self._replay_bytes = 0
        self._request_finished = False
        self._handshake_completed = False
        self._answer_complete = False
        self._bridge = FlowBridge(self)
        self._scope = anyio.CancelScope()
        self._outcome: FlowOutcome | None = None
        self._reason = ""
        self._attempt_ended: AttemptEnded | None = None
        self._progress = anyio.Event()
        self._attempt = OpeningAttempt(self, transport)

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are buffered for replay or that the agent hasn't acknowledged."""
        if self._replay_data is not None:
            return self._replay_bytes
        return self._attempt.connection.buffered_bytes

    def write(self, data: bytes) -> None:
        """Send bytes to the agent."""
        if self._replay_data is not None:
            self._replay_data.append(data)
            self._replay_bytes += len(data)
        self._attempt.connection.write(data)
        self._transport.mark_pending(self._attempt)

    def finish(self) -> None:
        """End the sending direction."""
        self._request_finished = True
        self._attempt.connection.finish()
        self._transport.mark_pending(self._attempt)

    def consume(self, count: int) -> None:
        """Record that `count` bytes were written to the TCP connection."""
        self._meter.record_answer(self._clock.now())
        if self._attempt.connection.consume(count):
            self._transport.mark_pending(self._attempt)

    def on_event(self, attempt: OpeningAttempt, event: StreamEvent) -> None:
        """Process an event of an attempt; stale attempts are ignored."""
        if attempt is not self._attempt or self._attempt_ended is not None:
            return
        match event:
            case HandshakeDone():
                self._handshake_completed = True
                self._transport.on_handshake(attempt)
            case BytesArrived(data, finished):
                self._on_bytes(data, finished)
            case FlowEnded(FlowOutcome.ANSWERED) if self._answer_complete:
                # The agent needs no close any more; the bridge finishes by itself.
                pass
            case FlowEnded(outcome, reason):
                self._end_attempt(outcome, reason)

    def on_writable(self, attempt: OpeningAttempt) -> None:
        """Resume reading from the TCP connection if the buffer has room."""
        if attempt is self._attempt:
            self._bridge.on_writable()

    async def run(self) -> None:
        """Relay bytes until the flow ends, then close or reset the stream."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._retry_openings)
                    await self._transfer()
                    tasks.cancel_scope.cancel()
        finally:
            # Also on cancellation, so that an interrupted flow never looks complete.
            outcome = self._outcome or FlowOutcome.UNKNOWN
            self._meter.record_ended(outcome, self._clock.now())
            self._on_end(outcome, self._reason)
            if outcome is FlowOutcome.ANSWERED:
                self._stream.close()
            else:
                self._stream.abort()

    async def _transfer(self) -> None:
        try:
            await self._bridge.run(self._stream)
            self._close(FlowOutcome.ANSWERED, "")
        except* StreamBrokenError as errors:
            self._close(FlowOutcome.CANCELLED, str(errors.exceptions[0]))

    def _close(self, outcome: FlowOutcome, reason: str) -> None:
        if self._outcome is None:
            self._outcome = outcome
            self._reason = reason
            self._attempt.connection.close(outcome, reason)
            self._transport.mark_pending(self._attempt)

    def _on_bytes(self, data: bytes, finished: bool) -> None:
        if self._replay_data is not None and data:
            self._replay_data = None
            self._meter.record_opened(self._clock.now())
            self._progress.set()
            self._attempt.connection.consume(len(ACCEPTED_PREFIX))
            data = data[len(ACCEPTED_PREFIX) :]
        self._answer_complete = self._answer_complete or finished
        self._bridge.on_bytes(data, finished)

    def _end_attempt(self, outcome: FlowOutcome | None, reason: str) -> None:
        self._reason = reason
        self._attempt_ended = AttemptEnded(
            self._retry.attempt,
            outcome,
            handshake_completed=self._handshake_completed,
            answer_started=self._replay_data is None,
            replayable=self._replay_data is not None,
        )
        self._progress.set()

    async def _retry_openings(self) -> None:
        """Open the flow again after each failed attempt while that is safe."""
        while True:
            ended = await self._wait_for_attempt_end()
            action = self._retry.handle_attempt_ended(ended, self._clock.now())
            if not isinstance(action, Reopen):
                self._outcome = action.outcome if action else FlowOutcome.UNKNOWN
                self._scope.cancel()
                return
            delay = Millis(max(0, action.at - self._clock.now()))
            await anyio.sleep(to_seconds(delay))
            self._reopen()

    async def _wait_for_attempt_end(self) -> AttemptEnded:
        with anyio.move_on_after(to_seconds(OPENING_TIMEOUT_MS)):
            await self._progress.wait()
        if not (self._handshake_completed or self._attempt_ended):
            self._attempt.connection.close(FlowOutcome.CANCELLED, "opening timed out")
            self._transport.mark_pending(self._attempt)
            self._end_attempt(None, "no agent answered the opening")
        while self._attempt_ended is None:
            self._progress = anyio.Event()
            await self._progress.wait()
        return self._attempt_ended

    def _reopen(self) -> None:
        self._handshake_completed = False
        self._attempt_ended = None
        self._progress = anyio.Event()
        self._attempt = OpeningAttempt(self, self._transport)
        for data in self._replay_data or ():
            self._attempt.connection.write(data)
        if self._request_finished:
            self._attempt.connection.finish()
        self._transport.mark_pending(self._attempt)
