"""Tests of the rounds in which owner queries are sent."""

import pytest

from papayagw._internal.core.plain.membership.roster import AgentView
from papayagw._internal.core.plain.ownership.batching import (
    MAX_QUERIES_PER_FRAME,
    MAX_QUERY_INTERVAL_MS,
    MIN_QUERY_INTERVAL_MS,
    QueryBatch,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import SendFrame
from papayagw._internal.models.plain.frame import OwnerQuery, OwnerQueryFrame
from papayagw._internal.models.plain.instance import AgentEntry
from papayagw._internal.models.plain.packet import FlowKey
from tests.lib.plain_world import ENTRY

START = 1_000


def owner_query(number):
    return OwnerQuery(FlowKey(number.to_bytes(6, "big") + ENTRY), number)


def make_view(port, service="order"):
    return AgentView(AgentEntry(Endpoint("10.0.0.2", port), service, "zone-a"), 1)


A, B, DRAWINGS = make_view(1), make_view(2), make_view(1, "drawings")


def query_frame(view, *numbers):
    """Return an action that sends the owner queries of the given numbers."""
    queries = tuple(owner_query(number) for number in numbers)
    return SendFrame(view.endpoint, OwnerQueryFrame(view.entry.service, queries))


@pytest.mark.parametrize(
    ("queries", "frames"),
    [
        ([], []),
        ([([A], 1)], [query_frame(A, 1)]),
        ([([A], 1), ([A], 2)], [query_frame(A, 1, 2)]),
        ([([A, B], 1), ([A, B], 2)], [query_frame(A, 1, 2), query_frame(B, 1, 2)]),
        ([([A], 1), ([DRAWINGS], 2)], [query_frame(A, 1), query_frame(DRAWINGS, 2)]),
        (
            [([A], number) for number in range(MAX_QUERIES_PER_FRAME + 1)],
            [
                query_frame(A, *range(MAX_QUERIES_PER_FRAME)),
                query_frame(A, MAX_QUERIES_PER_FRAME),
            ],
        ),
    ],
)
def test_queries_to_one_agent_share_frames(queries, frames):
    batch = QueryBatch()
    for agents, number in queries:
        assert batch.add(agents, owner_query(number), START) == START
    assert batch.take_due(START) == frames
    assert batch.take_due(START) == []


@pytest.mark.parametrize(
    ("agents", "interval_ms"),
    [(1, MIN_QUERY_INTERVAL_MS), (50, 50), (500, MAX_QUERY_INTERVAL_MS)],
)
def test_the_number_of_frames_is_bounded_by_time(agents, interval_ms):
    """A balancer with a part of a core can't afford frames for each dead flow."""
    batch = QueryBatch()
    views = [make_view(port) for port in range(1, agents + 1)]
    rounds = []
    for now in range(START, START + 3 * interval_ms):
        batch.add(views, owner_query(now), now)
        frames = batch.take_due(now)
        if frames:
            assert {one.peer for one in frames} == {one.endpoint for one in views}
            rounds.append(now - START)
    assert rounds == [0, interval_ms, 2 * interval_ms]
