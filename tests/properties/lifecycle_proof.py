"""Properties of the flow lifecycle under any order of events.

A history follows the regular event sequence of a flow, with arbitrary events
inserted: late, duplicate, out of order or of an earlier connection.
"""

from hypothesis import strategies as st

from papayagw._internal.core.lifecycle import FlowLifecycle
from papayagw._internal.models import lifecycle as on
from papayagw._internal.models.flow import FlowOutcome
from tests.properties.proving import Mutation, Property

ATTEMPTS = st.integers(1, 3)
COUNTS = st.integers(1, 3)
REGULAR_SEQUENCES = (
    (
        on.HandshakeCompleted(),
        on.Admitted(),
        on.CallerSent(1),
        on.BackendConnected(1),
        on.CallerSent(2),
        on.BackendWrote(1, 1),
        on.CallerFinished(),
        on.BackendSent(1, 5),
        on.BackendClosed(1),
        on.AnswerAcknowledged(),
    ),
    (
        on.CallerSent(1),
        on.HandshakeCompleted(),
        on.Admitted(),
        on.BackendConnectFailed(1),
        on.BackendConnected(2),
        on.BackendWrote(2, 1),
        on.BackendSent(2, 5),
        on.CallerSent(2),
        on.BackendClosed(2),
        on.CallerFinished(),
        on.AnswerAcknowledged(),
    ),
)
FINAL_EVENTS = (
    on.CallerCancelled,
    on.DeadlineReached,
    on.IdleTimedOut,
    on.StopLimitReached,
)
UNORDERED_EVENTS = st.one_of(
    st.sampled_from([e for sequence in REGULAR_SEQUENCES for e in sequence]),
    st.builds(on.CallerSent, COUNTS),
    st.builds(on.BackendConnected, ATTEMPTS),
    st.builds(on.BackendConnectFailed, ATTEMPTS),
    st.builds(on.BackendWrote, ATTEMPTS, COUNTS),
    st.builds(on.BackendSent, ATTEMPTS, COUNTS),
    st.builds(on.BackendClosed, ATTEMPTS),
    st.builds(on.BackendConnectionLost, ATTEMPTS),
    st.just(on.DrainStarted()),
    st.sampled_from([kind() for kind in (*FINAL_EVENTS, on.AdmissionRefused)]),
)
NEXT = st.none()
HISTORIES = st.tuples(
    st.sampled_from(REGULAR_SEQUENCES),
    st.integers(0, 10),
    st.lists(st.one_of(NEXT, UNORDERED_EVENTS, UNORDERED_EVENTS), max_size=30),
)


def expand(history):
    """Return the events: a regular prefix, then a mix with arbitrary events."""
    sequence, prefix_length, steps = history
    regular = iter(sequence[prefix_length:])
    events = (next(regular, None) if step is None else step for step in steps)
    return [
        *sequence[:prefix_length],
        *(event for event in events if event is not None),
    ]


class Observer:
    """Model of a flow, derived only from its events and actions."""

    def __init__(self):
        self.handshake = False
        self.cancelled = False
        self.acknowledged = False
        self.caller_finished = False
        self.received = 0
        self.delivered = 0
        self.attempt = 0
        self.connecting = False
        self.connected = False
        self.backend_finished = False
        self.answer_finished = False
        self.outcome = None

    def observe(self, event):
        """Update the model from an event, before the lifecycle handles it."""
        match event:
            case on.HandshakeCompleted():
                self.handshake = True
            case on.CallerSent(count) if not self.caller_finished:
                self.received += count
            case on.CallerFinished():
                self.caller_finished = True
            case on.CallerCancelled():
                self.cancelled = True
            case on.AnswerAcknowledged():
                self.acknowledged = self.answer_finished
            case on.BackendConnected(attempt) if attempt == self.attempt:
                self.connected |= self.connecting
                self.connecting = False
            case on.BackendConnectFailed(attempt) if attempt == self.attempt:
                self.connecting = False
            case on.BackendConnectionLost(attempt) if attempt == self.attempt:
                self.connected = False

    def check(self, event, action):
        """Raise AssertionError if `action` isn't allowed after `event`."""
        assert self.outcome is None, "action after the end of the flow"
        _CHECKS.get(type(action), Observer._check_nothing)(self, event, action)

    def _check_nothing(self, event, action):
        pass

    def _check_connect(self, event, action):
        assert self.handshake, "connected before the handshake"
        assert not (self.connecting or self.connected), (
            "second connection while one is open"
        )
        assert self.delivered == 0, "connected again after delivery"
        assert action.attempt == self.attempt + 1
        self.attempt = action.attempt
        self.connecting = True

    def _check_deliver(self, event, action):
        assert self.connected, "delivered without a connection"
        self.delivered += action.count
        assert self.delivered <= self.received, "delivered more bytes than received"
        assert not self.backend_finished, "delivered after the end of the request"

    def _check_finish_backend(self, event, action):
        assert self.caller_finished and not self.backend_finished
        assert self.delivered == self.received, "finished before all was delivered"
        self.backend_finished = True

    def _check_send(self, event, action):
        assert isinstance(event, on.BackendSent) and event.count == action.count
        assert event.attempt == self.attempt and self.connected, (
            "answer of an earlier connection"
        )
        assert not self.answer_finished, "sent after the answer's end"

    def _check_finish_caller(self, event, action):
        assert isinstance(event, on.BackendClosed) and event.attempt == self.attempt
        assert not self.answer_finished, "answer finished twice"
        self.answer_finished = True

    def _check_outcome(self, event, action):
        self.outcome = action.outcome
        match action.outcome:
            case FlowOutcome.ANSWERED:
                assert self.acknowledged, "answered without the whole answer"
            case FlowOutcome.REFUSED:
                assert self.delivered == 0, "refused after delivery"
            case FlowOutcome.CANCELLED:
                assert self.cancelled
            case FlowOutcome.UNKNOWN:
                assert self.delivered > 0, "unknown though nothing was delivered"


