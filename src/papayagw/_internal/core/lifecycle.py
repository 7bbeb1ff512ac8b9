"""State machine of one flow at the agent that owns it.

The outcome reported to the caller follows from one rule: a byte counts as
delivered as soon as it is passed to the backend server's socket. A failure before
the first delivered byte ends the flow as REFUSED, and opening it again is safe. A
failure afterwards ends it as UNKNOWN. Late events, duplicates and events of an
earlier connection are ignored and counted.
"""

from collections.abc import Callable
from typing import Any, Protocol

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
    CancelBackend,
    CloseFlow,
    ConnectBackend,
    DeadlineReached,
    DeliverToBackend,
    DrainStarted,
    FinishAnswer,
    FinishRequest,
    FlowActions,
    FlowEvent,
    FlowState,
    HandshakeCompleted,
    IdleTimedOut,
    SendToCaller,
    StopLimitReached,
)

MAX_CONNECTS = 2
"""Maximum connection attempts to the backend server per flow."""

NO_ACTIONS: FlowActions = ()
FINISH_REQUEST = FinishRequest()
FINISH_ANSWER = FinishAnswer()
CANCEL_BACKEND = CancelBackend()

_FINAL_STATES = {
    FlowOutcome.ANSWERED: FlowState.ANSWERED,
    FlowOutcome.REFUSED: FlowState.REFUSED,
    FlowOutcome.CANCELLED: FlowState.CANCELLED,
    FlowOutcome.UNKNOWN: FlowState.UNKNOWN,
}
_CONNECTED_STATES = (FlowState.DELIVERING, FlowState.FINISHING)
"""States in which the flow has had a connection to the backend server."""


class Lifecycle(Protocol):
    """State machine of one flow at the agent that owns it."""

    @property
    def outcome(self) -> FlowOutcome | None:
        """Outcome of the flow, or None while it is open."""

    def handle(self, event: FlowEvent) -> FlowActions:
        """Process `event` and return the resulting actions, in order."""


