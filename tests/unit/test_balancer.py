import pytest

from papayagw._internal.core.balancer import UNREACHABLE_HOLD_OFF_MS, BalancerCore
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.models.agent import AgentState
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
def test_tagged_packet_is_forwarded_to_agent_in_tag(
    records, service_id, route, decision
):
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


def test_balancers_with_same_records_select_same_agents():
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
def test_opening_is_forwarded_once_to_peer_if_agents_may_be_unknown(
    records, caught_up, peers, hops, decision
):
    core = make_core(records, StubPeers(caught_up, peers))
    assert core.route_opening(ORDER, b"opening1", hops) == decision


OTHER = make_record(2)


@pytest.mark.parametrize(
    ("refused", "now", "chosen"),
    [
        ([], 0, {AGENT.endpoint, OTHER.endpoint}),
        ([AGENT], 0, {OTHER.endpoint}),
        ([AGENT], UNREACHABLE_HOLD_OFF_MS - 1, {OTHER.endpoint}),
        ([AGENT], UNREACHABLE_HOLD_OFF_MS, {AGENT.endpoint, OTHER.endpoint}),
        ([AGENT, OTHER], 0, set()),
    ],
)
def test_agent_with_closed_port_gets_no_openings_during_hold_off(refused, now, chosen):
    core = make_core([AGENT, OTHER])
    for record in refused:
        core.mark_unreachable(record.endpoint, 0)
    core.expire_unreachable(now)
    decisions = [core.route_opening(ORDER, bytes([one] * 8)) for one in range(64)]
    forwards = [one for one in decisions if isinstance(one, Forward)]
    assert {one.agent for one in forwards} == chosen
