"""Timeouts and retries of calls to the platform's key-value service, the store.

Each client of the store has at most one call in flight. Its driver requests the next
call when none is in flight and passes the answer back.
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

INITIAL_TIMEOUT_MS = Millis(500)
"""Timeout of the first attempt: over a hundred times the usual response time."""

PROBE_TIMEOUT_MS = Millis(300)
"""Timeout of every second attempt while a node serves nothing without the store.

A call that a silent store has lost ends early, while the attempts between give a slow
store time to answer.
"""

MAX_TIMEOUT_MS = Millis(4_000)
"""Upper limit of the timeout, which doubles while the store is slow."""

INITIAL_RETRY_DELAY_MS = Millis(100)
"""Initial delay between attempts, which grows with each failure."""

MAX_RETRY_DELAY_MS = Millis(1_000)
"""Default upper limit of the delay between attempts.

Half of the time within which an entry must be restored after the store's recovery.
"""


@dataclass(frozen=True, slots=True)
class TimedCall:
    """A store call with its timeout."""

    call: StoreCall
    timeout_ms: Millis


class StoreClient(Protocol):
    """A state machine that decides which store call is made next, and when."""

    @property
    def due_at(self) -> Millis | None:
        """Time at which the next call is due; None if there is none."""

    def next_call(self) -> TimedCall | None:
        """Return the next call, or None if there is none."""

    def on_answer(self, call: StoreCall, answer: StoreAnswer, now: Millis) -> None:
        """Handle the answer to the call that `next_call` returned last."""


class RetrySchedule:
    """Timeouts and retry delays of one client of the store.

    Parameters
    ----------
    random : Random
        Source of the jitter, which keeps nodes from returning to the store all at
        the same time.
    max_retry_delay_ms : Millis
        Upper limit of the delay between attempts.
    is_urgent : bool
        Whether the first and every second attempt after it is a probe with a short
        timeout, until `set_max_retry_delay` is called.
    """

    def __init__(
        self,
        random: Random,
        max_retry_delay_ms: Millis = MAX_RETRY_DELAY_MS,
        *,
        is_urgent: bool = False,
    ):
        self._random = random
        self._is_urgent = is_urgent
        self._backoff = Backoff(random, INITIAL_RETRY_DELAY_MS, max_retry_delay_ms)
        self._timeout_ms = INITIAL_TIMEOUT_MS
        self._failures = 0

    @property
    def timeout_ms(self) -> Millis:
        """Timeout of the next call."""
        return PROBE_TIMEOUT_MS if self._is_probing else self._timeout_ms

    @property
    def _is_probing(self) -> bool:
        """Whether the next call is a probe."""
        return self._is_urgent and self._failures % 2 == 0

    def set_max_retry_delay(self, max_retry_delay_ms: Millis) -> None:
        """Set the upper limit of the retry delay, reset the backoff, and end probes."""
        self._is_urgent = False
        self._backoff = Backoff(
            self._random, INITIAL_RETRY_DELAY_MS, max_retry_delay_ms
        )

    def record_success(self) -> None:
        """Record a usable answer, which resets the timeout and the retry delay."""
        self._backoff.reset()
        self._timeout_ms = INITIAL_TIMEOUT_MS
        self._failures = 0

    def record_failure(self, failure: CallFailed) -> Millis:
        """Record a failure; return the delay before the next attempt, in ms."""
        was_probe = self._is_probing
        self._failures += 1
        if failure.refused:
            return self._backoff.next_wait()
        # The store may be slow: the first retry is immediate, with a longer timeout.
        if not was_probe:
            self._timeout_ms = Millis(min(2 * self._timeout_ms, MAX_TIMEOUT_MS))
        return self._backoff.next_wait() if self._failures > 1 else Millis(0)
