"""Tests of the services that routes have lost, and of their way through the store."""

from random import Random

import pytest

from papayagw._internal.core.plain.routing.route_change_recorder import (
    LEASE_MARGIN_MS,
    RouteChangeRecorder,
)
from papayagw._internal.core.plain.routing.route_history import RouteHistory
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    GrantLease,
    LeaseEnded,
    LeaseResult,
    PutKey,
    PutResult,
    StoreRestored,
)
from papayagw._internal.models.plain.packet import EntryKey
from papayagw._internal.models.plain.route_change import RouteChange
from tests.lib.plain_world import ENTRY, FLOW_LIMIT_MS, make_site
from tests.lib.store_calls import run_calls

START = Millis(10_000)
SPREAD_MS = Millis(700)
TTL_MS = Millis(FLOW_LIMIT_MS + LEASE_MARGIN_MS)
KEY, VALUE = "papayagw/route-changes/3-8", b"value"
GRANT, PUT = GrantLease(TTL_MS), PutKey(KEY, VALUE, 5)
LEASED, REFUSED = LeaseResult(5, TTL_MS), CallFailed("status 429", refused=True)


@pytest.mark.parametrize(
    ("services", "former"),
    [
        ([("a",), ("b",)], ["a"]),
        ([("a",), ("a",)], []),
        ([("a",), ("a", "b")], []),
        ([("a", "b"), ("b",)], ["a"]),
        ([("a",), ("b",), ("a",)], ["a", "b"]),
        ([("a",), ("b",), ("c",)], ["a", "b"]),
    ],
)
@pytest.mark.parametrize(
    ("age_ms", "is_known"),
    [(0, True), (FLOW_LIMIT_MS, True), (FLOW_LIMIT_MS + 1, False)],
)
def test_lost_services_are_known_for_the_life_of_a_flow(
    services, former, age_ms, is_known
):
    history = RouteHistory(FLOW_LIMIT_MS)
    sites = [make_site(version, *one) for version, one in enumerate(services)]
    for before, after in zip(sites, sites[1:], strict=False):
        history.record(before, after, START)
    found = history.list_former_services(ENTRY, START + age_ms)
    assert found == (former if is_known else [])
    assert bool(history.list_observed(START + age_ms)) is bool(former and is_known)


def test_a_route_that_is_removed_loses_no_service():
    history = RouteHistory(FLOW_LIMIT_MS)
    history.record(make_site(1), make_site(2, routes={}), START)
    assert history.list_former_services(ENTRY, START) == []


def test_a_change_that_is_read_again_does_not_last_longer():
    history = RouteHistory(FLOW_LIMIT_MS)
    change = RouteChange(3, 8, {EntryKey(ENTRY): ("a",)})
    for at in (START, START + FLOW_LIMIT_MS - 1):
        history.learn(change, at)
    assert history.list_former_services(ENTRY, START + FLOW_LIMIT_MS + 1) == []
    assert history.list_observed(START) == []


def make_recorder():
    recorder = RouteChangeRecorder(FLOW_LIMIT_MS, lambda: SPREAD_MS, Random(1))
    recorder.schedule({KEY: VALUE}, START)
    return recorder


@pytest.mark.parametrize(
    ("answers", "calls"),
    [
        ([], [GRANT]),
        ([LEASED], [GRANT, PUT]),
        ([LEASED, PutResult(9)], [GRANT, PUT, None]),
        ([REFUSED, LEASED, REFUSED], [GRANT, GRANT, PUT, PUT]),
        ([LEASED, LeaseEnded(), LEASED], [GRANT, PUT, GRANT, PUT]),
        ([StoreRestored(2, LEASED)], [GRANT, PUT]),
        ([LEASED, StoreRestored(2, LeaseEnded())], [GRANT, PUT, GRANT]),
        ([LEASED, StoreRestored(2, PutResult(9))], [GRANT, PUT, GRANT]),
    ],
)
def test_a_route_change_is_written_under_a_lease(answers, calls):
    assert run_calls(make_recorder(), answers, START) == calls


@pytest.mark.parametrize(
    ("announce", "is_due"),
    [
        (lambda one: one.on_written([KEY]), False),
        (lambda one: one.on_listed({KEY}), False),
        (lambda one: one.on_listed(set()), True),
        (lambda one: one.on_written(["papayagw/agents/a"]), True),
        # The store may have lost the key since it was written.
        (lambda one: (one.on_written([KEY]), one.on_listed(set())), True),
    ],
)
def test_a_route_change_that_the_store_has_is_not_written(announce, is_due):
    recorder = make_recorder()
    announce(recorder)
    recorder.schedule({KEY: VALUE}, START)
    assert (recorder.due_at is not None) is is_due


def test_a_stopping_balancer_writes_at_once():
    recorder = make_recorder()
    assert START < recorder.due_at <= START + SPREAD_MS
    recorder.flush(START)
    assert recorder.due_at == START


def test_a_key_gets_a_lease_of_its_own():
    recorder = make_recorder()
    run_calls(recorder, [LEASED, PutResult(9)], START)
    recorder.schedule({KEY: VALUE, KEY + "0": VALUE}, START + 40_000)
    assert recorder.next_call().call == GRANT
