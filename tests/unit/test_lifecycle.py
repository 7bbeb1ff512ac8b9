import pytest

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
    CancelBackend,
    ConnectBackend,
    DeadlineReached,
    DeliverToBackend,
    FinishToBackend,
    FinishToCaller,
    FlowState,
    HandshakeCompleted,
    IdleTimedOut,
    SendToCaller,
    StopAsked,
    StopLimitReached,
    TellCaller,
)

ACCEPTED = [HandshakeCompleted(), Admitted()]
CONNECTED = [*ACCEPTED, BackendConnected(1)]
DELIVERED = [*CONNECTED, CallerSent(9)]
ANSWERING = [*DELIVERED, BackendSent(1, 4)]
FINISHING = [*ANSWERING, BackendClosed(1)]

REFUSED = TellCaller(FlowOutcome.REFUSED)
UNKNOWN = TellCaller(FlowOutcome.UNKNOWN)
CANCELLED = TellCaller(FlowOutcome.CANCELLED)
ANSWERED = TellCaller(FlowOutcome.ANSWERED)


def replay(events):
    """Return a lifecycle after `events` and what it did about the last one."""
    lifecycle = FlowLifecycle()
    actions = ()
    for event in events:
        actions = lifecycle.handle(event)
    return lifecycle, actions


@pytest.mark.parametrize(
    ("events", "actions"),
    [
        ([CallerSent(9)], ()),
        ([CallerSent(9), HandshakeCompleted()], ()),
        (ACCEPTED, (ConnectBackend(1),)),
        ([*ACCEPTED, CallerSent(9)], ()),
        ([*ACCEPTED, BackendConnectFailed(1)], (ConnectBackend(2),)),
        (CONNECTED, ()),
        (
            [CallerSent(2), *ACCEPTED, CallerSent(7), BackendConnected(1)],
            (DeliverToBackend(9),),
        ),
        (
            [CallerSent(2), CallerFinished(), *CONNECTED],
            (DeliverToBackend(2), FinishToBackend()),
        ),
        (DELIVERED, (DeliverToBackend(9),)),
        ([*DELIVERED, CallerFinished()], (FinishToBackend(),)),
        (ANSWERING, (SendToCaller(4),)),
        (FINISHING, (FinishToCaller(),)),
        ([*FINISHING, CallerSent(3)], (DeliverToBackend(3),)),
        ([*FINISHING, BackendBroke(1), CallerSent(3)], ()),
        ([*FINISHING, AnswerAcknowledged()], (ANSWERED,)),
        ([*ANSWERING, StopAsked()], ()),
    ],
)
def test_action(events, actions):
    assert replay(events)[1] == actions


@pytest.mark.parametrize(
    ("events", "actions"),
    [
        ([AdmissionRefused()], (REFUSED,)),
        ([HandshakeCompleted(), AdmissionRefused()], (REFUSED,)),
        ([CallerSent(9), DeadlineReached()], (REFUSED,)),
        ([*ACCEPTED, StopAsked()], (CancelBackend(), REFUSED)),
        (
            [*ACCEPTED, CallerSent(9), *[BackendConnectFailed(n) for n in (1, 2)]],
            (REFUSED,),
        ),
        ([*CONNECTED, BackendBroke(1)], (CancelBackend(), REFUSED)),
        ([*CONNECTED, BackendClosed(1)], (CancelBackend(), REFUSED)),
        ([*CONNECTED, StopAsked()], (CancelBackend(), REFUSED)),
        ([*DELIVERED, BackendBroke(1)], (CancelBackend(), UNKNOWN)),
        ([*DELIVERED, DeadlineReached()], (CancelBackend(), UNKNOWN)),
        ([*DELIVERED, IdleTimedOut()], (CancelBackend(), UNKNOWN)),
        ([*ANSWERING, StopLimitReached()], (CancelBackend(), UNKNOWN)),
        ([*ANSWERING, CallerCancelled()], (CancelBackend(), CANCELLED)),
        ([*ACCEPTED, CallerCancelled()], (CancelBackend(), CANCELLED)),
        ([*FINISHING, BackendBroke(1), IdleTimedOut()], (UNKNOWN,)),
    ],
)
def test_outcome(events, actions):
    lifecycle, last = replay(events)
    assert last == actions
    assert lifecycle.outcome is actions[-1].outcome


@pytest.mark.parametrize(
    "events",
    [
        [Admitted()],
        [HandshakeCompleted(), HandshakeCompleted()],
        [*ACCEPTED, Admitted()],
        [*ACCEPTED, AdmissionRefused()],
        [*ACCEPTED, BackendConnected(2)],
        [*ACCEPTED, BackendSent(1, 1)],
        [*ACCEPTED, BackendConnectFailed(1), BackendConnected(1)],
        [*CONNECTED, BackendConnectFailed(1)],
        [*CONNECTED, BackendWrote(1, 1)],
        [*DELIVERED, AnswerAcknowledged()],
        [*DELIVERED, CallerFinished(), CallerSent(1)],
        [*FINISHING, BackendSent(1, 1)],
        [*FINISHING, BackendClosed(1)],
        [*DELIVERED, DeadlineReached(), BackendSent(1, 1)],
        [*FINISHING, AnswerAcknowledged(), CallerCancelled()],
    ],
)
def test_late_or_crossed_event_is_counted_and_changes_nothing(events):
    before, _ = replay(events[:-1])
    lifecycle, actions = replay(events)
    assert actions == ()
    assert lifecycle.state is before.state
    assert lifecycle.ignored == before.ignored + 1


def test_bytes_are_counted_from_hand_over_to_write():
    lifecycle, _ = replay([*DELIVERED, BackendWrote(1, 5)])
    assert (lifecycle.handed, lifecycle.undelivered) == (9, 4)
    assert lifecycle.state is FlowState.DELIVERING
