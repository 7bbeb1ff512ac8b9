"""Tests of backend state, load meter and request limit."""

import pytest

from papayagw._internal.core.plain.admission.backend_state import BackendState
from papayagw._internal.core.plain.admission.limits import max_concurrent_requests
from papayagw._internal.core.plain.admission.load_meter import LoadMeter
from papayagw._internal.core.plain.admission.run_order import ReportUse
from papayagw._internal.models.plain.instance import (
    Departure,
    ReportedState,
    StatusReport,
)

READY, DRAINING = ReportedState.READY, ReportedState.DRAINING


def report(run, number, state=READY, instance="i1", service="order"):
    return StatusReport(instance, service, state, 1, 0, run, number)


def leave(run=None, instance="i1"):
    return Departure(instance, run)


@pytest.mark.parametrize(
    ("events", "is_known", "is_draining"),
    [
        ([], False, False),
        ([report(10, 1)], True, False),
        ([report(10, 1), report(10, 2, DRAINING)], True, True),
        # Late reports of the same run and of an earlier run.
        ([report(10, 2, DRAINING), report(10, 1)], True, True),
        ([report(20, 1), report(10, 9, DRAINING)], True, False),
        # A later run numbers its reports from 1 again.
        ([report(10, 9, DRAINING), report(20, 1)], True, False),
        ([report(10, 9, DRAINING), report(20, 1, instance="i2")], True, False),
        ([report(10, 1), leave(10)], False, False),
        ([report(10, 1), leave()], False, False),
        ([report(10, 1), leave(), report(10, 2)], False, False),
        ([report(10, 1), leave(10), report(20, 1)], True, False),
        # Departures of an earlier run and of another instance.
        ([report(20, 1), leave(10)], True, False),
        ([report(20, 1), leave(20, "i2")], True, False),
        ([report(10, 1, service="drawings")], False, False),
        ([leave(10)], False, False),
    ],
)
def test_reports(events, is_known, is_draining):
    state = BackendState("order")
    for one in events:
        if isinstance(one, Departure):
            state.record_departure(one)
        else:
            state.record_report(one, 0, 0)
    assert (state.is_known, state.is_draining) == (is_known, is_draining)


@pytest.mark.parametrize(
    ("known", "later", "use"),
    [
        (None, report(10, 1), ReportUse.FIRST_RUN),
        (report(10, 1), report(10, 2), ReportUse.SAME_RUN),
        (report(10, 1), report(20, 1), ReportUse.LATER_RUN),
        (report(20, 1), report(10, 5), ReportUse.REFUSED),
        (report(10, 1), report(20, 1, service="drawings"), ReportUse.REFUSED),
    ],
)
def test_new_run(known, later, use):
    state = BackendState("order")
    if known is not None:
        state.record_report(known, 0, 0)
    assert state.record_report(later, 0, 0) is use


@pytest.mark.parametrize(
    ("slots", "work_ms", "gap_ms"), [(1, 20, 20), (1, 20, 5), (3, 50, 10), (2, 10, 90)]
)
def test_meter_measures_service_time(slots, work_ms, gap_ms):
    meter = LoadMeter(slots)
    now = 0
    for _ in range(200):
        meter.begin_request(now)
        now += work_ms
        meter.end_request(now, answered=True)
        now += gap_ms
    assert meter.service_us(now) == pytest.approx(work_ms * 1_000, rel=0.05)
    share = work_ms / (work_ms + gap_ms) / slots
    assert meter.utilization(now) == pytest.approx(share, rel=0.2)
    assert meter.busy == 0


def test_meter_without_requests():
    meter = LoadMeter(1)
    assert (meter.service_us(0), meter.utilization(0), meter.busy) == (0, 0.0, 0)


@pytest.mark.parametrize(("slots", "limit"), [(0, 2), (1, 2), (3, 6)])
def test_request_limit(slots, limit):
    assert max_concurrent_requests(slots) == limit
