import socket

import pytest

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.observe.metrics import (
    CountFlusher,
    FanOutMetrics,
    MemoryMetrics,
    StatsdMetrics,
)


@pytest.fixture
def daemon():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
        yield sock


def write_all(metrics):
    metrics.count("drop.bad-tag", 3)
    metrics.gauge("flows", 7)
    metrics.timing("open", 1.5)


def test_memory_metrics_keep_measurements():
    first, second = MemoryMetrics(), MemoryMetrics()
    write_all(FanOutMetrics([first, second]))
    write_all(first)
    assert (first.counts, second.counts) == ({"drop.bad-tag": 6}, {"drop.bad-tag": 3})
    assert first.gauges == {"flows": 7}
    assert first.timings == {"open": (1.5, 1.5)}


def test_statsd_receives_one_packet_per_flush(daemon):
    metrics = StatsdMetrics(Endpoint(*daemon.getsockname()))
    metrics.start()
    write_all(metrics)
    metrics.close()
    assert daemon.recv(2_000).decode().split("\n") == [
        "papayagw.drop.bad-tag:3|c",
        "papayagw.flows:7|g",
        "papayagw.open:1.500000|ms",
    ]


def test_statsd_without_daemon_neither_blocks_nor_raises():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        unused = Endpoint(*sock.getsockname())
    metrics = StatsdMetrics(unused)
    write_all(metrics)
    metrics.start()
    for _ in range(2_000):
        write_all(metrics)
        metrics.flush()
    metrics.close()
    write_all(metrics)


def test_count_flusher_reports_increase_since_last_flush():
    counts = {"balancer.forwarded": 2, "balancer.drop.bad-tag": 0}
    flusher, metrics = CountFlusher(lambda: counts), MemoryMetrics()
    flusher.flush(metrics)
    flusher.flush(metrics)
    assert metrics.counts == {"balancer.forwarded": 2}
    counts |= {"balancer.forwarded": 5, "balancer.answered": 1}
    flusher.flush(metrics)
    assert metrics.counts == {"balancer.forwarded": 5, "balancer.answered": 1}
