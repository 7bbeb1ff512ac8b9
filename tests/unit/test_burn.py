import pytest

from papayagw._internal.core.burn import MAX_BURN, count_late, make_report
from papayagw._internal.core.record_selection import PERIOD_MS, select_records
from papayagw._internal.models.burn import Objective, Risk
from papayagw._internal.models.report import FlowCounts, Side
from papayagw._internal.models.service import Objectives
from tests.lib.reports import make_latency_buckets, make_record

MINUTE = 60_000
HOUR = 60 * MINUTE
STEP = 10_000
ORDER = Objectives(availability=0.999, latency_ms=250, latency_share=0.99)


def report_on(records, objectives=ORDER, now=None):
    now = max(record.end_ms for record in records) if now is None else now
    return make_report(select_records(records, now), {"order": objectives})


def find_objective(report, objective):
    return next(
        found for found in report.services[0].objectives if found.objective is objective
    )


def make_history(span, **last):
    """Return good records every 10 s for `span` ms, the last one with `last`."""
    good = [make_record(end) for end in range(STEP, span, STEP)]
    return [*good, make_record(span, **last)]


@pytest.mark.parametrize(
    ("flows", "objective", "burn"),
    [
        ({}, Objective.AVAILABILITY, 0),
        ({"broken": 1}, Objective.AVAILABILITY, 10),
        ({"unknown": 1}, Objective.AVAILABILITY, 10),
        ({"lost": 1}, Objective.AVAILABILITY, 10),
        ({"opened": 1_000, "broken": 1}, Objective.AVAILABILITY, 1),
        ({"opened": 0, "lost": 5}, Objective.AVAILABILITY, 1_000),
        ({"refused": 50}, Objective.AVAILABILITY, 0),
        ({}, Objective.LATENCY, 0),
        ({"answered": make_latency_buckets(99, 1)}, Objective.LATENCY, 1),
        ({"answered": make_latency_buckets(98, 2)}, Objective.LATENCY, 2),
        ({"answered": make_latency_buckets(50), "refused": 50}, Objective.LATENCY, 50),
        ({"opened": 0, "answered": make_latency_buckets(0)}, Objective.LATENCY, 0),
    ],
)
def test_burn_is_bad_share_over_allowed_share(flows, objective, burn):
    found = find_objective(report_on([make_record(**flows)]), objective)
    assert [window.burn for window in found.windows] == [burn] * 6


@pytest.mark.parametrize(
    ("span", "last", "risk"),
    [
        (2 * HOUR, {}, Risk.NONE),
        (2 * HOUR, {"broken": 10}, Risk.NONE),
        (80 * HOUR, {"broken": 100}, Risk.NONE),
        (80 * HOUR, {"broken": 600, "opened": 600}, Risk.PAGE),
        (2 * HOUR, {"broken": 100}, Risk.SPENT),
    ],
)
def test_risk_needs_long_and_short_window(span, last, risk):
    assert report_on(make_history(span, **last)).risk is risk


