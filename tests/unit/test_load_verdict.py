import pytest

from papayagw._internal.load.report import JournalReport, LoadRecorder, compare_journals
from papayagw._internal.load.verdict import (
    Outcome,
    judge_echo,
    judge_feed_line,
    judge_single_line,
    judge_upload,
)
from papayagw._internal.standins.workload import BackendKind, Request, Verb

ORDER = Request(Verb.ORDER, "o-1")
CHECK = Request(Verb.CHECK, "c-1")
FEED = Request(Verb.FEED, "f-1", (2, 50))
UPLOAD = Request(Verb.UPLOAD, "u-1", (100,))


@pytest.mark.parametrize(
    ("request_", "service", "line", "outcome"),
    [
        (ORDER, BackendKind.ORDER, "DONE o-1 order-2", Outcome.DONE),
        (ORDER, BackendKind.ORDER, "DONE o-2 order-2", Outcome.CROSSED),
        (ORDER, BackendKind.ORDER, "RATE o-1 order-2", Outcome.CROSSED),
        (ORDER, BackendKind.ORDER, "DONE o-1 ledger-2", Outcome.CROSSED),
        (ORDER, BackendKind.ORDER, "SHED o-1 order-2", Outcome.REFUSED),
        (ORDER, BackendKind.ORDER, "SHED o-2 order-2", Outcome.CROSSED),
        (ORDER, BackendKind.ORDER, "WRONG o-1 order-1", Outcome.CROSSED),
        (ORDER, BackendKind.ORDER, "ERROR bad line order-1", Outcome.BROKEN),
        (ORDER, BackendKind.ORDER, "", Outcome.BROKEN),
        (CHECK, BackendKind.LEDGER, "RATE c-1 ledger-1", Outcome.DONE),
    ],
)
def test_short_answer_is_judged(request_, service, line, outcome):
    assert judge_single_line(request_, service, line) is outcome


@pytest.mark.parametrize(
    ("line", "outcome"),
    [
        ("SHA256 abc drawings-1", Outcome.DONE),
        ("SHA256 abd drawings-1", Outcome.WRONG_BYTES),
        ("SHA256 abc intake-1", Outcome.CROSSED),
        ("SHED u-1 drawings-1", Outcome.REFUSED),
    ],
)
def test_upload_answer_is_judged(line, outcome):
    assert judge_upload(UPLOAD, BackendKind.DRAWINGS, "abc", line) is outcome


@pytest.mark.parametrize(
    ("number", "line", "outcome"),
    [
        (0, "STATUS f-1 0 order-1", Outcome.DONE),
        (1, "STATUS f-1 0 order-1", Outcome.WRONG_BYTES),
        (2, "END f-1 2 order-1", Outcome.DONE),
        (1, "END f-1 2 order-1", Outcome.WRONG_BYTES),
        (0, "STATUS f-2 0 order-1", Outcome.CROSSED),
        (0, "STATUS f-1 0 ledger-1", Outcome.CROSSED),
    ],
)
def test_feed_line_is_judged(number, line, outcome):
    assert judge_feed_line(FEED, BackendKind.ORDER, number, line) is outcome


@pytest.mark.parametrize(
    ("line", "outcome"),
    [
        ("ECHO e-1 7 order-1", Outcome.DONE),
        ("ECHO e-1 8 order-1", Outcome.WRONG_BYTES),
        ("ECHO e-2 7 order-1", Outcome.CROSSED),
        ("ECHO e-1 7 ledger-1", Outcome.CROSSED),
    ],
)
def test_echo_is_judged(line, outcome):
    request = Request(Verb.ECHO, "e-1", (9,))
    assert judge_echo(request, BackendKind.ORDER, "7", line) is outcome


@pytest.mark.parametrize(
    ("ended", "journals", "expected"),
    [
        ({"a": Outcome.DONE}, [{"a": 1}], JournalReport(1, 0, 0, 0)),
        ({"a": Outcome.DONE}, [{"a": 1}, {"a": 1}], JournalReport(1, 1, 0, 0)),
        ({"a": Outcome.DONE}, [{"a": 2}], JournalReport(1, 1, 0, 0)),
        ({"a": Outcome.DONE}, [{"b": 2}], JournalReport(0, 0, 0, 1)),
        ({"a": Outcome.REFUSED}, [{"a": 1}], JournalReport(1, 0, 1, 0)),
        ({"a": Outcome.REFUSED}, [{}], JournalReport(0, 0, 0, 0)),
        ({"a": Outcome.UNKNOWN}, [{"a": 1}], JournalReport(1, 0, 0, 0)),
    ],
)
def test_journals_are_held_against_what_callers_saw(ended, journals, expected):
    assert compare_journals(ended, journals) == expected


@pytest.mark.parametrize(
    ("outcome", "has_faults"),
    [
        (one, one in (Outcome.BROKEN, Outcome.CROSSED, Outcome.WRONG_BYTES))
        for one in Outcome
    ],
)
def test_only_what_must_never_happen_is_a_fault(outcome, has_faults):
    recorder = LoadRecorder()
    recorder.record_latency("order", 1_500)
    recorder.record_outcome("order", "a", outcome)
    report = recorder.make_report(1.0)
    assert report.has_faults is has_faults
    assert report.kinds["order"].p50_ms == pytest.approx(1.5, rel=0.01)
    assert outcome.value in report.format_table()
