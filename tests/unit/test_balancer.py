import pytest

from papayagw._internal.core.balancer import BalancerCore
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.models.agent import AgentState
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.decision import Drop, DropReason, Forward, Reset
from papayagw._internal.models.flow import FlowRoute
from tests.lib.samples import (
    BALANCERS,
    DRAWINGS,
    NO_PEERS,
    ORDER,
    StubPeers,
    make_record,
)

AGENT = make_record(1)
ROUTE = FlowRoute.of(ORDER, AGENT.endpoint, AGENT.incarnation)


def make_core(records, peers=NO_PEERS):
    directory = AgentDirectory()
    for record in records:
        directory.merge(record)
    return BalancerCore(directory, RendezvousChooser(), peers)


@pytest.mark.parametrize(
    ("records", "service_id", "route", "decision"),
    [
        ([AGENT], ORDER, ROUTE, Forward(AGENT.endpoint)),
        ([], ORDER, ROUTE, Forward(AGENT.endpoint)),
        ([AGENT], DRAWINGS, ROUTE, Drop(DropReason.WRONG_SERVICE)),
        ([AGENT], ORDER, None, Drop(DropReason.BAD_TAG)),
        ([make_record(1, sequence=2, state=AgentState.GONE)], ORDER, ROUTE, Reset()),
        (
            [make_record(1, incarnation=6_000, state=AgentState.GONE)],
            ORDER,
            ROUTE,
            Forward(AGENT.endpoint),
        ),
        (
            [
                make_record(1, sequence=2, state=AgentState.GONE),
                make_record(1, incarnation=6_000),
            ],
            ORDER,
            ROUTE,
            Forward(AGENT.endpoint),
        ),
    ],
)
def test_tagged_packet_goes_where_its_tag_says(records, service_id, route, decision):
    assert make_core(records).route_tagged(service_id, route) == decision


@pytest.mark.parametrize(
    ("records", "decision"),
    [
        ([], Drop(DropReason.NO_AGENT)),
        ([make_record(1)], Forward(AGENT.endpoint)),
        ([make_record(1, weight=0)], Drop(DropReason.NO_AGENT)),
        ([make_record(1, state=AgentState.DRAINING)], Drop(DropReason.NO_AGENT)),
        ([make_record(1, DRAWINGS)], Drop(DropReason.NO_AGENT)),
        (
            [make_record(1), make_record(1, sequence=2, state=AgentState.GONE)],
            Drop(DropReason.NO_AGENT),
        ),
        (
            [make_record(1, sequence=2, state=AgentState.GONE), make_record(1)],
            Drop(DropReason.NO_AGENT),
        ),
        (
            [
                make_record(1, sequence=9, state=AgentState.GONE),
                make_record(1, incarnation=6_000),
            ],
            Forward(AGENT.endpoint),
        ),
    ],
)
def test_opening_goes_to_ready_agent(records, decision):
    assert make_core(records).route_opening(ORDER, b"opening1") == decision


def test_balancers_with_same_view_choose_alike():
    records = [make_record(number) for number in range(7)]
    here, there = make_core(records), make_core(reversed(records))
    for number in range(200):
        opening = number.to_bytes(8, "big")
        assert here.route_opening(ORDER, opening) == there.route_opening(ORDER, opening)


PEER = BALANCERS[1]
TO_PEER = Forward(PEER)
TO_AGENT = Forward(AGENT.endpoint)


@pytest.mark.parametrize(
    ("records", "caught_up", "peers", "hops", "decision"),
    [
        ([AGENT], True, (PEER,), 0, TO_AGENT),
        ([AGENT], False, (PEER,), 0, TO_PEER),
        ([AGENT], False, (), 0, TO_AGENT),
        ([AGENT], False, (PEER,), 1, TO_AGENT),
        ([], True, (PEER,), 0, TO_PEER),
        ([], True, (PEER,), 1, Drop(DropReason.NO_AGENT)),
        ([], False, (), 0, Drop(DropReason.NO_AGENT)),
    ],
)
def test_opening_goes_to_a_peer_once_where_the_balancer_knows_too_little(
    records, caught_up, peers, hops, decision
):
    core = make_core(records, StubPeers(caught_up, peers))
    assert core.route_opening(ORDER, b"opening1", hops) == decision


@pytest.mark.parametrize(
    ("unreachable", "now", "agents"),
    [
        ([], 0, {1, 2}),
        ([1], 999, {2}),
        ([1], 1_000, {1, 2}),
        ([1, 2], 999, {1, 2}),
    ],
)
def test_openings_avoid_agents_without_process(unreachable, now, agents):
    core = make_core([make_record(1), make_record(2)])
    for number in unreachable:
        core.note_unreachable(make_record(number).endpoint, Millis(0))
    core.forget_unreachable(Millis(now))
    openings = [number.to_bytes(8, "big") for number in range(50)]
    chosen = {core.route_opening(ORDER, opening).agent for opening in openings}
    assert chosen == {make_record(number).endpoint for number in agents}
