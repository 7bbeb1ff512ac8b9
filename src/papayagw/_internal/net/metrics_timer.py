"""Timer that sends a node's metrics to statsd once a second."""

import anyio

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis, to_seconds
from papayagw._internal.net.account import Account
from papayagw._internal.observe.metrics import CountFlusher, StatsdMetrics

FLUSH_INTERVAL_MS = Millis(1_000)


class MetricsTimer:
    """Flushes counts, gauges and timings to statsd.

    It also measures the lag of the event loop, that is how late the timer runs. With
    one loop on one thread, a packet may have to wait that long for other work.

    Parameters
    ----------
    metrics : StatsdMetrics
        Statsd client; started and closed with the timer.
    account : Account
        Source of the metrics.
    """

    def __init__(self, metrics: StatsdMetrics, account: Account):
        self._metrics = metrics
        self._account = account
        self._flusher = CountFlusher(account.read_counts)
        self._lag_name = f"{account.identity.role.value}.loop-lag"

    def start(self) -> None:
        """Open the statsd socket."""
        self._metrics.start()

    def close(self) -> None:
        """Flush once more and close the socket."""
        self._flush()
        self._metrics.close()

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            due = anyio.current_time() + to_seconds(FLUSH_INTERVAL_MS)
            await anyio.sleep_until(due)
            lag = (anyio.current_time() - due) * MILLIS_PER_SECOND
            self._metrics.timing(self._lag_name, lag)
            self._flush()

    def _flush(self) -> None:
        self._flusher.flush(self._metrics)
        for name, value in self._account.read_gauges().items():
            self._metrics.gauge(name, value)
        for name, durations in self._account.pop_timings().items():
            for duration in durations:
                self._metrics.timing(name, duration)
        self._metrics.flush()
