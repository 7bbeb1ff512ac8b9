"""Exponential back-off with full jitter and an upper limit."""

from random import Random

from papayagw._internal.models.clock import Millis

FIRST_WAIT_MS = Millis(200)
"""Upper limit of the first wait, which is random."""

MAX_WAIT_MS = Millis(10_000)
"""Upper limit of all waits, at which the limit of a wait stops doubling."""


class Backoff:
    """Back-off state of one retried operation.

    Parameters
    ----------
    random : Random
        Source of the jitter.
    first_ms : Millis
        Upper limit of the wait after the first failure, which doubles with each
        further failure. The wait itself is random.
    max_ms : Millis
        Upper limit of all waits.
    """

    def __init__(
        self,
        random: Random,
        first_ms: Millis = FIRST_WAIT_MS,
        max_ms: Millis = MAX_WAIT_MS,
    ):
        self._random = random
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._ceiling_ms = first_ms

    def reset(self) -> None:
        """Return to the initial maximum wait, after a success."""
        self._ceiling_ms = self._first_ms

    def next_wait(self) -> Millis:
        """Record a failure and return the random wait before the next attempt."""
        ceiling = self._ceiling_ms
        self._ceiling_ms = Millis(min(2 * ceiling, self._max_ms))
        return Millis(self._random.randint(1, ceiling))
