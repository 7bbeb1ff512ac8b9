"""Retry policy of the flows to one service."""

import random
from collections.abc import Callable

from papayagw._internal.core.retry import OpeningRetry, TokenBudget
from papayagw._internal.models.retry import RetryPolicy


def make_retry_factory(*, idempotent: bool) -> Callable[[], OpeningRetry]:
    """Return a factory of `OpeningRetry` objects that share one retry budget."""
    policy = RetryPolicy()
    budget = TokenBudget(policy)
    draw = random.SystemRandom().random

    def make_retry() -> OpeningRetry:
        return OpeningRetry(policy, budget, idempotent=idempotent, draw=draw)

    return make_retry
