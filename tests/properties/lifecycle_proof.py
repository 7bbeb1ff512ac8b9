"""What must hold of a flow's lifecycle, whatever the order of its events.

A history is mostly the plain course of a flow, with any other event put between:
late, twice, crossed, of an earlier connection.
"""

from hypothesis import strategies as st

from papayagw._internal.core.lifecycle import FlowLifecycle
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.lifecycle import (
    AdmissionRefused,
    Admitted,
    AnswerAcknowledged,
    BackendBroke,
    BackendClosed,
    BackendConnected,
    BackendConnectFailed,
    BackendSent,
    BackendWrote,
    CallerCancelled,
    CallerFinished,
    CallerSent,
    ConnectBackend,
    DeadlineReached,
    DeliverToBackend,
    FinishToBackend,
    FinishToCaller,
    HandshakeCompleted,
    IdleTimedOut,
    SendToCaller,
    StopAsked,
    StopLimitReached,
    TellCaller,
)
from tests.properties.proving import Mutation, Property

ATTEMPTS = st.integers(1, 3)
COUNTS = st.integers(1, 3)
PLAIN_COURSES = (
    (
        HandshakeCompleted(),
        Admitted(),
        CallerSent(1),
        BackendConnected(1),
        CallerSent(2),
        BackendWrote(1, 1),
        CallerFinished(),
        BackendSent(1, 5),
        BackendClosed(1),
        AnswerAcknowledged(),
    ),
    (
        CallerSent(1),
        HandshakeCompleted(),
        Admitted(),
        BackendConnectFailed(1),
        BackendConnected(2),
        BackendWrote(2, 1),
        BackendSent(2, 5),
        CallerSent(2),
        BackendClosed(2),
        CallerFinished(),
        AnswerAcknowledged(),
    ),
)
ENDINGS = (CallerCancelled, DeadlineReached, IdleTimedOut, StopLimitReached)
NOISE = st.one_of(
    st.sampled_from([e for course in PLAIN_COURSES for e in course]),
    st.builds(CallerSent, COUNTS),
    st.builds(BackendConnected, ATTEMPTS),
    st.builds(BackendConnectFailed, ATTEMPTS),
    st.builds(BackendWrote, ATTEMPTS, COUNTS),
    st.builds(BackendSent, ATTEMPTS, COUNTS),
    st.builds(BackendClosed, ATTEMPTS),
    st.builds(BackendBroke, ATTEMPTS),
    st.just(StopAsked()),
    st.sampled_from([kind() for kind in (*ENDINGS, AdmissionRefused)]),
)
NEXT = st.none()
HISTORIES = st.tuples(
    st.sampled_from(PLAIN_COURSES),
    st.integers(0, 10),
    st.lists(st.one_of(NEXT, NOISE, NOISE), max_size=30),
)


def expand(history):
    """Return the events: a plain beginning, then a mixture."""
    course, begun, steps = history
    plain = iter(course[begun:])
    events = (next(plain, None) if step is None else step for step in steps)
    return [*course[:begun], *(event for event in events if event is not None)]


class Observer:
    """What an outsider knows of a flow, from its events and actions alone."""

    def __init__(self):
        self.handshake = False
        self.cancelled = False
        self.acknowledged = False
        self.caller_finished = False
        self.received = 0
        self.handed = 0
        self.attempt = 0
        self.connecting = False
        self.connected = False
        self.backend_finished = False
        self.answer_finished = False
        self.told = None

    def note(self, event):
        """Take in what an event proves, before the lifecycle answers it."""
        match event:
            case HandshakeCompleted():
                self.handshake = True
            case CallerSent(count) if not self.caller_finished:
                self.received += count
            case CallerFinished():
                self.caller_finished = True
            case CallerCancelled():
                self.cancelled = True
            case AnswerAcknowledged():
                self.acknowledged = self.answer_finished
            case BackendConnected(attempt) if attempt == self.attempt:
                self.connected |= self.connecting
                self.connecting = False
            case BackendConnectFailed(attempt) if attempt == self.attempt:
                self.connecting = False
            case BackendBroke(attempt) if attempt == self.attempt:
                self.connected = False

    def check(self, event, action):
        """Raise AssertionError if `action` may not follow `event`."""
        assert self.told is None, "acted after the end"
        _CHECKS.get(type(action), Observer._check_nothing)(self, event, action)

    def _check_nothing(self, event, action):
        pass

    def _check_connect(self, event, action):
        assert self.handshake, "connected before the handshake"
        assert not (self.connecting or self.connected), "two connections"
        assert self.handed == 0, "connected again after delivery"
        assert action.attempt == self.attempt + 1
        self.attempt = action.attempt
        self.connecting = True

    def _check_deliver(self, event, action):
        assert self.connected, "delivered without a connection"
        self.handed += action.count
        assert self.handed <= self.received, "delivered what never came"
        assert not self.backend_finished, "delivered after the end"

    def _check_finish_backend(self, event, action):
        assert self.caller_finished and not self.backend_finished
        assert self.handed == self.received, "finished before all was delivered"
        self.backend_finished = True

    def _check_send(self, event, action):
        assert isinstance(event, BackendSent) and event.count == action.count
        assert event.attempt == self.attempt and self.connected, "crossed answer"
        assert not self.answer_finished, "sent after the answer's end"

    def _check_finish_caller(self, event, action):
        assert isinstance(event, BackendClosed) and event.attempt == self.attempt
        assert not self.answer_finished, "two ends"
        self.answer_finished = True

    def _check_tell(self, event, action):
        self.told = action.outcome
        match action.outcome:
            case FlowOutcome.ANSWERED:
                assert self.acknowledged, "answered without the whole answer"
            case FlowOutcome.REFUSED:
                assert self.handed == 0, "refused after delivery"
            case FlowOutcome.CANCELLED:
                assert self.cancelled
            case FlowOutcome.UNKNOWN:
                assert self.handed > 0, "unknown though nothing was delivered"


