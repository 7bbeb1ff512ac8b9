"""A flow at its agent: connects `FlowLifecycle`, the state machine, to sockets."""

from collections.abc import Callable
from typing import Any, Protocol

import anyio

from papayagw._internal.core.lifecycle import Lifecycle
from papayagw._internal.core.service_meter import FlowMeter
from papayagw._internal.models.clock import Clock, Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.lifecycle import (
    AdmissionRefused,
    Admitted,
    AnswerAcknowledged,
    BackendClosed,
    BackendConnected,
    BackendConnectFailed,
    BackendConnectionLost,
    BackendSent,
    BackendWrote,
    CallerCancelled,
    CallerFinished,
    CallerSent,
    CloseFlow,
    ConnectBackend,
    DeliverToBackend,
    DrainStarted,
    FinishAnswer,
    FlowAction,
    FlowEvent,
    HandshakeCompleted,
    IdleTimedOut,
    StopLimitReached,
)
from papayagw._internal.models.stream import (
    BytesArrived,
    FlowEnded,
    HandshakeDone,
    StreamEvent,
)
from papayagw._internal.net.bridge import FlowBridge
from papayagw._internal.net.byte_stream import StreamBrokenError
from papayagw._internal.net.tcp import TcpStream
from papayagw._internal.wire.quic import FlowConnection

ACCEPTED_PREFIX = b"\x01"
"""First byte of each answer: from here on, the caller can't safely open again."""

CONNECT_TIMEOUT_MS = Millis(1_000)

_EVENTS_BY_OUTCOME: dict[FlowOutcome, FlowEvent] = {
    FlowOutcome.ANSWERED: AnswerAcknowledged(),
    FlowOutcome.REFUSED: CallerCancelled(),
    FlowOutcome.CANCELLED: CallerCancelled(),
    FlowOutcome.UNKNOWN: IdleTimedOut(),
}


class FlowOwner(Protocol):
    """What a flow needs of its agent."""

    def mark_pending(self, flow: "AgentFlow") -> None:
        """Schedule a flow that has something to send."""

    def spawn(self, task: Callable[..., Any]) -> None:
        """Start a coroutine function as a task."""

    def send(self, datagram: bytes, client: tuple[str, int]) -> None:
        """Send a datagram to a caller."""

    def on_accepted(self, flow: "AgentFlow") -> None:
        """Request the admission of a flow whose handshake is complete."""

    def on_connect_finished(self, succeeded: bool) -> None:
        """Record whether a connection attempt to the backend server succeeded."""

    def on_request_started(self, flow: "AgentFlow") -> None:
        """Record that the flow begins to send a request to the backend server."""

    def on_answer_started(self, flow: "AgentFlow") -> None:
        """Record that the first bytes came from the backend server."""

    def on_idle(self, flow: "AgentFlow") -> None:
        """Record that a connected flow hasn't sent a request yet."""

    def on_directions_ended(self, flow: "AgentFlow") -> None:
        """Limit the wait for the caller's close once both directions have ended."""

    def on_outcome(self, flow: "AgentFlow", outcome: FlowOutcome, reason: str) -> None:
        """Count and log the outcome of a flow, and release its resources."""


