"""How much work a backend server is given before openings wait elsewhere."""

REQUESTS_PER_SLOT = 2
"""Requests for each slot, the one in work included, that still meet their objective.

Objectives are five times the mean work of a request and more; a backend server's own
queue is a few requests long, and what it sheds costs its client one of few retries.
"""


def request_limit(slots: int) -> int:
    """Return how many requests in progress a backend server takes openings below."""
    return REQUESTS_PER_SLOT * max(slots, 1)
