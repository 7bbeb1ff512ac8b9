"""Tests of the merging of owner queries into frames."""

import pytest

from papayagw._internal.core.plain.ownership.batching import (
    MAX_QUERIES_PER_FRAME,
    merge_owner_queries,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import LogEvent, SendFrame
from papayagw._internal.models.plain.frame import (
    ForwardFrame,
    OwnerQuery,
    OwnerQueryFrame,
)
from papayagw._internal.models.plain.packet import FlowKey, PacketKind
from tests.lib.plain_world import ENTRY, make_packet

A, B = Endpoint("10.0.0.2", 1), Endpoint("10.0.0.2", 2)


def owner_query(number):
    return OwnerQuery(FlowKey(number.to_bytes(6, "big") + ENTRY), number)


def query_frame(agent, *numbers, service="order"):
    """Return an action that sends the owner queries of the given numbers."""
    return SendFrame(
        agent, OwnerQueryFrame(service, tuple(owner_query(n) for n in numbers))
    )


FLOW = owner_query(1).flow
FORWARD = SendFrame(A, ForwardFrame("order", make_packet(FLOW, PacketKind.DATA, 1, 2)))
LOG_EVENT = LogEvent("owner unknown", {})


@pytest.mark.parametrize(
    ("actions", "joined"),
    [
        ([], []),
        ([LOG_EVENT, FORWARD], [LOG_EVENT, FORWARD]),
        ([query_frame(A, 1)], [query_frame(A, 1)]),
        ([query_frame(A, 1), query_frame(A, 2)], [query_frame(A, 1, 2)]),
        (
            [
                query_frame(A, 1),
                query_frame(B, 1),
                query_frame(A, 2),
                query_frame(B, 2),
            ],
            [query_frame(A, 1, 2), query_frame(B, 1, 2)],
        ),
        (
            [query_frame(A, 1), FORWARD, query_frame(A, 2)],
            [FORWARD, query_frame(A, 1, 2)],
        ),
        (
            [query_frame(A, 1), query_frame(A, 2, service="drawings")],
            [query_frame(A, 1), query_frame(A, 2, service="drawings")],
        ),
        (
            [query_frame(A, number) for number in range(MAX_QUERIES_PER_FRAME + 1)],
            [
                query_frame(A, *range(MAX_QUERIES_PER_FRAME)),
                query_frame(A, MAX_QUERIES_PER_FRAME),
            ],
        ),
    ],
)
def test_queries_to_one_agent_are_merged(actions, joined):
    assert merge_owner_queries(actions) == joined