class AgentFlow:
    """Terminates a caller's flow and relays its bytes to the backend server.

    Parameters
    ----------
    connection : FlowConnection
        Connection to the caller.
    lifecycle : Lifecycle
        State machine that decides on each event.
    client : Endpoint
        Endpoint of the caller.
    backend : Endpoint
        Endpoint of the backend server.
    owner : FlowOwner
        The agent that the flow belongs to.
    meter : FlowMeter
        Records the flow for the totals of its service.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        connection: FlowConnection,
        lifecycle: Lifecycle,
        client: Endpoint,
        backend: Endpoint,
        owner: FlowOwner,
        meter: FlowMeter,
        clock: Clock,
    ):
        self._connection = connection
        self._lifecycle = lifecycle
        self._client = client
        self._backend = backend
        self._owner = owner
        self._meter = meter
        self._clock = clock
        self._bridge = FlowBridge(self)
        self._scope = anyio.CancelScope()
        self._attempt = 0
        self._acceptance_sent = False
        self._open_directions = 2
        self._request_started = False
        self._answer_started = False
        self._backend_failed = False
        self._backend_connection_lost = False

    @property
    def connection(self) -> FlowConnection:
        """Connection to the caller."""
        return self._connection

    @property
    def client(self) -> Endpoint:
        """Endpoint of the caller."""
        return self._client

    @property
    def backend_failed(self) -> bool:
        """Whether the connection to the backend server failed or was lost."""
        return self._backend_failed

    @property
    def buffered_bytes(self) -> int:
        """Bytes written to the caller that it hasn't acknowledged."""
        return self._connection.buffered_bytes

    def admit(self) -> None:
        """Admit the flow, which then connects to the backend server."""
        self._apply(Admitted())

    def refuse(self) -> None:
        """End a flow that isn't admitted, before any byte is delivered."""
        self._apply(AdmissionRefused(), "the agent has too much work")

    def drain(self) -> None:
        """End the flow if it isn't established yet."""
        self._apply(DrainStarted(), "the agent is leaving")

    def time_out_handshake(self) -> None:
        """End the flow because its handshake wasn't completed in time."""
        self._apply(IdleTimedOut(), "the handshake took too long")

    def try_close(self, silence_timeout_ms: Millis) -> None:
        """End the flow if its caller has the complete answer or is silent.

        Otherwise wait for the caller's close again.

        Parameters
        ----------
        silence_timeout_ms : Millis
            Time without a datagram after which the caller counts as gone.
        """
        if self._connection.is_stream_done:
            self._apply(AnswerAcknowledged(), "the caller's close was lost")
        elif (
            self._clock.now() - self._connection.last_received_at >= silence_timeout_ms
        ):
            self._apply(IdleTimedOut(), "the caller fell silent at the end")
        else:
            self._owner.on_directions_ended(self)

    def stop(self, reason: str) -> None:
        """End the flow immediately for `reason`."""
        self._apply(StopLimitReached(), reason)

    def write(self, data: bytes) -> None:
        """Send bytes of the backend server to the caller."""
        if self._lifecycle.handle(BackendSent(self._attempt, len(data))):
            self._meter.record_answer(self._clock.now())
            self._start_answer()
            self._connection.write(data)
            self._owner.mark_pending(self)

    def finish(self) -> None:
        """Handle the end of the bytes from the backend server."""
        self._apply(BackendClosed(self._attempt), "the backend server closed")

    def consume(self, count: int) -> None:
        """Record that `count` bytes were written to the backend server's socket."""
        self._lifecycle.handle(BackendWrote(self._attempt, count))
        self._meter.record_request(self._clock.now())
        if self._connection.consume(count):
            self._owner.mark_pending(self)

    def on_events(self, events: list[StreamEvent]) -> None:
        """Process events of the connection to the caller."""
        for event in events:
            match event:
                case HandshakeDone():
                    self._on_handshake()
                case BytesArrived(data, finished):
                    self._on_bytes(data, finished)
                case FlowEnded(outcome, reason):
                    self._on_flow_ended(outcome, reason)

    def on_writable(self) -> None:
        """Resume reading from the backend server if the buffer has room."""
        self._bridge.on_writable()

    def transmit(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram of the flow to its caller."""
        self._owner.send(datagram, peer)

    def _on_handshake(self) -> None:
        self._apply(HandshakeCompleted())
        if self._lifecycle.outcome is None:
            self._owner.on_accepted(self)

    def _on_bytes(self, data: bytes, finished: bool) -> None:
        if self._backend_connection_lost:
            # The bytes are discarded; consuming them lets the caller finish sending.
            self._connection.consume(len(data))
        else:
            self._bridge.on_bytes(data, finished)
        if data:
            self._apply(CallerSent(len(data)))
        if finished:
            self._apply(CallerFinished())
            self._end_direction()

    def _on_flow_ended(self, outcome: FlowOutcome, reason: str) -> None:
        self._apply(_EVENTS_BY_OUTCOME[outcome], reason)
        # An acknowledgement has no effect before the answer is complete: then the
        # caller has cancelled the flow.
        self._apply(CallerCancelled(), reason)

    def _apply(self, event: FlowEvent, reason: str = "") -> None:
        for action in self._lifecycle.handle(event):
            self._perform(action, reason)

    def _perform(self, action: FlowAction, reason: str) -> None:
        match action:
            case ConnectBackend(attempt):
                self._attempt = attempt
                self._owner.spawn(self._connect_and_relay)
            case DeliverToBackend():
                self._start_request()
            case FinishAnswer():
                self._connection.finish()
                self._owner.mark_pending(self)
                self._end_direction()
            case CloseFlow(outcome):
                self._close(outcome, reason)

    def _end_direction(self) -> None:
        self._open_directions -= 1
        if not self._open_directions and self._lifecycle.outcome is None:
            self._owner.on_directions_ended(self)

    def _start_request(self) -> None:
        # The bridge holds the bytes and writes them to the backend server.
        if not self._request_started:
            self._request_started = True
            self._owner.on_request_started(self)
        self._send_acceptance()

    def _start_answer(self) -> None:
        if not self._answer_started:
            self._send_acceptance()
            self._answer_started = True
            self._owner.on_answer_started(self)

    def _send_acceptance(self) -> None:
        if not self._acceptance_sent:
            self._acceptance_sent = True
            self._connection.write(ACCEPTED_PREFIX)
            self._owner.mark_pending(self)

    def _close(self, outcome: FlowOutcome, reason: str) -> None:
        self._scope.cancel()
        if not self._connection.is_ending:
            self._connection.close(outcome, reason)
        self._owner.mark_pending(self)
        self._meter.record_ended(outcome, self._clock.now())
        self._owner.on_outcome(self, outcome, reason)

    async def _connect_and_relay(self) -> None:
        """Connect to the backend server and relay bytes until the flow ends."""
        if self._lifecycle.outcome is not None:
            return
        attempt = self._attempt
        with anyio.CancelScope() as self._scope:
            try:
                stream = await TcpStream.connect(self._backend, CONNECT_TIMEOUT_MS)
            except StreamBrokenError as error:
                self._backend_failed = True
                self._owner.on_connect_finished(False)
                self._apply(BackendConnectFailed(attempt), str(error))
                return
            self._owner.on_connect_finished(True)
            self._meter.record_opened(self._clock.now())
            self._apply(BackendConnected(attempt))
            if not self._request_started:
                self._owner.on_idle(self)
            await self._transfer(stream, attempt)

    async def _transfer(self, stream: TcpStream, attempt: int) -> None:
        is_complete = False
        try:
            await self._bridge.run(stream)
            is_complete = True
        except* StreamBrokenError as errors:
            self._backend_failed = True
            self._backend_connection_lost = True
            self._apply(BackendConnectionLost(attempt), str(errors.exceptions[0]))
        finally:
            if is_complete or self._lifecycle.outcome is FlowOutcome.ANSWERED:
                stream.close()
            else:
                stream.abort()
