"""When to call the platform's key-value service, and how long to wait for it.

One machine holds one call at a time. It is asked for its next call when it has none
under way, and told the answer.
"""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from papayagw._internal.core.backoff import Backoff
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    StoreAnswer,
    StoreCall,
)

FIRST_TIMEOUT_MS = Millis(500)
"""How long the first try of a call may take: over a hundred usual answers."""

LONGEST_TIMEOUT_MS = Millis(4_000)
"""Limit of the doubling of `FIRST_TIMEOUT_MS`, for a store that is slow."""

FIRST_RETRY_MS = Millis(100)
LONGEST_RETRY_MS = Millis(1_000)
"""Limit of the wait between tries: half of the time in which an entry is to be back
after the store's return."""


@dataclass(frozen=True, slots=True)
class TimedCall:
    """A call and how long to wait for its answer."""

    call: StoreCall
    timeout_ms: Millis


class StoreUser(Protocol):
    """A machine that calls the store."""

    @property
    def due_at(self) -> Millis:
        """When the next call is due."""

    def next_call(self) -> TimedCall | None:
        """Return the call to make now, or None if there is none."""

    def on_answer(self, call: StoreCall, answer: StoreAnswer, now: Millis) -> None:
        """Take in the answer to the call that `next_call` returned last."""


class Patience:
    """How long to wait for answers and between tries of one machine.

    Parameters
    ----------
    random : Random
        The source of the jitter, so that nodes don't return to the store at once.
    longest_retry_ms : Millis
        The longest wait between tries.
    """

    def __init__(self, random: Random, longest_retry_ms: Millis = LONGEST_RETRY_MS):
        self._random = random
        self._backoff = Backoff(random, FIRST_RETRY_MS, longest_retry_ms)
        self._timeout_ms = FIRST_TIMEOUT_MS
        self._failures = 0

    @property
    def timeout_ms(self) -> Millis:
        """How long to wait for the next answer."""
        return self._timeout_ms

    def limit(self, longest_retry_ms: Millis) -> None:
        """Set the longest wait between tries from now on."""
        self._backoff = Backoff(self._random, FIRST_RETRY_MS, longest_retry_ms)

    def succeed(self) -> None:
        """Note a usable answer."""
        self._backoff.reset()
        self._timeout_ms = FIRST_TIMEOUT_MS
        self._failures = 0

    def fail(self, failure: CallFailed) -> Millis:
        """Note a failure; return how long to wait before the next try."""
        self._failures += 1
        if failure.refused:
            return self._backoff.next_wait()
        # The store may be slow: the next try is given longer and is made at once.
        self._timeout_ms = Millis(min(2 * self._timeout_ms, LONGEST_TIMEOUT_MS))
        return self._backoff.next_wait() if self._failures > 1 else Millis(0)
