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

DECREASE_FACTOR = 0.9
LATENCY_TOLERANCE = 2.0
"""The ratio of the mean latency to the baseline that still counts as its pace."""
LATENCY_SLACK_MS = Millis(5)
ADJUST_INTERVAL_MS = Millis(100)
"""How often the limit moves."""
MIN_SAMPLES = 5
"""How many answers a mean is made of, at least."""
BASELINE_WINDOW_MS = Millis(30_000)
"""Length of a baseline window."""
_MIN_UTILIZATION = 0.5
"""The share of the limit that has to be used for it to rise."""


class ConcurrencyLimit(Protocol):
    """How many flows may wait for their backend server at once."""

    @property
    def limit(self) -> int:
        """The limit in force."""

    def record_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Note how long a backend server took to begin its answer."""

    def record_failure(self, now: Millis) -> None:
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

    def record_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Ignore the answer."""

    def record_failure(self, now: Millis) -> None:
        """Ignore the failure."""


class AdaptiveLimit:
    """A limit that follows the latency of the answers.

    Parameters
    ----------
    initial_limit : int
        The limit at the start.
    min_limit : int
        It never falls below.
    max_limit : int
        It never rises above.
    """

    def __init__(self, initial_limit: int, min_limit: int, max_limit: int):
        self._limit = float(initial_limit)
        self._min_limit = min_limit
        self._max_limit = max_limit
        self._latency_sum = 0
        self._samples = 0
        self._peak_in_progress = 0
        self._adjusted_at: Millis | None = None
        self._failed_at: Millis | None = None
        self._baseline_started_at: Millis | None = None
        self._lowest_mean = math.inf
        self._previous_lowest_mean = math.inf

    @property
    def limit(self) -> int:
        """The limit in force."""
        return int(self._limit)

    @property
    def baseline_ms(self) -> float:
        """The mean latency that counts as normal; infinite before any is known."""
        return min(self._lowest_mean, self._previous_lowest_mean)

    def record_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Note how long a backend server took to begin its answer."""
        if self._adjusted_at is None:
            self._adjusted_at = self._baseline_started_at = now
        self._latency_sum += latency
        self._samples += 1
        self._peak_in_progress = max(self._peak_in_progress, in_progress)
        if (
            now - self._adjusted_at >= ADJUST_INTERVAL_MS
            and self._samples >= MIN_SAMPLES
        ):
            self._adjust(now)

    def record_failure(self, now: Millis) -> None:
        """Note that a backend server failed a flow."""
        if self._failed_at is None or now - self._failed_at >= ADJUST_INTERVAL_MS:
            self._failed_at = now
            self._set_limit(self._limit * DECREASE_FACTOR)

    def _adjust(self, now: Millis) -> None:
        mean = self._latency_sum / self._samples
        self._lowest_mean = min(self._lowest_mean, mean)
        if mean > self.baseline_ms * LATENCY_TOLERANCE + LATENCY_SLACK_MS:
            self._set_limit(self._limit * DECREASE_FACTOR)
        elif self._peak_in_progress >= self._limit * _MIN_UTILIZATION:
            self._set_limit(self._limit + math.sqrt(self._limit))
        self._latency_sum = self._samples = self._peak_in_progress = 0
        self._adjusted_at = now
        self._rotate_baseline(now)

    def _rotate_baseline(self, now: Millis) -> None:
        if (
            self._baseline_started_at is None
            or now - self._baseline_started_at < BASELINE_WINDOW_MS
        ):
            return
        self._baseline_started_at = now
        self._previous_lowest_mean, self._lowest_mean = self._lowest_mean, math.inf
        self._set_limit(self._limit / 2)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(max(limit, self._min_limit), self._max_limit)
