"""Properties of the attempts of several flows that share a retry budget.

A history gives the actual course of each attempt and what the caller's side observes
of it, which may be incomplete but never wrong: an agent that delivered a byte never
reports REFUSED, and without a completed handshake nothing was delivered.
"""

from dataclasses import dataclass

from hypothesis import strategies as st

from papayagw._internal.core.retry import OpeningRetry, TokenBudget, UndeliveredOnly
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.retry import (
    AttemptEnded,
    Reopen,
    ReportOutcome,
    RetryPolicy,
)
from tests.properties.proving import Mutation, Property

POLICY = RetryPolicy(burst=3, floor_per_second=0.5)


@dataclass(frozen=True)
class AttemptHistory:
    """Actual course of one attempt and its end as observed by the caller."""

    delivered: bool
    ended: AttemptEnded


@st.composite
def attempt_histories(draw):
    """Draw the actual course of an attempt and its observed end."""
    handshake = draw(st.booleans())
    delivered = handshake and draw(st.booleans())
    reported = [None, FlowOutcome.UNKNOWN]
    reported += [FlowOutcome.ANSWERED] if delivered else [FlowOutcome.REFUSED]
    outcome = draw(st.sampled_from(reported)) if handshake else None
    answer_started = delivered and draw(st.booleans())
    number = draw(st.sampled_from([0, 0, 0, 0, -1, 1]))
    replayable = draw(st.sampled_from([True, True, True, False]))
    ended = AttemptEnded(number, outcome, handshake, answer_started, replayable)
    return AttemptHistory(delivered, ended)


@dataclass(frozen=True)
class Flow:
    """Settings of a flow, and its attempts in order."""

    idempotent: bool
    deadline: Millis | None
    attempts: list
    waits: list


FLOWS = st.builds(
    Flow,
    st.booleans(),
    st.one_of(st.none(), st.integers(0, 3_000).map(Millis)),
    st.lists(attempt_histories(), min_size=1, max_size=6),
    st.lists(st.integers(0, 600), min_size=6, max_size=6),
)
HISTORIES = st.lists(FLOWS, min_size=1, max_size=8)


@dataclass(frozen=True)
class Factories:
    """Factories of the components under test."""

    rule: type = UndeliveredOnly
    budget: type = TokenBudget
    retry: type = OpeningRetry


def check(make, flows):
    """Run the flows one after the other with a shared retry budget."""
    budget = make.budget(POLICY)
    now, reopened = 0, 0
    for flow in flows:
        retry = make.retry(
            POLICY,
            budget,
            idempotent=flow.idempotent,
            draw=lambda: 0.5,
            deadline=flow.deadline,
            rule=make.rule(),
        )
        now, count = run_flow(retry, flow, now)
        reopened += count
    allowed = POLICY.burst + POLICY.ratio * len(flows)
    assert reopened <= allowed + POLICY.floor_per_second * now / 1_000, (
        "retry budget exceeded"
    )


def run_flow(retry, flow, now):
    """Return the time at the end of the flow and its number of retries."""
    delivered, attempt, reported = 0, 1, None
    for actual, wait in zip(flow.attempts, flow.waits, strict=False):
        now += wait
        ended = actual.ended
        is_current = ended.attempt == 0 and reported is None
        number = attempt + ended.attempt
        event = AttemptEnded(
            number,
            ended.outcome,
            ended.handshake_completed,
            ended.answer_started,
            ended.replayable,
        )
        action = retry.handle_attempt_ended(event, Millis(now))
        if not is_current:
            assert action is None, "action on a late or out-of-order event"
            continue
        delivered += actual.delivered
        if isinstance(action, Reopen):
            assert action.attempt == attempt + 1 <= POLICY.max_attempts
            assert ended.replayable and not ended.answer_started
            assert flow.idempotent or not delivered, "request may be executed twice"
            assert flow.deadline is None or now <= action.at < flow.deadline
            attempt = action.attempt
        else:
            assert isinstance(action, ReportOutcome)
            reported = action.outcome
            assert reported is not FlowOutcome.REFUSED or not delivered, (
                "REFUSED reported after delivery"
            )
    return now, attempt - 1


class RetriesWithoutOutcome(UndeliveredOnly):
    """Treats an established flow without an outcome as undelivered."""

    def may_have_run(self, ended):
        return ended.outcome is FlowOutcome.UNKNOWN


class RetriesAlways(UndeliveredOnly):
    """Retries even after delivery."""

    def is_safe(self, ended, idempotent):
        return ended.replayable and not ended.answer_started


class RetriesStartedAnswers(UndeliveredOnly):
    """Retries although the caller has received part of an answer."""

    def is_safe(self, ended, idempotent):
        return idempotent or not self.may_have_run(ended)


class ForgetsEarlierAttempts(OpeningRetry):
    """Reports only the outcome of the last attempt."""

    def handle_attempt_ended(self, ended, now):
        self._may_have_run = False
        return super().handle_attempt_ended(ended, now)


class AcceptsLateEnds(OpeningRetry):
    """Treats the end of an earlier attempt as that of the current one."""

    def handle_attempt_ended(self, ended, now):
        current = AttemptEnded(self.attempt, ended.outcome, ended.handshake_completed)
        return super().handle_attempt_ended(current, now)


class EndlessBudget(TokenBudget):
    """Allows every retry."""

    def try_acquire(self, now):
        return True


PROOF = Property("retry", HISTORIES, check, Factories())
MUTATIONS = [
    Mutation(name, PROOF, factories)
    for name, factories in {
        "RetriesWithoutOutcome": Factories(rule=RetriesWithoutOutcome),
        "RetriesAlways": Factories(rule=RetriesAlways),
        "RetriesStartedAnswers": Factories(rule=RetriesStartedAnswers),
        "ForgetsEarlierAttempts": Factories(retry=ForgetsEarlierAttempts),
        "AcceptsLateEnds": Factories(retry=AcceptsLateEnds),
        "EndlessBudget": Factories(budget=EndlessBudget),
    }.items()
]
