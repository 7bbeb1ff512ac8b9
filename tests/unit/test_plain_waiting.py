"""Tests of the order of waiting openings, with a load test of what callers get."""

from collections import Counter
from dataclasses import replace

import pytest

from bench.waiting_order import EQUALS, ORDERS, mean_worth
from papayagw._internal.core.plain.placement.waiting import (
    ObjectiveOrder,
    PriorityOrder,
    Selection,
    WaitingOpening,
    make_order,
)
from papayagw._internal.models.plain.action import LogEvent, SendFrame
from papayagw._internal.models.plain.instance import Availability
from papayagw._internal.models.plain.packet import FlowKey, PacketKind
from papayagw._internal.models.plain.settings import AdmissionOrder
from papayagw._internal.models.plain.site import Route, WeightedService
from tests.lib.plain_world import ENTRY, make_packet, make_site
from tests.unit.test_plain_balancer import FLOW, START, A, Driver, load_report

OPENING = WaitingOpening("b", 1, 0, 600, 3_000)
LATE = replace(OPENING, age_ms=700)
EXPIRED = replace(OPENING, age_ms=1_200, timeout_ms=1_250)
HIGH = replace(OPENING, kind="a", priority=0)


@pytest.mark.parametrize(
    ("ages_ms", "accepted_per_s", "age_ms", "rule"),
    [
        ([0, 100, 200], 20, 200, "least time left"),
        # At 6 a second, with the margin, the second of three would be late.
        ([0, 100, 200, 540], 6, 0, "newest"),
        ([0, 100, 200, 540], 8, 200, "least time left"),
        ([0, 300, 500], 4, 0, "newest"),
        ([560, 700], 20, 560, "late"),
        ([700], 0, 700, "late"),
    ],
)
def test_the_one_that_is_offered_next(ages_ms, accepted_per_s, age_ms, rule):
    order = ObjectiveOrder()
    for _ in range(accepted_per_s):
        order.record_accepted("order", "b", 1_000, was_selected=True)
    openings = [replace(OPENING, age_ms=age) for age in ages_ms]
    [selection] = order.select("order", openings, 1, 70, 1_500)
    assert (ages_ms[selection.index], selection.rule) == (age_ms, rule)


@pytest.mark.parametrize(
    ("openings", "indices"),
    [
        ([OPENING, HIGH], [1, 0]),
        ([LATE, OPENING], [1, 0]),
        ([EXPIRED, LATE], [1, 0]),
        ([replace(HIGH, age_ms=700), OPENING], [0, 1]),
        # Without an objective, an opening is never late.
        ([replace(LATE, objective_ms=None), LATE], [0, 1]),
    ],
)
def test_order_of_unequal_openings(openings, indices):
    selected = ObjectiveOrder().select("order", openings, 5, 70, 0)
    assert [one.index for one in selected] == indices


@pytest.mark.parametrize("direct_per_selection", [0, 1, 3])
def test_a_kind_that_waits_gets_a_tenth(direct_per_selection):
    """Not more by itself if it gets a tenth by openings that find free capacity."""
    order, counts = ObjectiveOrder(), Counter()
    for _ in range(1_000):
        waiting = [HIGH, OPENING, replace(OPENING, kind="c")]
        [selection] = order.select("order", waiting, 1, 70, 0)
        counts[waiting[selection.index].kind] += 1
        for _ in range(direct_per_selection):
            order.record_accepted("order", "c", 0, was_selected=False)
            counts["c"] += 1
    total = sum(counts.values())
    assert all(counts[kind] >= total // 10 - 1 for kind in "abc")
    if direct_per_selection:
        assert counts["c"] == 1_000 * direct_per_selection


@pytest.mark.parametrize("gap", [2, 5, 9])
def test_a_kind_that_waits_with_gaps_keeps_its_share(gap):
    """Each gap took its credit, and it got nothing beside a higher priority."""
    order, selected = ObjectiveOrder(), Counter()
    for turn in range(1_000):
        waiting = [HIGH, OPENING] if turn % gap else [HIGH]
        [selection] = order.select("order", waiting, 1, 70, 10 * turn)
        selected[waiting[selection.index].kind] += 1
    assert selected[OPENING.kind] >= 1_000 // 12


def test_priority_order_is_the_newest_first():
    """Without the setting, objectives and deadlines change nothing."""
    order = make_order(AdmissionOrder.PRIORITY)
    assert isinstance(order, PriorityOrder)
    openings = [EXPIRED, LATE, OPENING, HIGH]
    selected = order.select("order", openings, 3, 70, 0)
    assert selected == [Selection(one, "newest") for one in (3, 0, 1)]
    assert {order.rank(one) for one in openings} == {(1, 0), (0, 0)}


@pytest.mark.parametrize(
    ("order", "offered", "rule"),
    [(None, [1, 0], None), (ObjectiveOrder(), [0, 1], "least time left")],
)
def test_a_balancer_offers_in_the_order_of_its_setting(order, offered, rule):
    """Without the setting the newest goes first, and no event is added."""
    services = (WeightedService("order", 1.0),)
    route = Route("r1", services, 1, "b", objective_ms=600, timeout_ms=3_000)
    for _ in range(20 if order else 0):
        order.record_accepted("order", "b", START, was_selected=False)
    driver = Driver(agents=(A,), order=order)
    driver.run_step(make_site(2, routes={ENTRY: route}))
    driver.run_step(load_report(A, Availability.UNREADY, version=2))
    flows = [FlowKey(bytes((one,)) + FLOW[1:]) for one in range(2)]
    for flow in flows:
        driver.run_step(make_packet(flow, PacketKind.OPEN))
        driver.run_step(10)
    actions = driver.run_step(load_report(A, Availability.READY, version=2))
    frames = [one.frame for one in actions if isinstance(one, SendFrame)]
    assert [flows.index(one.packet.flow) for one in frames] == offered
    waited = [
        one.fields
        for one in actions
        if isinstance(one, LogEvent) and one.event == "opening waited"
    ]
    assert [one["rule"] for one in waited] == ([rule] * 2 if rule else [])
    assert [one["ms"] for one in waited] == ([20, 10] if rule else [])


@pytest.mark.parametrize(
    ("load", "options", "gain_on_first_come", "gain_on_priority"),
    [
        (0.5, {}, 0, 0),
        (1, {}, 0.005, 0.02),
        (2, {}, 0.05, 0),
        (4, {"duration_ms": 1_000}, 0.05, 0),
        (0.9, {"burst": "b"}, 0.02, 0.02),
        (0.6, {"lost": True}, 0.02, 0.02),
        (0.9, {"slow": 0}, 0.01, 0.02),
    ],
)
def test_what_callers_get(load, options, gain_on_first_come, gain_on_priority):
    """Mean worth of an answer, with kinds of one priority.

    Guards against an order that makes callers late or wastes capacity on them.
    """
    first_come, by_priority, by_objective = (
        mean_worth(make, EQUALS, load, **options) for make in ORDERS
    )
    assert by_objective >= first_come + gain_on_first_come
    assert by_objective >= by_priority + gain_on_priority
