"""Metrics: counts, gauges and timings, by statsd.

Names are words with points between them, such as ``balancer.drop.bad-tag``; the
prefix ``papayagw`` is put before them.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from statsd import StatsClient
from statsd.client.udp import Pipeline

from papayagw._internal.models.endpoint import Endpoint

PREFIX = "papayagw"


class Metrics(Protocol):
    """Where measurements go. No method blocks or raises."""

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, duration: float) -> None:
        """Note one duration, in milliseconds."""


class MemoryMetrics:
    """Keeps measurements, for the status report and for tests."""

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
        """The durations noted, in milliseconds."""
        return {name: tuple(values) for name, values in self._timings.items()}

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        self._counts[name] = self._counts.get(name, 0) + value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, duration: float) -> None:
        """Note one duration, in milliseconds."""
        self._timings.setdefault(name, []).append(duration)


class StatsdMetrics:
    """Sends measurements to a statsd daemon over UDP.

    Measurements are packed together until `flush`. When there is no daemon, or
    the socket's buffer is full, they are lost.

    Parameters
    ----------
    daemon : Endpoint
        Where the daemon listens.
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
        """Send what is left and close the socket."""
        if self._client is not None:
            self.flush()
            self._client.close()
        self._client = self._pipeline = None

    def flush(self) -> None:
        """Send what was noted since the last flush."""
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
        """Note one duration, in milliseconds."""
        if self._pipeline is not None:
            self._pipeline.timing(name, duration)


class FanOutMetrics:
    """Hands each measurement to several others.

    Parameters
    ----------
    targets : sequence of Metrics
        Where each measurement goes.
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
        """Note one duration, in milliseconds."""
        for target in self._targets:
            target.timing(name, duration)


class CountFlusher:
    """Hands on what was added to plain counters since the last time.

    The packet path adds to a dictionary, which costs an update of it and neither a
    string nor a system call; a timer hands the difference on.

    Parameters
    ----------
    read : callable
        Returns the counts since the start, by name.
    """

    def __init__(self, read: Callable[[], Mapping[str, int]]):
        self._read = read
        self._flushed: Mapping[str, int] = {}

    def flush(self, metrics: Metrics) -> None:
        """Hand on what was added since the last flush."""
        counts = dict(self._read())
        for name, value in counts.items():
            added = value - self._flushed.get(name, 0)
            if added:
                metrics.count(name, added)
        self._flushed = counts


class _NonBlockingClient(StatsClient):  # type: ignore[misc]
    """A statsd client that loses a packet sooner than it waits."""

    def __init__(self, host: str, port: int, prefix: str):
        super().__init__(host, port, prefix)
        # The library drops a packet on any error of the socket.
        self._sock.setblocking(False)
