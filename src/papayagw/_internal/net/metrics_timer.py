"""The timer that hands counters on once a second."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.observe.metrics import CounterSet, StatsdMetrics

FLUSH_INTERVAL_MS = Millis(1_000)


class MetricsTimer:
    """Flushes counters and gauges to statsd.

    Parameters
    ----------
    metrics : StatsdMetrics
        Where they go; started and closed with the timer.
    counters : CounterSet
        What the packet path counts in.
    gauges : callable
        Returns the gauges of the moment, by name.
    """

    def __init__(
        self,
        metrics: StatsdMetrics,
        counters: CounterSet,
        gauges: Callable[[], dict[str, float]] = dict,
    ):
        self._metrics = metrics
        self._counters = counters
        self._gauges = gauges
        self._scope = anyio.CancelScope()

    async def start(self, tasks: TaskGroup) -> None:
        """Open the socket, and flush in `tasks` until `close`."""
        self._metrics.start()
        tasks.start_soon(self._run)

    async def close(self) -> None:
        """Flush for the last time and close the socket."""
        self._scope.cancel()
        self._flush()
        self._metrics.close()

    async def _run(self) -> None:
        with self._scope:
            while True:
                await anyio.sleep(to_seconds(FLUSH_INTERVAL_MS))
                self._flush()

    def _flush(self) -> None:
        self._counters.flush(self._metrics)
        for name, value in self._gauges().items():
            self._metrics.gauge(name, value)
        self._metrics.flush()
