"""JSON log lines and metrics exposition of the plain front end."""

import json
import os

import pytest

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.observe.exposition import MetricsRegistry
from papayagw._internal.observe.json_lines import (
    LINES_PER_WINDOW,
    MAX_UNSENT_BYTES,
    JsonLinesLog,
)


class FixedClock:
    def __init__(self):
        self.time = 0

    def now(self):
        return self.time


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    with open(reader, "rb", buffering=0) as read, open(writer, "wb") as write:
        yield read, write


def start(writer, clock=None):
    lines = JsonLinesLog("node-1", clock or FixedClock(), writer.fileno())
    lines.start()
    return lines


def read_lines(reader):
    return [json.loads(line) for line in reader.read(1 << 20).splitlines()]


def test_a_line_has_time_node_event_and_fields(pipe):
    start(pipe[1]).write("opened", {"agent": Endpoint("10.0.0.1", 7), "ms": 3})
    (line,) = read_lines(pipe[0])
    assert line.pop("time").endswith("Z")
    assert line == {
        "node": "node-1",
        "event": "opened",
        "agent": "10.0.0.1:7",
        "ms": 3,
    }


def test_lines_of_one_event_are_rate_limited_and_the_rest_is_counted(pipe):
    clock = FixedClock()
    lines = start(pipe[1], clock)
    for _ in range(LINES_PER_WINDOW + 5):
        lines.write("flood", {})
    assert len(read_lines(pipe[0])) == LINES_PER_WINDOW
    clock.time = 1_000
    lines.write("flood", {})
    assert read_lines(pipe[0])[0]["suppressed"] == 5


def test_slow_reader_never_blocks_writing(pipe):
    clock = FixedClock()
    lines = start(pipe[1], clock)
    text = "x" * 10_000
    for number in range(100):
        clock.time += 1_000
        lines.write("long", {"number": number, "text": text})
    assert lines.dropped > 0
    assert len(lines._unsent) <= MAX_UNSENT_BYTES


def test_closed_reader_raises_no_error(pipe):
    lines = start(pipe[1])
    pipe[0].close()
    lines.write("nobody", {})
    lines.write("nobody", {})
    assert lines.dropped == 2


def test_metrics_in_text_exposition_format():
    metrics = MetricsRegistry()
    metrics.count("opening accepted")
    metrics.count("opening accepted", 2)
    metrics.observe("opening accepted", 1.5)
    metrics.observe("opening accepted", 9_000)
    metrics.gauge("flows remembered", lambda: 7)
    text = metrics.render().splitlines()
    assert "papayagw_opening_accepted_total 3" in text
    assert "papayagw_flows_remembered 7" in text
    assert 'papayagw_opening_accepted_ms_bucket{le="1"} 0' in text
    assert 'papayagw_opening_accepted_ms_bucket{le="2"} 1' in text
    assert 'papayagw_opening_accepted_ms_bucket{le="+Inf"} 2' in text
    assert "papayagw_opening_accepted_ms_count 2" in text
