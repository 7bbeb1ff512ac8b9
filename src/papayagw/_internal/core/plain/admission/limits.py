"""Limit on the concurrent requests of a backend server."""

REQUESTS_PER_SLOT = 2
"""Number of requests per slot, active or queued, that still meet their objective.

A slot is the capacity of a backend server to process one request at a time.

Latency objectives are at least five times the mean service time. The backend server's
own queue holds only a few requests, and each request that it sheds costs its client
one of few retries.
"""


def max_concurrent_requests(slots: int) -> int:
    """Return the number of requests at which a backend server gets no more openings."""
    return REQUESTS_PER_SLOT * max(slots, 1)
