"""Retry policy of the caller's side for opening a flow.

An attempt is retried only if this can't execute the request twice: after a
refusal, after an incomplete handshake, or if the service is idempotent. The outcome
reported to the caller covers all attempts: once an attempt may have been executed,
the flow can no longer end as REFUSED.
"""

from collections.abc import Callable
from typing import Protocol

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.retry import (
    AttemptEnded,
    OpeningAction,
    Reopen,
    ReportOutcome,
    RetryPolicy,
)

MILLITOKENS_PER_TOKEN = 1000
"""Budgets are counted in integer millitokens to keep the sums exact."""


class RetryBudget(Protocol):
    """Limit on the retries of all flows to one service."""

    def record_first_attempt(self) -> None:
        """Record the first attempt of a flow."""

    def try_acquire(self, now: Millis) -> bool:
        """Return whether a retry is allowed, and consume budget if so."""


class RetryRule(Protocol):
    """Policy that decides whether a retry could wrongly execute a request twice."""

    def may_have_run(self, ended: AttemptEnded) -> bool:
        """Return whether a byte of the request may have reached a backend server."""

    def is_safe(self, ended: AttemptEnded, idempotent: bool) -> bool:
        """Return whether opening the flow again is safe."""


class TokenBudget:
    """Token bucket refilled by first attempts and at a minimum rate over time.

    Parameters
    ----------
    policy : RetryPolicy
        Bucket size, tokens per first attempt and tokens per second.
    """

    def __init__(self, policy: RetryPolicy):
        self._capacity = _to_millitokens(policy.burst)
        self._millitokens_per_first_attempt = _to_millitokens(policy.ratio)
        self._floor_per_second = policy.floor_per_second
        self._millitokens = self._capacity
        self._refilled_at: Millis | None = None

    def record_first_attempt(self) -> None:
        """Record the first attempt of a flow."""
        self._add(self._millitokens_per_first_attempt)

    def try_acquire(self, now: Millis) -> bool:
        """Return whether a retry is allowed, and consume budget if so."""
        if self._refilled_at is not None and now > self._refilled_at:
            # Tokens per second equal millitokens per millisecond.
            self._add(round(self._floor_per_second * (now - self._refilled_at)))
        self._refilled_at = now
        if self._millitokens < MILLITOKENS_PER_TOKEN:
            return False
        self._millitokens -= MILLITOKENS_PER_TOKEN
        return True

    def _add(self, millitokens: int) -> None:
        """Add to the budget, up to its capacity."""
        self._millitokens = min(self._capacity, self._millitokens + millitokens)


def _to_millitokens(tokens: float) -> int:
    return round(tokens * MILLITOKENS_PER_TOKEN)


class UndeliveredOnly:
    """Rule that allows a retry if nothing was delivered or requests may be repeated."""

    def may_have_run(self, ended: AttemptEnded) -> bool:
        """Return whether a byte of the request may have reached a backend server."""
        return ended.handshake_completed and ended.outcome is not FlowOutcome.REFUSED

    def is_safe(self, ended: AttemptEnded, idempotent: bool) -> bool:
        """Return whether opening the flow again is safe."""
        if ended.answer_started or not ended.replayable:
            return False
        return idempotent or not self.may_have_run(ended)


class OpeningRetry:
    """State machine of the attempts to open one flow.

    Parameters
    ----------
    policy : RetryPolicy
        Number of attempts and back-off.
    budget : RetryBudget
        Retry budget shared by all flows to the service.
    idempotent : bool
        Whether requests to the service may be executed more than once.
    draw : callable
        Returns a random number from 0 to 1, used as back-off jitter.
    deadline : Millis or None
        Time from which on no attempt is made.
    rule : RetryRule
        Decides whether a retry is safe; `UndeliveredOnly` by default.
    """

    def __init__(
        self,
        policy: RetryPolicy,
        budget: RetryBudget,
        *,
        idempotent: bool,
        draw: Callable[[], float],
        deadline: Millis | None = None,
        rule: RetryRule | None = None,
    ):
        self._policy = policy
        self._budget = budget
        self._idempotent = idempotent
        self._draw = draw
        self._deadline = deadline
        self._rule = rule or UndeliveredOnly()
        self._attempt = 1
        self._may_have_run = False
        self._outcome: FlowOutcome | None = None
        self._ignored = 0
        budget.record_first_attempt()

    @property
    def attempt(self) -> int:
        """Number of the current attempt, starting at 1."""
        return self._attempt

    @property
    def outcome(self) -> FlowOutcome | None:
        """Outcome reported to the caller, or None while the flow is open."""
        return self._outcome

    @property
    def ignored(self) -> int:
        """Number of late or duplicate events, which had no effect."""
        return self._ignored

    def handle_attempt_ended(
        self, ended: AttemptEnded, now: Millis
    ) -> OpeningAction | None:
        """Return the action after an attempt, or None if it isn't the current one."""
        if self._outcome is not None or ended.attempt != self._attempt:
            self._ignored += 1
            return None
        if ended.outcome in (FlowOutcome.ANSWERED, FlowOutcome.CANCELLED):
            return self._finish(ended.outcome)
        self._may_have_run |= self._rule.may_have_run(ended)
        return self._try_reopen(ended, now) or self._finish(self._failure_outcome)

    def cancel(self) -> OpeningAction | None:
        """Return the action after the caller has cancelled, or None if it has ended."""
        if self._outcome is not None:
            self._ignored += 1
            return None
        return self._finish(FlowOutcome.CANCELLED)

    @property
    def _failure_outcome(self) -> FlowOutcome:
        """Outcome reported if no further attempt is made."""
        return FlowOutcome.UNKNOWN if self._may_have_run else FlowOutcome.REFUSED

    def _try_reopen(self, ended: AttemptEnded, now: Millis) -> Reopen | None:
        """Return the action of a further attempt, or None if none is allowed."""
        if self._attempt >= self._policy.max_attempts:
            return None
        if not self._rule.is_safe(ended, self._idempotent):
            return None
        at = Millis(now + self._draw_backoff())
        if self._deadline is not None and at >= self._deadline:
            return None
        if not self._budget.try_acquire(now):
            return None
        self._attempt += 1
        return Reopen(self._attempt, at)

    def _draw_backoff(self) -> Millis:
        """Return a random delay, at most the doubled back-off of this attempt."""
        ceiling_ms = min(
            self._policy.max_backoff_ms,
            self._policy.base_backoff_ms << (self._attempt - 1),
        )
        return Millis(round(ceiling_ms * self._draw()))

    def _finish(self, outcome: FlowOutcome) -> ReportOutcome:
        """Record the final outcome and return the action that reports it."""
        self._outcome = outcome
        return ReportOutcome(outcome)
