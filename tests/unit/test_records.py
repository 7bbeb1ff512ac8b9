import pytest
from returns.result import Failure

from papayagw._internal.core.record_maker import RecordMaker
from papayagw._internal.models.report import Side
from papayagw._internal.models.status import NodeState, Role
from papayagw._internal.observe.records import (
    RecordWriter,
    encode_record,
    read_records,
)
from papayagw._internal.observe.status_json import decode_status, encode_status
from tests.lib.reports import make_record, make_status, make_totals

LATER_RUN = {"run": 2_000, "services": (make_totals(5),)}
RECORD = make_record()
LINE = encode_record(RECORD)


@pytest.mark.parametrize(
    ("first", "second", "opened", "lost"),
    [
        ({}, {}, 0, 0),
        ({}, {"services": (make_totals(130),)}, 30, 0),
        ({"services": ()}, {}, 100, 0),
        ({}, LATER_RUN, 5, 12),
        ({"state": NodeState.DRAINING}, LATER_RUN, 5, 0),
    ],
)
def test_record_is_difference_between_reports(first, second, opened, lost):
    maker = RecordMaker()
    assert maker.add_report(make_status(**first), 10_000) == ()
    (record,) = maker.add_report(make_status(**second), 20_000)
    assert (record.start_ms, record.end_ms) == (10_000, 20_000)
    assert (record.counts.opened, record.counts.lost) == (opened, lost)
    assert record.work_ms == 10 * opened


@pytest.mark.parametrize(
    ("second", "now"),
    [({}, 10_000), ({}, 9_000), ({"run": 500}, 20_000)],
)
def test_clock_set_back_or_earlier_run_gives_no_record(second, now):
    maker = RecordMaker()
    maker.add_report(make_status(), 10_000)
    assert maker.add_report(make_status(**second), now) == ()


def test_connect_role_counts_on_caller_side():
    maker = RecordMaker()
    maker.add_report(make_status(role=Role.CONNECT), 10_000)
    (record,) = maker.add_report(make_status(role=Role.CONNECT), 20_000)
    assert record.side is Side.CALLER


@pytest.mark.parametrize(
    ("before", "records", "faults"),
    [
        (b"", 2, []),
        (LINE, 3, []),
        (LINE[:40], 2, ["not JSON"]),
        (LINE + b"[]\n", 3, ["ServiceRecord: expected an object, found []"]),
        (b'{"start_ms":0}\n', 2, ["ServiceRecord.end_ms is missing"]),
        (
            LINE.replace(b'"capacity":64.0', b'"capacity":NaN'),
            2,
            ["a count below zero"],
        ),
        (
            LINE.replace(b'"end_ms":10000', b'"end_ms":-1'),
            2,
            ["ends before it starts: the recorder's clock was set back"],
        ),
        (LINE.replace(b'"agent"', b'"x"'), 2, ["ServiceRecord.side: 'x' is not a"]),
        (b"[" * 100_000 + b"\n", 2, ["not JSON"]),
        (b"\xff\xfe\n", 2, ["not JSON"]),
    ],
)
def test_invalid_lines_are_skipped_when_reading_records(
    tmp_path, before, records, faults
):
    path = tmp_path / "records"
    path.write_bytes(before)
    writer = RecordWriter(path)
    writer.start()
    writer.write([RECORD, RECORD])
    writer.close()
    read = read_records([path]).unwrap()
    assert read.records == (RECORD,) * records
    assert len(read.invalid_lines) == len(faults)
    for fault, expected in zip(read.invalid_lines, faults, strict=True):
        assert fault.reason.startswith(expected)


def test_truncated_last_line_is_reported(tmp_path):
    path = tmp_path / "records"
    path.write_bytes(LINE + LINE[:-9])
    read = read_records([path]).unwrap()
    assert read.records == (RECORD,)
    assert [str(line) for line in read.invalid_lines] == [
        f"{path}:2: cut off before its end"
    ]


def test_missing_file_is_a_failure(tmp_path):
    result = read_records([tmp_path / "none"])
    assert isinstance(result, Failure)
    assert "none" in str(result.failure())


@pytest.mark.parametrize(
    ("text", "what"),
    [
        (b"", "not JSON"),
        (b"[" * 100_000, "not JSON"),
        (b"{}", "StatusReport.node is missing"),
        (
            encode_status(make_status()).replace(b'"role":"agent"', b'"role":"king"'),
            "StatusReport.role: 'king'",
        ),
        (
            encode_status(make_status()).replace(b'"weight":64', b'"weight":"64"'),
            "StatusReport.agents[0].weight: expected int, found '64'",
        ),
    ],
)
def test_malformed_status_is_reported(text, what):
    assert str(decode_status(text).failure()).startswith(what)
