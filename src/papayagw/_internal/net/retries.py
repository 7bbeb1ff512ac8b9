"""What decides about further openings of the flows to one service."""

import random
from collections.abc import Callable

from papayagw._internal.core.retry import OpeningRetry, TokenBudget
from papayagw._internal.models.retry import RetryPolicy


def make_retries(*, idempotent: bool) -> Callable[[], OpeningRetry]:
    """Return a maker of the decisions of one flow, which all share a budget."""
    policy = RetryPolicy()
    budget = TokenBudget(policy)
    draw = random.SystemRandom().random

    def make_retry() -> OpeningRetry:
        return OpeningRetry(policy, budget, idempotent=idempotent, draw=draw)

    return make_retry
