from dataclasses import replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from papayagw._internal.core.burn import measure_service, sum_counts
from papayagw._internal.core.record_selection import select_records
from papayagw._internal.models.burn import Objective
from papayagw._internal.models.report import LATENCY_BUCKETS, FlowCounts, Side
from papayagw._internal.models.service import Objectives
from tests.lib.reports import make_record

HOUR = 3_600_000
SPAN = 100 * HOUR
FIXED = settings(derandomize=True, deadline=None, max_examples=150)

small = st.integers(0, 50)
buckets = st.lists(small, min_size=LATENCY_BUCKETS, max_size=LATENCY_BUCKETS)
counts = st.builds(
    FlowCounts,
    opened=st.integers(0, 500),
    refused=small,
    unknown=small,
    broken=small,
    lost=small,
    answered=buckets.map(tuple),
)
records = st.builds(
    make_record,
    st.integers(1, SPAN),
    instance=st.sampled_from(["order-1", "order-2", "order-3"]),
    zone=st.sampled_from(["a", "b"]),
    side=st.sampled_from(Side),
    counts=counts,
    work=st.integers(0, 10_000),
    capacity=st.sampled_from([0.0, 16.0, 64.0]),
)
histories = st.lists(records, min_size=1, max_size=12)
objectives = st.builds(
    Objectives,
    availability=st.sampled_from([0.0, 0.9, 0.999, 1.0]),
    latency_ms=st.integers(1, 20_000),
    latency_share=st.sampled_from([0.5, 0.99, 1.0]),
    imbalance=st.sampled_from([1.0, 1.15, 2.0]),
)


def burns(history, targets, objective):
    service = measure_service(history, targets, SPAN)
    found = next(one for one in service.objectives if one.objective is objective)
    return [window.burn for window in found.windows]


@FIXED
@given(histories, objectives, st.data(), st.integers(1, 50))
def test_burn_is_monotone_in_broken_flows(history, targets, data, more):
    index = data.draw(st.integers(0, len(history) - 1))
    record = history[index]
    worse = list(history)
    broken = replace(record.counts, broken=record.counts.broken + more)
    worse[index] = replace(record, counts=broken)
    before = burns(history, targets, Objective.AVAILABILITY)
    after = burns(worse, targets, Objective.AVAILABILITY)
    assert all(now >= then for then, now in zip(before, after, strict=True))


@FIXED
@given(histories, objectives)
def test_burn_is_never_below_zero(history, targets):
    for objective in Objective:
        assert min(burns(history, targets, objective)) >= 0


@FIXED
@given(histories, st.tuples(*[st.integers(0, SPAN)] * 3), st.sampled_from(Side))
@example([make_record(HOUR)], (0, HOUR, SPAN), Side.AGENT)
def test_windows_are_additive(history, edges, side):
    start, middle, end = sorted(edges)
    parts = sum_counts(history, start, middle, side).plus(
        sum_counts(history, middle, end, side)
    )
    assert parts == sum_counts(history, start, end, side)


@FIXED
@given(histories, st.randoms(use_true_random=False))
def test_order_of_records_does_not_matter(history, random):
    shuffled = list(history)
    random.shuffle(shuffled)
    kept = select_records(history, SPAN).records
    again = select_records(shuffled, SPAN).records
    key = {(one.start_ms, one.instance, one.side) for one in kept}
    assert key == {(one.start_ms, one.instance, one.side) for one in again}