_CHECKS = {
    on.ConnectBackend: Observer._check_connect,
    on.DeliverToBackend: Observer._check_deliver,
    on.FinishRequest: Observer._check_finish_backend,
    on.SendToCaller: Observer._check_send,
    on.FinishAnswer: Observer._check_finish_caller,
    on.CloseFlow: Observer._check_outcome,
}


def check(make, history):
    """Check each action, that no byte is lost and that final events end the flow."""
    lifecycle, observer = make(), Observer()
    for event in expand(history):
        observer.observe(event)
        for action in lifecycle.handle(event):
            observer.check(event, action)
        assert lifecycle.outcome is observer.outcome
        if observer.outcome is None:
            assert not isinstance(event, FINAL_EVENTS), f"flow still open after {event}"
            if observer.connected:
                assert observer.delivered == observer.received, "lost bytes"


class DeliversEarly(FlowLifecycle):
    """Delivers bytes before the connection, and so before the handshake."""

    __slots__ = ()

    def handle(self, event):
        if isinstance(event, on.CallerSent) and self.outcome is None:
            return (self._deliver(event.count),)
        return super().handle(event)


class ConnectsEarly(FlowLifecycle):
    """Connects on the first byte, whether or not the handshake is complete."""

    __slots__ = ()

    def handle(self, event):
        if isinstance(event, on.CallerSent) and not self._attempt:
            self._buffered += event.count
            return self._connect()
        return super().handle(event)


class CountsWritesOnly(FlowLifecycle):
    """Counts bytes as delivered only once the socket has written them."""

    __slots__ = ()

    def _fail(self):
        self._delivered -= self._unwritten
        return super()._fail()


class ForgetsAttempts(FlowLifecycle):
    """Accepts events of an earlier connection as those of the current one."""

    __slots__ = ()

    def _is_stale(self, attempt):
        return False


class ReconnectsAfterDelivery(FlowLifecycle):
    """Reconnects after a connection failure even if bytes were delivered."""

    __slots__ = ()

    def handle(self, event):
        if (
            isinstance(event, on.BackendConnectionLost)
            and self.delivered
            and self.outcome is None
        ):
            return self._connect()
        return super().handle(event)


class LivesAfterEnd(FlowLifecycle):
    """Handles events after the outcome was reported."""

    __slots__ = ()

    def handle(self, event):
        self._outcome = None
        return super().handle(event)


class LosesBufferedBytes(FlowLifecycle):
    """Discards the bytes received before the connection."""

    __slots__ = ()

    def handle(self, event):
        if isinstance(event, on.BackendConnected):
            self._buffered = 0
        return super().handle(event)


class AnswersEarly(FlowLifecycle):
    """Reports ANSWERED before the caller has the whole answer."""

    __slots__ = ()

    def handle(self, event):
        actions = super().handle(event)
        if isinstance(event, on.BackendClosed) and on.FinishAnswer() in actions:
            actions = (*actions, *self._end(FlowOutcome.ANSWERED))
        return actions


PROOF = Property("lifecycle", HISTORIES, check, FlowLifecycle)
MUTATIONS = [
    Mutation(mutant.__name__, PROOF, mutant)
    for mutant in (
        DeliversEarly,
        ConnectsEarly,
        CountsWritesOnly,
        ForgetsAttempts,
        ReconnectsAfterDelivery,
        LivesAfterEnd,
        LosesBufferedBytes,
        AnswersEarly,
    )
]
