"""Number of concurrent requests up to which a backend server gets openings."""

REQUESTS_PER_SLOT = 2
"""Number of requests per slot, including the active one, that meet their objective.

Latency objectives are at least five times the mean service time. The backend server's
own queue holds only a few requests, and each request that it sheds costs its client
one of few retries.
"""


def max_concurrent_requests(slots: int) -> int:
    """Return the number of requests at which a backend server gets no more openings."""
    return REQUESTS_PER_SLOT * max(slots, 1)