@pytest.mark.parametrize(
    ("ago", "risk"),
    [(0, Risk.PAGE), (4 * MINUTE, Risk.PAGE), (10 * MINUTE, Risk.NONE)],
)
def test_no_page_after_end_of_burst(ago, risk):
    records = make_history(80 * HOUR)
    bad = 80 * HOUR - ago
    records[bad // STEP - 1] = make_record(bad, broken=600, opened=600)
    assert report_on(records).risk is risk


def test_slow_burn_for_days_is_a_ticket():
    good = [make_record(end, opened=1_000) for end in range(HOUR, 600 * HOUR, HOUR)]
    bad = [
        make_record(600 * HOUR + end, opened=1_000, broken=3)
        for end in range(0, 73 * HOUR, HOUR)
    ]
    assert report_on(good + bad).risk is Risk.TICKET


@pytest.mark.parametrize(
    ("works", "capacities", "ratio", "risk"),
    [
        ((100, 100), (64, 64), 1.0, Risk.NONE),
        ((100, 200), (64, 128), 1.0, Risk.NONE),
        ((100, 300), (64, 64), 1.5, Risk.SPENT),
        ((100, 300), (64, 0), 1.0, Risk.NONE),
        ((0, 0), (64, 64), 0.0, Risk.NONE),
    ],
)
def test_imbalance_is_highest_load_over_mean(works, capacities, ratio, risk):
    records = [
        make_record(instance=f"order-{number}", zone=f"z{number}", work=w, capacity=c)
        for number, (w, c) in enumerate(zip(works, capacities, strict=True))
    ]
    report = report_on(records)
    assert report.services[0].by_backend.ratio == pytest.approx(ratio)
    assert report.services[0].by_zone.ratio == pytest.approx(ratio)
    assert report.risk is risk


def test_imbalance_is_not_evaluated_with_few_flows():
    records = [
        make_record(instance="order-1", opened=1, work=1),
        make_record(instance="order-2", opened=30, work=1_000),
    ]
    assert find_objective(report_on(records), Objective.IMBALANCE).spent == 0


def test_instance_that_joined_late_is_not_idle():
    whole = make_record(20_000, start=0, instance="order-1", work=2_000)
    late = make_record(20_000, instance="order-2")
    assert report_on([whole, late]).services[0].by_backend.ratio == 1.0


def test_worse_side_counts():
    agents = make_record(broken=1)
    callers = make_record(side=Side.CALLER, unknown=4)
    report = report_on([agents, callers])
    assert find_objective(report, Objective.AVAILABILITY).spent == 40
    assert [side.counts.cut for side in report.services[0].sides] == [1, 4]


@pytest.mark.parametrize(
    ("objectives", "flows", "burn"),
    [
        (Objectives(availability=1.0), {"broken": 1}, MAX_BURN),
        (Objectives(availability=1.0), {}, 0),
        (Objectives(availability=0.0), {"broken": 100}, 1),
    ],
)
def test_empty_budget_is_spent_by_one_flow(objectives, flows, burn):
    report = report_on([make_record(**flows)], objectives)
    assert find_objective(report, Objective.AVAILABILITY).spent == burn


@pytest.mark.parametrize(
    ("limit", "late"),
    [(1, 1), (2, 0), (4, 0), (10_000, 0), (60_000, 0)],
)
def test_bucket_containing_limit_counts_as_late(limit, late):
    buckets = (0, 1, *make_latency_buckets(0)[2:])
    assert count_late(FlowCounts(answered=buckets), limit) == late


NOW = 100 * HOUR
GOOD = make_record(NOW)


@pytest.mark.parametrize(
    ("others", "kept", "note"),
    [
        ([make_record(NOW - STEP)], 2, ""),
        ([GOOD], 1, "records skipped (overlapping earlier records): 1"),
        ([make_record(NOW - 3_000)], 1, "records skipped (overlapping"),
        ([make_record(NOW, instance="order-2")], 2, ""),
        ([make_record(NOW, service="drawings")], 2, ""),
        (
            [make_record(NOW + 2 * MINUTE)],
            1,
            "records skipped (ending in the future",
        ),
        ([make_record(NOW + MINUTE)], 2, ""),
        ([make_record(NOW - PERIOD_MS)], 1, "records skipped (older than 30 d): 1"),
        (
            [make_record(NOW - HOUR, start=NOW - 2 * HOUR)],
            2,
            "records longer than 5 min",
        ),
    ],
)
@pytest.mark.parametrize("order", [1, -1])
def test_selection_reports_skipped_records(others, kept, note, order):
    selection = select_records([GOOD, *others][::order], NOW)
    assert len(selection.records) == kept
    assert [record.end_ms for record in selection.records] == sorted(
        record.end_ms for record in selection.records
    )
    assert len(selection.notes) == bool(note)
    assert "".join(selection.notes).startswith(note)
