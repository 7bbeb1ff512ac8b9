"""A flow at its caller: one TCP connection, carried over as many openings as safe."""

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
from papayagw._internal.net.agent_flow import ACCEPTED
from papayagw._internal.net.bridge import FlowBridge
from papayagw._internal.net.byte_stream import ByteStream, StreamBrokenError
from papayagw._internal.wire.quic import FlowConnection

OPENING_TIMEOUT_MS = Millis(1_500)
"""How long an opening may go unanswered before another one is tried."""


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
    stream : ByteStream
        The caller's TCP connection, or another stream of its bytes.
    port : OpeningPort
        Where openings are made.
    retry : OpeningRetry
        Whether and when an opening is made again.
    clock : Clock
        The time.
    meter : FlowMeter
        Counts what becomes of the flow.
    on_end : callable
        Told how the flow ended and why, before its stream ends.
    """

    def __init__(
        self,
        stream: ByteStream,
        port: OpeningPort,
        retry: OpeningRetry,
        clock: Clock,
        meter: FlowMeter,
        on_end: Callable[[FlowOutcome, str], None],
    ):
        self._stream = stream
        self._on_end = on_end
        self._port = port
        self._retry = retry
        self._clock = clock
        self._meter = meter
        self._kept: list[bytes] | None = []
        self._kept_bytes = 0
        self._finished = False
        self._has_handshake = False
        self._has_answer = False
        self._bridge = FlowBridge(self)
        self._scope = anyio.CancelScope()
        self._outcome: FlowOutcome | None = None
        self._reason = ""
        self._attempt_ended: AttemptEnded | None = None
        self._progress = anyio.Event()
        self._attempt = OpeningAttempt(self, port)

    @property
    def buffered_bytes(self) -> int:
        """Bytes written that the agent hasn't acknowledged, or that are kept."""
        if self._kept is not None:
            return self._kept_bytes
        return self._attempt.connection.buffered_bytes

    def write(self, data: bytes) -> None:
        """Send bytes to the agent."""
        if self._kept is not None:
            self._kept.append(data)
            self._kept_bytes += len(data)
        self._attempt.connection.write(data)
        self._port.touch(self._attempt)

    def finish(self) -> None:
        """Send no more bytes."""
        self._finished = True
        self._attempt.connection.finish()
        self._port.touch(self._attempt)

    def consume(self, count: int) -> None:
        """Note that bytes have been handed to the TCP connection."""
        self._meter.record_answer(self._clock.now())
        if self._attempt.connection.consume(count):
            self._port.touch(self._attempt)

    def on_event(self, attempt: OpeningAttempt, event: StreamEvent) -> None:
        """Act on an event of an attempt."""
        if attempt is not self._attempt or self._attempt_ended is not None:
            return
        match event:
            case HandshakeDone():
                self._has_handshake = True
                self._port.on_handshake(attempt)
            case BytesArrived(data, finished):
                self._on_bytes(data, finished)
            case FlowEnded(FlowOutcome.ANSWERED) if self._has_answer:
                # The agent needs no word any more; the bridge finishes by itself.
                pass
            case FlowEnded(outcome, reason):
                self._end_attempt(outcome, reason)

    def on_writable(self, attempt: OpeningAttempt) -> None:
        """Read on from the TCP connection if there is room."""
        if attempt is self._attempt:
            self._bridge.on_writable()

    async def run(self) -> None:
        """Carry the flow to its end."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._supervise)
                    await self._carry()
                    tasks.cancel_scope.cancel()
        finally:
            # Also when this process stops: a cut flow must not look whole.
            outcome = self._outcome or FlowOutcome.UNKNOWN
            self._meter.record_ended(outcome, self._clock.now())
            self._on_end(outcome, self._reason)
            if outcome is FlowOutcome.ANSWERED:
                self._stream.close()
            else:
                self._stream.abort()

    async def _carry(self) -> None:
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
            self._port.touch(self._attempt)

    def _on_bytes(self, data: bytes, finished: bool) -> None:
        if self._kept is not None and data:
            self._kept = None
            self._meter.record_opened(self._clock.now())
            self._progress.set()
            self._attempt.connection.consume(len(ACCEPTED))
            data = data[len(ACCEPTED) :]
        self._has_answer = self._has_answer or finished
        self._bridge.on_bytes(data, finished)

    def _end_attempt(self, outcome: FlowOutcome | None, reason: str) -> None:
        self._reason = reason
        self._attempt_ended = AttemptEnded(
            self._retry.attempt,
            outcome,
            handshake_completed=self._has_handshake,
            answer_started=self._kept is None,
            replayable=self._kept is not None,
        )
        self._progress.set()

    async def _supervise(self) -> None:
        """Open again after each attempt that ends, as long as that is safe."""
        while True:
            ended = await self._wait_for_end()
            action = self._retry.handle_attempt_ended(ended, self._clock.now())
            if not isinstance(action, Reopen):
                self._outcome = action.outcome if action else FlowOutcome.UNKNOWN
                self._scope.cancel()
                return
            delay = Millis(max(0, action.at - self._clock.now()))
            await anyio.sleep(to_seconds(delay))
            self._open_again()

    async def _wait_for_end(self) -> AttemptEnded:
        with anyio.move_on_after(to_seconds(OPENING_TIMEOUT_MS)):
            await self._progress.wait()
        if not (self._has_handshake or self._attempt_ended):
            self._attempt.connection.close(FlowOutcome.CANCELLED, "opening timed out")
            self._port.touch(self._attempt)
            self._end_attempt(None, "no agent answered the opening")
        while self._attempt_ended is None:
            self._progress = anyio.Event()
            await self._progress.wait()
        return self._attempt_ended

    def _open_again(self) -> None:
        self._has_handshake = False
        self._attempt_ended = None
        self._progress = anyio.Event()
        self._attempt = OpeningAttempt(self, self._port)
        for data in self._kept or ():
            self._attempt.connection.write(data)
        if self._finished:
            self._attempt.connection.finish()
        self._port.touch(self._attempt)