class FlowLifecycle:
    """Default state machine of a flow.

    Parameters
    ----------
    max_connects : int
        Maximum connection attempts to the backend server. A further attempt is
        made only while no byte has been delivered.
    """

    __slots__ = (
        "_answer_bytes",
        "_attempt",
        "_caller_finished",
        "_delivered",
        "_buffered",
        "_ignored",
        "_max_connects",
        "_outcome",
        "_state",
        "_draining",
        "_unwritten",
        "_backend_writable",
    )

    def __init__(self, max_connects: int = MAX_CONNECTS):
        self._max_connects = max_connects
        self._state = FlowState.OPENING
        self._outcome: FlowOutcome | None = None
        self._attempt = 0
        self._buffered = 0
        self._delivered = 0
        self._unwritten = 0
        self._answer_bytes = 0
        self._ignored = 0
        self._caller_finished = False
        self._draining = False
        self._backend_writable = True

    @property
    def state(self) -> FlowState:
        """Current state of the flow."""
        return self._state

    @property
    def outcome(self) -> FlowOutcome | None:
        """Outcome of the flow, or None while it is open."""
        return self._outcome

    @property
    def buffered(self) -> int:
        """Bytes from the caller buffered until the backend server is connected."""
        return self._buffered

    @property
    def delivered(self) -> int:
        """Bytes passed to the backend socket, which may have reached the server."""
        return self._delivered

    @property
    def unwritten(self) -> int:
        """Bytes passed to the backend socket that it has not written yet."""
        return self._unwritten

    @property
    def answer_bytes(self) -> int:
        """Bytes of the answer forwarded to the caller."""
        return self._answer_bytes

    @property
    def ignored(self) -> int:
        """Number of late, duplicate or out-of-order events, which had no effect."""
        return self._ignored

    def handle(self, event: FlowEvent) -> FlowActions:
        """Process `event` and return the resulting actions, in order."""
        if self._outcome is not None:
            return self._ignore()
        return _HANDLERS[type(event)](self, event)

    def _ignore(self) -> FlowActions:
        """Count an event that has no effect in the current state."""
        self._ignored += 1
        return NO_ACTIONS

    def _on_handshake_completed(self, event: HandshakeCompleted) -> FlowActions:
        """Accept the flow, or refuse it if the agent is draining."""
        if self._state is not FlowState.OPENING:
            return self._ignore()
        self._state = FlowState.ACCEPTED
        return self._fail() if self._draining else NO_ACTIONS

    def _on_admitted(self, event: Admitted) -> FlowActions:
        """Connect to the backend server."""
        if self._state is not FlowState.ACCEPTED:
            return self._ignore()
        return self._connect()

    def _on_admission_refused(self, event: AdmissionRefused) -> FlowActions:
        """Refuse the flow."""
        if self._state not in (FlowState.OPENING, FlowState.ACCEPTED):
            return self._ignore()
        return self._fail()

    def _connect(self) -> FlowActions:
        """Start the next connection attempt to the backend server."""
        self._state = FlowState.CONNECTING
        self._attempt += 1
        return (ConnectBackend(self._attempt),)

    def _on_caller_sent(self, event: CallerSent) -> FlowActions:
        """Deliver the bytes, or buffer them until the backend server is connected."""
        if self._caller_finished or not self._backend_writable:
            return self._ignore()
        if self._state not in _CONNECTED_STATES:
            self._buffered += event.count
            return NO_ACTIONS
        return (self._deliver(event.count),)

    def _deliver(self, count: int) -> DeliverToBackend:
        """Count bytes as delivered and return the action that writes them."""
        self._delivered += count
        self._unwritten += count
        return DeliverToBackend(count)

    def _on_caller_finished(self, event: CallerFinished) -> FlowActions:
        """Pass on the end of the request, once the backend server is connected."""
        if self._caller_finished:
            return self._ignore()
        self._caller_finished = True
        if self._state in _CONNECTED_STATES and self._backend_writable:
            return (FINISH_REQUEST,)
        return NO_ACTIONS

    def _on_caller_cancelled(self, event: CallerCancelled) -> FlowActions:
        """End the flow as CANCELLED."""
        return self._end(FlowOutcome.CANCELLED)

    def _on_answer_acknowledged(self, event: AnswerAcknowledged) -> FlowActions:
        """End the flow as ANSWERED."""
        if self._state is not FlowState.FINISHING:
            return self._ignore()
        return self._end(FlowOutcome.ANSWERED)

    def _on_backend_connected(self, event: BackendConnected) -> FlowActions:
        """Deliver what is buffered, and the end of the request if it has arrived."""
        if self._state is not FlowState.CONNECTING or self._is_stale(event.attempt):
            return self._ignore()
        self._state = FlowState.DELIVERING
        first: FlowActions = NO_ACTIONS
        if self._buffered:
            first = (self._deliver(self._buffered),)
            self._buffered = 0
        return (*first, FINISH_REQUEST) if self._caller_finished else first

    def _on_backend_connect_failed(self, event: BackendConnectFailed) -> FlowActions:
        """Connect again, or refuse the flow after the last attempt."""
        if self._state is not FlowState.CONNECTING or self._is_stale(event.attempt):
            return self._ignore()
        if self._attempt < self._max_connects:
            return self._connect()
        self._state = FlowState.ACCEPTED
        return self._fail()

    def _on_backend_wrote(self, event: BackendWrote) -> FlowActions:
        """Subtract the written bytes from the unwritten ones."""
        if self._is_stale(event.attempt) or event.count > self._unwritten:
            return self._ignore()
        self._unwritten -= event.count
        return NO_ACTIONS

    def _on_backend_sent(self, event: BackendSent) -> FlowActions:
        """Forward bytes of the answer to the caller."""
        if self._state is not FlowState.DELIVERING or self._is_stale(event.attempt):
            return self._ignore()
        self._answer_bytes += event.count
        return (SendToCaller(event.count),)

    def _on_backend_closed(self, event: BackendClosed) -> FlowActions:
        """Finish the answer, or refuse a flow that was closed before any data."""
        if self._state is not FlowState.DELIVERING or self._is_stale(event.attempt):
            return self._ignore()
        if not (self._has_exchanged_data or self._caller_finished):
            return self._fail()
        self._state = FlowState.FINISHING
        return (FINISH_ANSWER,)

    def _on_backend_connection_lost(self, event: BackendConnectionLost) -> FlowActions:
        """End the flow, unless its answer is already complete."""
        if self._state not in _CONNECTED_STATES or self._is_stale(event.attempt):
            return self._ignore()
        if self._state is FlowState.DELIVERING:
            return self._fail()
        # The answer is complete; further data from the caller is discarded.
        if not self._backend_writable:
            return self._ignore()
        self._backend_writable = False
        return NO_ACTIONS

    def _on_deadline_or_timeout(
        self, event: DeadlineReached | IdleTimedOut
    ) -> FlowActions:
        """End the flow as REFUSED or UNKNOWN."""
        return self._fail()

    def _on_drain_started(self, event: DrainStarted) -> FlowActions:
        """Refuse the flow, unless it is connected or still in the handshake."""
        # An established flow may run to its end. A flow that is still opening
        # can't be closed yet: its caller may already consider the handshake
        # complete, and a close during the handshake doesn't carry an outcome.
        if self._state in _CONNECTED_STATES:
            return NO_ACTIONS
        if self._state is FlowState.OPENING:
            self._draining = True
            return NO_ACTIONS
        return self._fail()

    def _on_stop_limit_reached(self, event: StopLimitReached) -> FlowActions:
        """End the flow as REFUSED or UNKNOWN."""
        return self._fail()

    @property
    def _has_exchanged_data(self) -> bool:
        return self._delivered > 0 or self._answer_bytes > 0

    def _is_stale(self, attempt: int) -> bool:
        """Return whether an event belongs to an earlier connection attempt."""
        return attempt != self._attempt

    def _fail(self) -> FlowActions:
        """End the flow as REFUSED, or as UNKNOWN once bytes were delivered."""
        is_undelivered = self._delivered == 0
        return self._end(FlowOutcome.REFUSED if is_undelivered else FlowOutcome.UNKNOWN)

    def _end(self, outcome: FlowOutcome) -> FlowActions:
        """End the flow and return its last actions."""
        cancels_backend = outcome is not FlowOutcome.ANSWERED and self._has_connection
        self._outcome = outcome
        self._state = _FINAL_STATES[outcome]
        self._buffered = 0
        close = CloseFlow(outcome)
        return (CANCEL_BACKEND, close) if cancels_backend else (close,)

    @property
    def _has_connection(self) -> bool:
        """Whether a connection to the backend server is open or being opened."""
        if self._state is FlowState.CONNECTING:
            return True
        return self._state in _CONNECTED_STATES and self._backend_writable


