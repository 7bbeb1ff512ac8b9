"""The timer that hands counts and gauges on once a second."""

from collections.abc import Callable, Mapping

import anyio

from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.observe.metrics import CountFlusher, StatsdMetrics

FLUSH_INTERVAL_MS = Millis(1_000)


class MetricsTimer:
    """Flushes counts and gauges to statsd.

    Parameters
    ----------
    metrics : StatsdMetrics
        Where they go; started and closed with the timer.
    read_counts : callable
        Returns the counts since the start, by name.
    read_gauges : callable
        Returns the gauges of the moment, by name.
    """

    def __init__(
        self,
        metrics: StatsdMetrics,
        read_counts: Callable[[], Mapping[str, int]],
        read_gauges: Callable[[], Mapping[str, float]],
    ):
        self._metrics = metrics
        self._flusher = CountFlusher(read_counts)
        self._read_gauges = read_gauges

    def start(self) -> None:
        """Open the socket."""
        self._metrics.start()

    def close(self) -> None:
        """Flush for the last time and close the socket."""
        self._flush()
        self._metrics.close()

    async def run(self) -> None:
        """Flush until cancelled."""
        while True:
            await anyio.sleep(to_seconds(FLUSH_INTERVAL_MS))
            self._flush()

    def _flush(self) -> None:
        self._flusher.flush(self._metrics)
        for name, value in self._read_gauges().items():
            self._metrics.gauge(name, value)
        self._metrics.flush()
