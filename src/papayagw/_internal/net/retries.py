"""What decides about further openings of the flows to one service."""

import random
from collections.abc import Callable

from papayagw._internal.core.retry import OpeningRetry, TokenBudget
from papayagw._internal.models.opening import RetryPolicy


def make_retries() -> Callable[[], OpeningRetry]:
    """Return a maker of the decisions of one flow, which all share a budget."""
    policy = RetryPolicy()
    budget = TokenBudget(policy)
    # Which calls are idempotent isn't known here, so none is taken to be.
    draw = random.SystemRandom().random

    def make_retry() -> OpeningRetry:
        return OpeningRetry(policy, budget, idempotent=False, draw=draw)

    return make_retry
