import pytest

from papayagw._internal.core.lifecycle import FlowLifecycle
from papayagw._internal.models import lifecycle as on
from papayagw._internal.models.flow import FlowOutcome

ACCEPTED = [on.HandshakeCompleted(), on.Admitted()]
CONNECTED = [*ACCEPTED, on.BackendConnected(1)]
DELIVERED = [*CONNECTED, on.CallerSent(9)]
ANSWERING = [*DELIVERED, on.BackendSent(1, 4)]
FINISHING = [*ANSWERING, on.BackendClosed(1)]

REFUSED = on.CloseFlow(FlowOutcome.REFUSED)
UNKNOWN = on.CloseFlow(FlowOutcome.UNKNOWN)
CANCELLED = on.CloseFlow(FlowOutcome.CANCELLED)
ANSWERED = on.CloseFlow(FlowOutcome.ANSWERED)


def replay(events):
    """Return the lifecycle after `events` and the actions for the last one."""
    lifecycle = FlowLifecycle()
    actions = ()
    for event in events:
        actions = lifecycle.handle(event)
    return lifecycle, actions


@pytest.mark.parametrize(
    ("events", "actions"),
    [
        ([on.CallerSent(9)], ()),
        ([on.CallerSent(9), on.HandshakeCompleted()], ()),
        (ACCEPTED, (on.ConnectBackend(1),)),
        ([*ACCEPTED, on.CallerSent(9)], ()),
        ([*ACCEPTED, on.BackendConnectFailed(1)], (on.ConnectBackend(2),)),
        (CONNECTED, ()),
        (
            [on.CallerSent(2), *ACCEPTED, on.CallerSent(7), on.BackendConnected(1)],
            (on.DeliverToBackend(9),),
        ),
        (
            [on.CallerSent(2), on.CallerFinished(), *CONNECTED],
            (on.DeliverToBackend(2), on.FinishRequest()),
        ),
        (DELIVERED, (on.DeliverToBackend(9),)),
        ([*DELIVERED, on.CallerFinished()], (on.FinishRequest(),)),
        (ANSWERING, (on.SendToCaller(4),)),
        (FINISHING, (on.FinishAnswer(),)),
        ([*FINISHING, on.CallerSent(3)], (on.DeliverToBackend(3),)),
        ([*FINISHING, on.BackendConnectionLost(1), on.CallerSent(3)], ()),
        ([*FINISHING, on.AnswerAcknowledged()], (ANSWERED,)),
        ([*CONNECTED, on.DrainStarted()], ()),
        ([on.CallerSent(9), on.DrainStarted()], ()),
        ([*ANSWERING, on.DrainStarted()], ()),
    ],
)
def test_action(events, actions):
    assert replay(events)[1] == actions


@pytest.mark.parametrize(
    ("events", "actions"),
    [
        ([on.AdmissionRefused()], (REFUSED,)),
        ([on.HandshakeCompleted(), on.AdmissionRefused()], (REFUSED,)),
        ([on.CallerSent(9), on.DeadlineReached()], (REFUSED,)),
        ([*ACCEPTED, on.DrainStarted()], (on.CancelBackend(), REFUSED)),
        ([on.HandshakeCompleted(), on.DrainStarted()], (REFUSED,)),
        ([on.DrainStarted(), on.HandshakeCompleted()], (REFUSED,)),
        (
            [
                *ACCEPTED,
                on.CallerSent(9),
                *[on.BackendConnectFailed(n) for n in (1, 2)],
            ],
            (REFUSED,),
        ),
        ([*CONNECTED, on.BackendConnectionLost(1)], (on.CancelBackend(), REFUSED)),
        ([*CONNECTED, on.BackendClosed(1)], (on.CancelBackend(), REFUSED)),
        (
            [*CONNECTED, on.DrainStarted(), on.StopLimitReached()],
            (on.CancelBackend(), REFUSED),
        ),
        ([*DELIVERED, on.BackendConnectionLost(1)], (on.CancelBackend(), UNKNOWN)),
        ([*DELIVERED, on.DeadlineReached()], (on.CancelBackend(), UNKNOWN)),
        ([*DELIVERED, on.IdleTimedOut()], (on.CancelBackend(), UNKNOWN)),
        ([*ANSWERING, on.StopLimitReached()], (on.CancelBackend(), UNKNOWN)),
        ([*ANSWERING, on.CallerCancelled()], (on.CancelBackend(), CANCELLED)),
        ([*ACCEPTED, on.CallerCancelled()], (on.CancelBackend(), CANCELLED)),
        ([*FINISHING, on.BackendConnectionLost(1), on.IdleTimedOut()], (UNKNOWN,)),
    ],
)
def test_outcome(events, actions):
    lifecycle, last = replay(events)
    assert last == actions
    assert lifecycle.outcome is actions[-1].outcome


@pytest.mark.parametrize(
    "events",
    [
        [on.Admitted()],
        [on.HandshakeCompleted(), on.HandshakeCompleted()],
        [*ACCEPTED, on.Admitted()],
        [*ACCEPTED, on.AdmissionRefused()],
        [*ACCEPTED, on.BackendConnected(2)],
        [*ACCEPTED, on.BackendSent(1, 1)],
        [*ACCEPTED, on.BackendConnectFailed(1), on.BackendConnected(1)],
        [*CONNECTED, on.BackendConnectFailed(1)],
        [*CONNECTED, on.BackendWrote(1, 1)],
        [*DELIVERED, on.AnswerAcknowledged()],
        [*DELIVERED, on.CallerFinished(), on.CallerSent(1)],
        [*FINISHING, on.BackendSent(1, 1)],
        [*FINISHING, on.BackendClosed(1)],
        [*DELIVERED, on.DeadlineReached(), on.BackendSent(1, 1)],
        [*FINISHING, on.AnswerAcknowledged(), on.CallerCancelled()],
    ],
)
def test_late_or_out_of_order_event_is_ignored_and_counted(events):
    before, _ = replay(events[:-1])
    lifecycle, actions = replay(events)
    assert actions == ()
    assert lifecycle.state is before.state
    assert lifecycle.ignored == before.ignored + 1


def test_bytes_are_unwritten_from_delivery_to_write():
    lifecycle, _ = replay([*DELIVERED, on.BackendWrote(1, 5)])
    assert (lifecycle.delivered, lifecycle.unwritten) == (9, 4)
    assert lifecycle.state is on.FlowState.DELIVERING
