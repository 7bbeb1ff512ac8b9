import pytest

from papayagw._internal.core.service_meter import MAX_LATENCIES, ServiceMeter
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.report import LATENCY_BOUNDS_MS, LATENCY_BUCKETS, Side

OPENED = ("record_opened", 20)
REQUEST = ("record_request", 30)
ANSWER = ("record_answer", 70)


def ended(outcome, at=100):
    return ("record_ended", outcome, at)


def meter_flow(side, *steps):
    """Return the totals after a flow opened at 10 ms with the recorded `steps`."""
    meter = ServiceMeter("order", side)
    flow = meter.start_flow(10)
    for name, *arguments in steps:
        getattr(flow, name)(*arguments)
    return meter.report(0)


@pytest.mark.parametrize(
    ("steps", "opened", "refused", "unknown", "broken", "work"),
    [
        ([], 0, 0, 0, 0, 0),
        ([ended(FlowOutcome.REFUSED)], 0, 1, 0, 0, 0),
        ([ended(FlowOutcome.CANCELLED)], 0, 0, 0, 0, 0),
        ([OPENED, ended(FlowOutcome.ANSWERED)], 1, 0, 0, 0, 0),
        ([OPENED, REQUEST, ANSWER, ended(FlowOutcome.ANSWERED)], 1, 0, 0, 0, 40),
        ([OPENED, REQUEST, REQUEST, ANSWER, ANSWER], 1, 0, 0, 0, 40),
        ([OPENED, ANSWER, ANSWER], 1, 0, 0, 0, 0),
        ([OPENED, REQUEST, ANSWER, REQUEST, ANSWER], 1, 0, 0, 0, 80),
        ([OPENED, REQUEST, ended(FlowOutcome.UNKNOWN)], 1, 0, 1, 0, 70),
        ([OPENED, REQUEST, ANSWER, ended(FlowOutcome.UNKNOWN)], 1, 0, 0, 1, 40),
        ([OPENED, REQUEST, ended(FlowOutcome.REFUSED)], 1, 1, 0, 0, 70),
    ],
)
def test_flow_adds_to_totals(steps, opened, refused, unknown, broken, work):
    totals = meter_flow(Side.AGENT, *steps)
    counts = totals.counts
    assert (counts.opened, counts.refused) == (opened, refused)
    assert (counts.unknown, counts.broken) == (unknown, broken)
    assert totals.work_ms == work


@pytest.mark.parametrize(("side", "unknown"), [(Side.AGENT, 0), (Side.CALLER, 1)])
def test_opening_that_never_arrived_is_unknown_only_at_caller(side, unknown):
    assert meter_flow(side, ended(FlowOutcome.UNKNOWN)).counts.unknown == unknown


@pytest.mark.parametrize("latency", [0, 1, 2, 3, 250, 251, 10_000, 10_001, 10**9])
def test_latency_is_counted_in_bucket_with_its_bounds(latency):
    meter = ServiceMeter("order", Side.AGENT)
    meter.record_opened(latency)
    bucket = meter.report(0).counts.answered.index(1)
    below = -1 if bucket == 0 else LATENCY_BOUNDS_MS[bucket - 1]
    above = (*LATENCY_BOUNDS_MS, latency)[bucket]
    assert below < latency <= above
    assert len(meter.report(0).counts.answered) == LATENCY_BUCKETS


def test_latencies_are_returned_once_and_bounded():
    meter = ServiceMeter("order", Side.AGENT)
    for latency in range(MAX_LATENCIES + 5):
        meter.record_opened(latency)
    assert meter.pop_latencies() == tuple(range(5, MAX_LATENCIES + 5))
    assert meter.pop_latencies() == ()