_Handler = Callable[[FlowLifecycle, Any], FlowActions]

_HANDLERS: dict[type, _Handler] = {
    HandshakeCompleted: FlowLifecycle._on_handshake_completed,
    Admitted: FlowLifecycle._on_admitted,
    AdmissionRefused: FlowLifecycle._on_admission_refused,
    CallerSent: FlowLifecycle._on_caller_sent,
    CallerFinished: FlowLifecycle._on_caller_finished,
    CallerCancelled: FlowLifecycle._on_caller_cancelled,
    AnswerAcknowledged: FlowLifecycle._on_answer_acknowledged,
    BackendConnected: FlowLifecycle._on_backend_connected,
    BackendConnectFailed: FlowLifecycle._on_backend_connect_failed,
    BackendWrote: FlowLifecycle._on_backend_wrote,
    BackendSent: FlowLifecycle._on_backend_sent,
    BackendClosed: FlowLifecycle._on_backend_closed,
    BackendConnectionLost: FlowLifecycle._on_backend_connection_lost,
    DeadlineReached: FlowLifecycle._on_deadline_or_timeout,
    IdleTimedOut: FlowLifecycle._on_deadline_or_timeout,
    DrainStarted: FlowLifecycle._on_drain_started,
    StopLimitReached: FlowLifecycle._on_stop_limit_reached,
}