_CHECKS = {
    ConnectBackend: Observer._check_connect,
    DeliverToBackend: Observer._check_deliver,
    FinishToBackend: Observer._check_finish_backend,
    SendToCaller: Observer._check_send,
    FinishToCaller: Observer._check_finish_caller,
    TellCaller: Observer._check_tell,
}


def check(make, history):
    """Check each action, and that no byte is lost and each ending ends."""
    lifecycle, observer = make(), Observer()
    for event in expand(history):
        observer.note(event)
        for action in lifecycle.handle(event):
            observer.check(event, action)
        assert lifecycle.outcome is observer.told
        if observer.told is None:
            assert not isinstance(event, ENDINGS), f"lived on after {event}"
            if observer.connected:
                assert observer.handed == observer.received, "lost bytes"


class HandsOverEarly(FlowLifecycle):
    """Hands bytes over before the connection, so before the handshake too."""

    __slots__ = ()

    def handle(self, event):
        if isinstance(event, CallerSent) and self.outcome is None:
            return (self._hand_over(event.count),)
        return super().handle(event)


class ConnectsEarly(FlowLifecycle):
    """Connects on the first byte, whether or not the handshake is complete."""

    __slots__ = ()

    def handle(self, event):
        if isinstance(event, CallerSent) and not self._attempt:
            self._held += event.count
            return self._connect()
        return super().handle(event)


class CountsWritesOnly(FlowLifecycle):
    """Takes bytes for undelivered until the socket took them."""

    __slots__ = ()

    def _fail(self):
        self._handed -= self._undelivered
        return super()._fail()


class ForgetsAttempts(FlowLifecycle):
    """Takes events of an earlier connection for those of the present one."""

    __slots__ = ()

    def _is_stale(self, attempt):
        return False


class ReconnectsAfterDelivery(FlowLifecycle):
    """Opens a second connection after a break, whatever was delivered."""

    __slots__ = ()

    def handle(self, event):
        if isinstance(event, BackendBroke) and self.handed and self.outcome is None:
            return self._connect()
        return super().handle(event)


class LivesAfterEnd(FlowLifecycle):
    """Goes on after its outcome was told."""

    __slots__ = ()

    def handle(self, event):
        self._outcome = None
        return super().handle(event)


class LosesHeldBytes(FlowLifecycle):
    """Forgets what came before the connection."""

    __slots__ = ()

    def handle(self, event):
        if isinstance(event, BackendConnected):
            self._held = 0
        return super().handle(event)


class AnswersEarly(FlowLifecycle):
    """Tells ANSWERED before the caller has the whole answer."""

    __slots__ = ()

    def handle(self, event):
        actions = super().handle(event)
        if isinstance(event, BackendClosed) and FinishToCaller() in actions:
            actions = (*actions, *self._end(FlowOutcome.ANSWERED))
        return actions


PROOF = Property("lifecycle", HISTORIES, check, FlowLifecycle)
MUTATIONS = [
    Mutation(double.__name__, PROOF, double)
    for double in (
        HandsOverEarly,
        ConnectsEarly,
        CountsWritesOnly,
        ForgetsAttempts,
        ReconnectsAfterDelivery,
        LivesAfterEnd,
        LosesHeldBytes,
        AnswersEarly,
    )
]
