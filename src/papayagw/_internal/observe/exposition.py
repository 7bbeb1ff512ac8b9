"""Counters, gauges and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from collections.abc import Callable

LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)
"""Upper bounds of the histogram buckets, in milliseconds."""

CONTENT_TYPE = "text/plain; version=0.0.4"

_PREFIX = "papayagw_"


class Histogram:
    """Histogram of durations in buckets of `LATENCY_BOUNDS_MS`."""

    def __init__(self) -> None:
        self._counts = [0] * (len(LATENCY_BOUNDS_MS) + 1)
        self._sum_ms = 0.0

    def observe(self, duration_ms: float) -> None:
        """Record one duration, in milliseconds."""
        self._counts[bisect_left(LATENCY_BOUNDS_MS, duration_ms)] += 1
        self._sum_ms += duration_ms

    def render(self, name: str) -> list[str]:
        """Return the lines of the histogram in the text format."""
        lines = [f"# TYPE {name} histogram"]
        total = 0
        bounds = [str(bound) for bound in LATENCY_BOUNDS_MS]
        for bound, count in zip([*bounds, "+Inf"], self._counts, strict=True):
            total += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        return [*lines, f"{name}_sum {self._sum_ms:g}", f"{name}_count {total}"]


class MetricsRegistry:
    """Registry of the metrics of one process."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, event: str, value: int = 1) -> None:
        """Add `value` to the counter of an event."""
        self._counts[event] = self._counts.get(event, 0) + value

    def observe(self, event: str, duration_ms: float) -> None:
        """Record the duration of an event, in milliseconds."""
        histogram = self._histograms.get(event)
        if histogram is None:
            histogram = self._histograms[event] = Histogram()
        histogram.observe(duration_ms)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; `read` is called at each `render`."""
        self._gauges[name] = read

    def render(self) -> str:
        """Return all metrics in the text format."""
        lines: list[str] = []
        for event, count in sorted(self._counts.items()):
            name = f"{_PREFIX}{_to_metric_name(event)}_total"
            lines += [f"# TYPE {name} counter", f"{name} {count}"]
        for gauge, read in sorted(self._gauges.items()):
            name = f"{_PREFIX}{_to_metric_name(gauge)}"
            lines += [f"# TYPE {name} gauge", f"{name} {read():g}"]
        for event, histogram in sorted(self._histograms.items()):
            lines += histogram.render(f"{_PREFIX}{_to_metric_name(event)}_ms")
        return "\n".join(lines) + "\n"


def _to_metric_name(event: str) -> str:
    return event.replace(" ", "_").replace("-", "_")
