"""Counters, gauges and timings, sent to statsd.

Metric names are dotted, such as ``balancer.drop.bad-tag``; the prefix ``papayagw``
is added when they are sent.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from statsd import StatsClient
from statsd.client.udp import Pipeline

from papayagw._internal.models.endpoint import Endpoint

PREFIX = "papayagw"


class Metrics(Protocol):
    """Receiver of measurements. No method blocks or raises."""

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, duration: float) -> None:
        """Record one duration, in milliseconds."""


class MemoryMetrics:
    """Keeps measurements in memory, so that tests can read them; used by tests only."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}

    @property
    def counts(self) -> dict[str, int]:
        """The counters."""
        return dict(self._counts)

    @property
    def gauges(self) -> dict[str, float]:
        """The gauges."""
        return dict(self._gauges)

    @property
    def timings(self) -> dict[str, tuple[float, ...]]:
        """The recorded durations, in milliseconds."""
        return {name: tuple(values) for name, values in self._timings.items()}

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        self._counts[name] = self._counts.get(name, 0) + value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, duration: float) -> None:
        """Record one duration, in milliseconds."""
        self._timings.setdefault(name, []).append(duration)


class StatsdMetrics:
    """Sends measurements to a statsd daemon over UDP.

    Measurements are batched until `flush`. They are lost if there is no daemon or
    the socket's send buffer is full.

    Parameters
    ----------
    daemon : Endpoint
        The address that the daemon listens on.
    """

    def __init__(self, daemon: Endpoint):
        self._daemon = daemon
        self._client: StatsClient | None = None
        self._pipeline: Pipeline | None = None

    def start(self) -> None:
        """Open the socket."""
        client = _NonBlockingClient(self._daemon.ip, self._daemon.port, PREFIX)
        self._client = client
        self._pipeline = client.pipeline()

    def close(self) -> None:
        """Send the remaining measurements and close the socket."""
        if self._client is not None:
            self.flush()
            self._client.close()
        self._client = self._pipeline = None

    def flush(self) -> None:
        """Send the measurements collected since the last flush."""
        if self._pipeline is not None:
            self._pipeline.send()

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        if self._pipeline is not None:
            self._pipeline.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._pipeline is not None:
            self._pipeline.gauge(name, value)

    def timing(self, name: str, duration: float) -> None:
        """Record one duration, in milliseconds."""
        if self._pipeline is not None:
            self._pipeline.timing(name, duration)


class FanOutMetrics:
    """Forwards each measurement to several targets.

    Parameters
    ----------
    targets : sequence of Metrics
        The receivers of each measurement.
    """

    def __init__(self, targets: Sequence[Metrics]):
        self._targets = tuple(targets)

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        for target in self._targets:
            target.count(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        for target in self._targets:
            target.gauge(name, value)

    def timing(self, name: str, duration: float) -> None:
        """Record one duration, in milliseconds."""
        for target in self._targets:
            target.timing(name, duration)


class CountFlusher:
    """Reports the increase of in-memory counters since the last flush.

    The packet path only increments a counter in a dictionary, which needs neither
    string formatting nor a system call; a timer reports the difference.

    Parameters
    ----------
    read : callable
        Returns the total counts since start-up, by name.
    """

    def __init__(self, read: Callable[[], Mapping[str, int]]):
        self._read = read
        self._flushed: Mapping[str, int] = {}

    def flush(self, metrics: Metrics) -> None:
        """Report the increase of each counter since the last flush."""
        counts = dict(self._read())
        for name, value in counts.items():
            added = value - self._flushed.get(name, 0)
            if added:
                metrics.count(name, added)
        self._flushed = counts


class _NonBlockingClient(StatsClient):  # type: ignore[misc]
    """Statsd client that drops a packet when sending would block."""

    def __init__(self, host: str, port: int, prefix: str):
        super().__init__(host, port, prefix)
        # The library drops the packet on any socket error.
        self._sock.setblocking(False)
