"""Tests of the placement policy for outdated load reports, in the load model."""

from collections import Counter
from operator import le, lt
from random import Random
from statistics import fmean

import pytest

from bench.placement_model import Case, run_case
from papayagw._internal.core.plain.membership.roster import AgentView
from papayagw._internal.core.plain.placement.choice import LeastWaitChooser
from papayagw._internal.core.plain.placement.even_load import EvenLoadChooser
from papayagw._internal.core.plain.placement.policies import make_chooser
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.instance import (
    AgentEntry,
    AgentLoad,
    Availability,
)
from papayagw._internal.models.plain.settings import Placement

NOW = Millis(10_000)


def make_views(servers, age_ms=0, pending=0):
    """Return views of (slots, busy, service_ms, zone), or None for no report.

    The first server has `pending` offers since its report.
    """
    views = []
    for number, server in enumerate(servers):
        slots, busy, service_ms, zone = server or (1, 0, 0, "a")
        endpoint = Endpoint("10.0.0.2", number)
        view = AgentView(AgentEntry(endpoint, "order", zone), 1)
        if server is not None:
            used = min(busy / max(slots, 1), 1.0)
            load = AgentLoad(
                Availability.READY, slots, busy, 0, used, service_ms * 1_000, 1
            )
            view.record_load(load, Millis(NOW - age_ms))
        views.append(view)
    views[0].pending_offers = pending
    return views


def count_choices(views, count=2_000):
    chooser = EvenLoadChooser("a", Random(1))
    chosen = Counter(chooser.choose(b"", views, NOW).endpoint for _ in range(count))
    return [chosen[view.endpoint] / count for view in views]


PAIR = [(2, 1, 50, "a"), (2, 1, 50, "a")]


@pytest.mark.parametrize(
    ("views", "low", "high"),
    [
        # The first server's share of the openings, between `low` and `high`.
        (make_views(PAIR), 0.45, 0.55),
        (make_views([(2, 1, 50, "a"), (2, 1, 50, "b")]), 0.8, 1.0),
        (make_views([(2, 0, 50, "b"), (2, 1, 50, "a")]), 0.8, 1.0),
        (make_views([(2, 1, 25, "a"), (2, 1, 50, "a")]), 0.9, 1.0),
        (make_views([(4, 2, 50, "a"), *[(2, 1, 50, "a")] * 8]), 0.15, 0.25),
        (make_views(PAIR, pending=2), 0.0, 0.05),
        # No server gets all openings because it was idle in an old report.
        (make_views([(2, 0, 50, "a"), *[(2, 1, 50, "a")] * 8], 1_000), 0.1, 0.6),
        # A server without a report gets openings, whose answers show its load.
        (make_views([None, (1, 1, 50, "a")]), 0.3, 0.9),
        (make_views([None, (2, 1, 50, "a")]), 0.01, 0.3),
        (make_views([None]), 1.0, 1.0),
        (make_views([(0, 0, 0, "a"), (0, 0, 0, "a")]), 0.45, 0.55),
    ],
)
def test_shares(views, low, high):
    assert low <= count_choices(views)[0] <= high


def test_choices_are_deterministic():
    views = make_views([(1 + n % 5, n % 3, 50, "ab"[n % 2]) for n in range(50)])
    one, other = (EvenLoadChooser("a", Random(7)) for _ in range(2))
    for _ in range(50):
        assert one.choose(b"", views, NOW) is other.choose(b"", views, NOW)


def test_without_the_setting_the_choices_stay_the_same():
    views = make_views([(1 + n % 5, n % 3, 50, "ab"[n % 2]) for n in range(50)])
    before = LeastWaitChooser("a", Random(7))
    after = make_chooser(Placement.LEAST_WAIT, "a", Random(7))
    assert type(after) is LeastWaitChooser
    for number in range(50):
        now = Millis(NOW + 20 * number)
        assert after.choose(b"", views, now) is before.choose(b"", views, now)


# A policy that sends openings to the server that was idle in the last report overloads
# servers in turn, the more so with old or lost reports.
CASES = [
    Case(servers=25, load=0.6, length_ms=4_000),
    Case(servers=25, load=0.8, length_ms=4_000),
    Case(servers=25, load=0.8, length_ms=4_000, report_delay_ms=1_000),
    Case(servers=25, load=0.8, length_ms=4_000, lost_reports=0.5),
    Case(servers=25, load=0.8, length_ms=4_000, restarts=1),
]


@pytest.fixture(scope="module")
def outcomes():
    """Return the outcomes of each case by least wait and by even load."""
    choosers = (LeastWaitChooser, EvenLoadChooser)
    return {case: [run_case(case, one) for one in choosers] for case in CASES}


# The target: shorter waits, and with a fault none that are longer.
@pytest.mark.parametrize(
    ("case", "is_met"), list(zip(CASES, [lt, lt, le, le, le], strict=True))
)
@pytest.mark.parametrize(
    "field", ["mean_wait_ms", "p99_wait_ms", "mean_response_ms", "p99_response_ms"]
)
def test_clients_wait_less_than_by_least_wait(outcomes, case, is_met, field):
    least_wait, even = outcomes[case]
    assert is_met(getattr(even, field), getattr(least_wait, field))
    assert even.unserved <= least_wait.unserved


def test_load_is_more_even_than_by_least_wait(outcomes):
    # The mean of the cases: in one of 4 s the ratio varies by 0.2 between seeds.
    least_wait, even = zip(*outcomes.values(), strict=True)
    assert fmean(one.busiest for one in even) < fmean(one.busiest for one in least_wait)
