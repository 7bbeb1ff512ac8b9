import pytest

from papayagw._internal.core.retry import OpeningRetry, TokenBudget
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.retry import (
    AttemptEnded,
    Reopen,
    ReportOutcome,
    RetryPolicy,
)

NOW = Millis(1_000)
REFUSED = FlowOutcome.REFUSED
UNKNOWN = FlowOutcome.UNKNOWN


def make_retry(idempotent=False, deadline=None, policy=None):
    policy = policy or RetryPolicy()
    return OpeningRetry(
        policy,
        TokenBudget(policy),
        idempotent=idempotent,
        draw=lambda: 1.0,
        deadline=deadline,
    )


@pytest.mark.parametrize(
    ("idempotent", "ended", "action"),
    [
        (False, AttemptEnded(1, REFUSED, True), Reopen(2, Millis(1_025))),
        (False, AttemptEnded(1, None, False), Reopen(2, Millis(1_025))),
        (False, AttemptEnded(1, UNKNOWN, True), ReportOutcome(UNKNOWN)),
        (False, AttemptEnded(1, None, True), ReportOutcome(UNKNOWN)),
        (True, AttemptEnded(1, UNKNOWN, True), Reopen(2, Millis(1_025))),
        (True, AttemptEnded(1, None, True), Reopen(2, Millis(1_025))),
        (
            True,
            AttemptEnded(1, UNKNOWN, True, answer_started=True),
            ReportOutcome(UNKNOWN),
        ),
        (
            True,
            AttemptEnded(1, UNKNOWN, True, replayable=False),
            ReportOutcome(UNKNOWN),
        ),
        (
            False,
            AttemptEnded(1, REFUSED, True, replayable=False),
            ReportOutcome(REFUSED),
        ),
        (
            False,
            AttemptEnded(1, FlowOutcome.ANSWERED, True),
            ReportOutcome(FlowOutcome.ANSWERED),
        ),
        (
            True,
            AttemptEnded(1, FlowOutcome.CANCELLED, True),
            ReportOutcome(FlowOutcome.CANCELLED),
        ),
        (False, AttemptEnded(2, REFUSED, True), None),
    ],
)
def test_first_attempt_ended(idempotent, ended, action):
    assert make_retry(idempotent).handle_attempt_ended(ended, NOW) == action


@pytest.mark.parametrize("deadline", [1_000, 1_025])
def test_no_attempt_at_or_after_deadline(deadline):
    retry = make_retry(deadline=Millis(deadline))
    assert retry.handle_attempt_ended(
        AttemptEnded(1, REFUSED, True), NOW
    ) == ReportOutcome(REFUSED)


@pytest.mark.parametrize(
    ("first", "last", "reported"),
    [(REFUSED, REFUSED, REFUSED), (UNKNOWN, REFUSED, UNKNOWN)],
)
def test_reported_outcome_covers_all_attempts(first, last, reported):
    retry = make_retry(idempotent=True, policy=RetryPolicy(max_attempts=2))
    retry.handle_attempt_ended(AttemptEnded(1, first, True), NOW)
    assert retry.handle_attempt_ended(
        AttemptEnded(2, last, True), NOW
    ) == ReportOutcome(reported)
    assert retry.cancel() is None
    assert retry.ignored == 1


def test_back_off_doubles_up_to_its_limit():
    retry = make_retry(policy=RetryPolicy(max_attempts=9, burst=99))
    waits = []
    for attempt in range(1, 9):
        action = retry.handle_attempt_ended(AttemptEnded(attempt, REFUSED, True), NOW)
        waits.append(action.at - NOW)
    assert waits == [25, 50, 100, 200, 400, 800, 1000, 1000]


@pytest.mark.parametrize(
    ("first_attempts", "elapsed", "granted"),
    [(0, 0, 2), (10, 0, 2), (0, 1_000, 3), (0, 9_000, 4)],
)
def test_budget_is_a_fraction_of_first_attempts_with_a_minimum_rate(
    first_attempts, elapsed, granted
):
    budget = TokenBudget(RetryPolicy(burst=2))
    taken = [budget.try_acquire(NOW), budget.try_acquire(NOW)] if elapsed else []
    for _ in range(first_attempts):
        budget.record_first_attempt()
    taken += [budget.try_acquire(Millis(NOW + elapsed)) for _ in range(9)]
    assert sum(taken) == granted


def test_gives_up_when_budget_is_exhausted():
    policy = RetryPolicy(burst=1, ratio=0.1)
    budget = TokenBudget(policy)
    actions = [
        OpeningRetry(
            policy, budget, idempotent=False, draw=lambda: 0.0
        ).handle_attempt_ended(AttemptEnded(1, REFUSED, True), NOW)
        for _ in range(21)
    ]
    assert sum(isinstance(action, Reopen) for action in actions) == 3
