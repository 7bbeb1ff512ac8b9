import json
import logging
import re

import pytest

from papayagw._internal.exceptions import BindError, Step
from papayagw._internal.observe.logs import configure_logging
from tests.lib.samples import ManualClock


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def log(clock):
    return configure_logging("balancer-1", clock)


def read_lines(capsys):
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    for line in lines:
        assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", line.pop("time"))
        assert line.pop("node") == "balancer-1"
    return lines


ERROR = BindError("port taken", step=Step.BIND, peer="127.0.0.1:1", remedy="free it")


@pytest.mark.parametrize(
    ("write", "line"),
    [
        (
            lambda log: log.info("refused", step=Step.DELIVER, peer="p", flow=b"\1\2"),
            {"level": "info", "message": "refused"}
            | {"step": "deliver", "peer": "p", "flow": "0102"},
        ),
        (
            lambda log: log.warning("100% of %s\n"),
            {"level": "warning", "message": "100% of %s\n"},
        ),
        (
            lambda log: log.error("m", level="x"),
            {"level": "error", "message": "m"},
        ),
        (
            lambda log: log.failure(ERROR, flow="f"),
            {"level": "error", "message": "port taken", "step": "bind"}
            | {"peer": "127.0.0.1:1", "remedy": "free it", "flow": "f"},
        ),
        (
            lambda log: logging.getLogger("quic").warning("lost %d", 3),
            {"level": "warning", "message": "lost 3", "library": "quic"},
        ),
    ],
)
def test_each_record_is_one_json_line(log, capsys, write, line):
    write(log)
    assert read_lines(capsys) == [line]


@pytest.mark.parametrize(
    "write",
    [
        lambda log: log.debug("hidden"),
        lambda log: logging.getLogger("quic").info("hidden"),
    ],
)
def test_lower_levels_are_left_out(log, capsys, write):
    write(log)
    assert read_lines(capsys) == []


def test_exception_has_traceback_on_same_line(log, capsys):
    try:
        raise KeyError("x")
    except KeyError:
        log.exception("report failed")
    (line,) = read_lines(capsys)
    assert line["message"] == "report failed"
    assert "KeyError" in line["traceback"]


def test_rate_limited_warning_logs_few_lines_and_a_count(log, clock, capsys):
    for _ in range(1_000):
        log.rate_limited_warning("bad tag", peer="p")
    log.flush_suppressed()
    clock.advance(1_000)
    log.flush_suppressed()
    *first, last = read_lines(capsys)
    assert [line["peer"] for line in first] == ["p", "p", "p"]
    assert last == {"level": "warning", "message": "bad tag", "suppressed": 997}
