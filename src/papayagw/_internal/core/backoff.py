"""Waiting between tries: exponential, with full jitter and a limit."""

from random import Random

from papayagw._internal.models.clock import Millis

FIRST_WAIT_MS = Millis(200)
MAX_WAIT_MS = Millis(10_000)


class Backoff:
    """The waits between the tries of one thing.

    Parameters
    ----------
    random : Random
        The source of the jitter.
    first_ms : Millis
        The longest wait after the first failure; it doubles with each further one.
    longest_ms : Millis
        The limit of the doubling.
    """

    def __init__(
        self,
        random: Random,
        first_ms: Millis = FIRST_WAIT_MS,
        longest_ms: Millis = MAX_WAIT_MS,
    ):
        self._random = random
        self._first_ms = first_ms
        self._longest_ms = longest_ms
        self._ceiling_ms = first_ms

    def reset(self) -> None:
        """Begin with short waits again."""
        self._ceiling_ms = self._first_ms

    def next_wait(self) -> Millis:
        """Return how long to wait before the next try."""
        ceiling = self._ceiling_ms
        self._ceiling_ms = Millis(min(2 * ceiling, self._longest_ms))
        return Millis(self._random.randint(1, ceiling))
