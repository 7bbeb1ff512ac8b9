"""What a caller's side does when an attempt to open a flow has ended.

A further attempt is made only where it can't run the request twice: after a
refusal, after an attempt whose handshake never completed, or for an idempotent
service. What the caller is told covers all attempts, so one that may have run
rules out REFUSED for good.
"""

from collections.abc import Callable
from typing import Protocol

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.opening import (
    AttemptEnded,
    GiveUp,
    OpeningAction,
    Reopen,
    RetryPolicy,
)

MILLITOKENS_PER_TOKEN = 1000
"""Thousandths of a token in one, so that the sums are exact."""


class RetryBudget(Protocol):
    """Bounds the further attempts of all flows to one service together."""

    def record_first_attempt(self) -> None:
        """Note a flow's first attempt."""

    def try_acquire(self, now: Millis) -> bool:
        """Return whether one further attempt may be made, and count it."""


class RetryRule(Protocol):
    """Decides whether a further attempt could run a request twice."""

    def may_have_run(self, ended: AttemptEnded) -> bool:
        """Return whether a byte may have reached a backend server."""

    def is_safe(self, ended: AttemptEnded, idempotent: bool) -> bool:
        """Return whether opening again is safe."""


class TokenBudget:
    """A token bucket that first tries fill, with a floor that time fills.

    Parameters
    ----------
    policy : RetryPolicy
        How many tokens a first try and a second are worth.
    """

    def __init__(self, policy: RetryPolicy):
        self._capacity = _to_millitokens(policy.burst)
        self._millitokens_per_first_attempt = _to_millitokens(policy.ratio)
        self._floor_per_second = policy.floor_per_second
        self._millitokens = self._capacity
        self._refilled_at: Millis | None = None

    def record_first_attempt(self) -> None:
        """Note a flow's first attempt."""
        self._add(self._millitokens_per_first_attempt)

    def try_acquire(self, now: Millis) -> bool:
        """Return whether one further attempt may be made, and count it."""
        if self._refilled_at is not None and now > self._refilled_at:
            # So many tokens a second are as many thousandths a millisecond.
            self._add(round(self._floor_per_second * (now - self._refilled_at)))
        self._refilled_at = now
        if self._millitokens < MILLITOKENS_PER_TOKEN:
            return False
        self._millitokens -= MILLITOKENS_PER_TOKEN
        return True

    def _add(self, millitokens: int) -> None:
        self._millitokens = min(self._capacity, self._millitokens + millitokens)


def _to_millitokens(tokens: float) -> int:
    return round(tokens * MILLITOKENS_PER_TOKEN)


class UndeliveredOnly:
    """Allow a further attempt only where nothing was delivered."""

    def may_have_run(self, ended: AttemptEnded) -> bool:
        """Return whether a byte may have reached a backend server."""
        return ended.handshake_completed and ended.outcome is not FlowOutcome.REFUSED

    def is_safe(self, ended: AttemptEnded, idempotent: bool) -> bool:
        """Return whether opening again is safe."""
        if ended.answer_started or not ended.replayable:
            return False
        return idempotent or not self.may_have_run(ended)


class OpeningRetry:
    """The attempts to open one flow.

    Parameters
    ----------
    policy : RetryPolicy
        How often and when to try again.
    budget : RetryBudget
        Shared by all flows to the service.
    idempotent : bool
        Whether the service's requests may run more than once.
    draw : callable
        Returns a random number from 0 to 1, for the back-off.
    deadline : Millis or None
        After this time no attempt is made.
    rule : RetryRule
        When a further attempt is safe.
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
        """The number of the current attempt."""
        return self._attempt

    @property
    def outcome(self) -> FlowOutcome | None:
        """What the caller was told, or None while the flow lives."""
        return self._outcome

    @property
    def ignored(self) -> int:
        """Events that came late or twice and changed nothing."""
        return self._ignored

    def handle_attempt_ended(
        self, ended: AttemptEnded, now: Millis
    ) -> OpeningAction | None:
        """Return what to do after an attempt, or None if it isn't the current one."""
        if self._outcome is not None or ended.attempt != self._attempt:
            self._ignored += 1
            return None
        if ended.outcome in (FlowOutcome.ANSWERED, FlowOutcome.CANCELLED):
            return self._make_give_up(ended.outcome)
        self._may_have_run |= self._rule.may_have_run(ended)
        return self._make_reopen(ended, now) or self._make_give_up(self._failure)

    def cancel(self) -> OpeningAction | None:
        """Return what to do when the caller goes away."""
        if self._outcome is not None:
            self._ignored += 1
            return None
        return self._make_give_up(FlowOutcome.CANCELLED)

    @property
    def _failure(self) -> FlowOutcome:
        return FlowOutcome.UNKNOWN if self._may_have_run else FlowOutcome.REFUSED

    def _make_reopen(self, ended: AttemptEnded, now: Millis) -> Reopen | None:
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
        ceiling_ms = min(
            self._policy.max_backoff_ms,
            self._policy.base_backoff_ms << (self._attempt - 1),
        )
        return Millis(round(ceiling_ms * self._draw()))

    def _make_give_up(self, outcome: FlowOutcome) -> GiveUp:
        self._outcome = outcome
        return GiveUp(outcome)
