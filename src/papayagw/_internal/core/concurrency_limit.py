"""Limits on the number of concurrent requests to a backend server.

`AdaptiveLimit` grows by its square root while the latency of the answers stays
near the baseline and shrinks by a tenth when the latency rises (additive increase,
multiplicative decrease). The baseline is the lowest mean latency of the last one or
two baseline windows. The limit is halved once at the end of each window, so that a
long overload can't become the baseline.
"""

import math
from typing import Protocol

from papayagw._internal.models.clock import Millis

DECREASE_FACTOR = 0.9
"""Factor by which high latency or a failure reduces the limit."""
LATENCY_TOLERANCE = 2.0
"""Highest ratio of the mean latency to the baseline that counts as normal."""
LATENCY_SLACK_MS = Millis(5)
"""Latency in ms above that ratio that still counts as normal."""
ADJUST_INTERVAL_MS = Millis(100)
"""Minimum interval between adjustments of the limit."""
MIN_SAMPLES = 5
"""Minimum number of answers for a mean latency."""
BASELINE_WINDOW_MS = Millis(30_000)
"""Length of a baseline window, of which the last two give the baseline."""
_MIN_UTILIZATION = 0.5
"""Minimum share of the limit that must be in use for it to grow."""


class ConcurrencyLimit(Protocol):
    """Limit on the number of flows that await an answer concurrently."""

    @property
    def limit(self) -> int:
        """Current limit."""

    def record_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Record the latency of the first byte of an answer."""

    def record_failure(self, now: Millis) -> None:
        """Record that a flow failed at the backend server."""


class FixedLimit:
    """Constant limit; a large value amounts to no limit.

    Parameters
    ----------
    limit : int
        Maximum number of concurrent flows.
    """

    def __init__(self, limit: int):
        self._limit = limit

    @property
    def limit(self) -> int:
        """Current limit."""
        return self._limit

    def record_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Do nothing, as the limit is constant."""

    def record_failure(self, now: Millis) -> None:
        """Do nothing, as the limit is constant."""


class AdaptiveLimit:
    """Limit that adapts to the latency of the answers.

    Parameters
    ----------
    initial_limit : int
        Limit at the start.
    min_limit : int
        Lower bound of the limit.
    max_limit : int
        Upper bound of the limit.
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
        """Current limit."""
        return int(self._limit)

    @property
    def baseline_ms(self) -> float:
        """Baseline latency, or infinity before the first adjustment."""
        return min(self._lowest_mean, self._previous_lowest_mean)

    def record_answer(self, latency: Millis, in_progress: int, now: Millis) -> None:
        """Record the latency of the first byte of an answer."""
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
        """Record that a flow failed at the backend server."""
        if self._failed_at is None or now - self._failed_at >= ADJUST_INTERVAL_MS:
            self._failed_at = now
            self._set_limit(self._limit * DECREASE_FACTOR)

    def _adjust(self, now: Millis) -> None:
        """Change the limit by the mean latency of the answers since the last change."""
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
        """Start a new baseline window and halve the limit, if the window has ended."""
        if (
            self._baseline_started_at is None
            or now - self._baseline_started_at < BASELINE_WINDOW_MS
        ):
            return
        self._baseline_started_at = now
        self._previous_lowest_mean, self._lowest_mean = self._lowest_mean, math.inf
        self._set_limit(self._limit / 2)

    def _set_limit(self, limit: float) -> None:
        """Set the limit, kept within its bounds."""
        self._limit = min(max(limit, self._min_limit), self._max_limit)
