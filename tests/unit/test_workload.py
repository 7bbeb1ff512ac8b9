import pytest

from papayagw._internal.standins.workload import (
    BackendKind,
    BackendPlan,
    Journal,
    Request,
    Verb,
    parse_request,
)


@pytest.mark.parametrize(
    ("line", "request_"),
    [
        (b"ORDER o-1", Request(Verb.ORDER, "o-1")),
        (b"CHECK c-1", Request(Verb.CHECK, "c-1")),
        (b"FEED f-1 10 50", Request(Verb.FEED, "f-1", (10, 50))),
        (b"UPLOAD u-1 20000000", Request(Verb.UPLOAD, "u-1", (20_000_000,))),
        (b"RUNS", Request(Verb.RUNS)),
        (b"STALL 100", Request(Verb.STALL, "", (100,))),
        (b"", None),
        (b"ORDER", None),
        (b"ORDER a b", None),
        (b"order a", None),
        (b"FEED f-1 10", None),
        (b"UPLOAD u-1 -5", None),
        (b"STALL", None),
        (b"\xff\xfe", None),
    ],
)
def test_request_line_is_read_or_refused(line, request_):
    assert parse_request(line).value_or(None) == request_


@pytest.mark.parametrize(
    ("ids", "doubled"), [("", 0), ("abc", 0), ("aba", 1), ("ababb", 2)]
)
def test_journal_counts_doubled_requests(ids, doubled):
    journal = Journal()
    for one in ids:
        journal.record(Request(Verb.ORDER, one))
    assert journal.doubled == doubled
    assert journal.format_lines().endswith(f"END {len(set(ids))} {doubled}\n")


@pytest.mark.parametrize(("speed", "expected"), [(1.0, 8), (0.25, 32), (2.0, 4)])
def test_service_time_follows_speed(speed, expected):
    plan = BackendPlan("order-1", BackendKind.ORDER, speed=speed, service_ms=8)
    assert plan.scaled_service_ms == expected
