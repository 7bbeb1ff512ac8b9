"""How much work an agent lets its backend server have at once.

`AdaptiveLimit` rises by the square root of itself while the answers keep their
pace and falls by a tenth when they slow down (additive increase, multiplicative
decrease). The pace is compared with the best mean of the last one or two
baseline windows. At each turn of such a window the limit is halved once, so that
a long overload can't pass for the normal pace.
"""

import math
from typing import Protocol

from papayagw._internal.models.clock import Millis

DECREASE = 0.9
TOLERANCE = 2.0
"""The ratio of the mean latency to the baseline that still counts as its pace."""
SLACK_MS = Millis(5)
ADJUST_MS = Millis(100)
"""How often the limit moves."""
MIN_SAMPLES = 5
"""How many answers a mean is made of, at least."""
BASELINE_MS = Millis(30_000)
"""Length of a baseline window."""
_USED_SHARE = 0.5
"""The share of the limit that has to be used for it to rise."""


class ConcurrencyLimit(Protocol):
    """How many flows may wait for their backend server at once."""

    @property
    def limit(self) -> int:
        """The limit in force."""

    def note_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Note how long a backend server took to begin its answer."""

    def note_failure(self, now: Millis) -> None:
        """Note that a backend server failed a flow."""


class FixedLimit:
    """A limit that never moves; a large one stands for none.

    Parameters
    ----------
    limit : int
        The limit.
    """

    def __init__(self, limit: int):
        self._limit = limit

    @property
    def limit(self) -> int:
        """The limit in force."""
        return self._limit

    def note_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Ignore the answer."""

    def note_failure(self, now: Millis) -> None:
        """Ignore the failure."""


class AdaptiveLimit:
    """A limit that follows the latency of the answers.

    Parameters
    ----------
    initial : int
        The limit at the start.
    lowest : int
        It never falls below.
    highest : int
        It never rises above.
    """

    def __init__(self, initial: int, lowest: int, highest: int):
        self._limit = float(initial)
        self._lowest = lowest
        self._highest = highest
        self._latency_sum = 0
        self._samples = 0
        self._most_in_progress = 0
        self._adjusted_at: Millis | None = None
        self._failed_at: Millis | None = None
        self._baseline_since: Millis | None = None
        self._best = math.inf
        self._earlier_best = math.inf

    @property
    def limit(self) -> int:
        """The limit in force."""
        return int(self._limit)

    @property
    def baseline_ms(self) -> float:
        """The mean latency that counts as normal; infinite before any is known."""
        return min(self._best, self._earlier_best)

    def note_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Note how long a backend server took to begin its answer."""
        if self._adjusted_at is None:
            self._adjusted_at = self._baseline_since = now
        self._latency_sum += latency
        self._samples += 1
        self._most_in_progress = max(self._most_in_progress, in_progress)
        if now - self._adjusted_at >= ADJUST_MS and self._samples >= MIN_SAMPLES:
            self._adjust(now)

    def note_failure(self, now: Millis) -> None:
        """Note that a backend server failed a flow."""
        if self._failed_at is None or now - self._failed_at >= ADJUST_MS:
            self._failed_at = now
            self._set(self._limit * DECREASE)

    def _adjust(self, now: Millis) -> None:
        mean = self._latency_sum / self._samples
        self._best = min(self._best, mean)
        if mean > self.baseline_ms * TOLERANCE + SLACK_MS:
            self._set(self._limit * DECREASE)
        elif self._most_in_progress >= self._limit * _USED_SHARE:
            self._set(self._limit + math.sqrt(self._limit))
        self._latency_sum = self._samples = self._most_in_progress = 0
        self._adjusted_at = now
        self._turn_baseline(now)

    def _turn_baseline(self, now: Millis) -> None:
        if self._baseline_since is None or now - self._baseline_since < BASELINE_MS:
            return
        self._baseline_since = now
        self._earlier_best, self._best = self._best, math.inf
        self._set(self._limit / 2)

    def _set(self, limit: float) -> None:
        self._limit = min(max(limit, self._lowest), self._highest)
