"""Tests of the batching of ownership questions."""

import pytest

from papayagw._internal.core.plain.batching import (
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


def question(number):
    return OwnerQuery(FlowKey(number.to_bytes(6, "big") + ENTRY), number)


def ask(agent, *numbers, service="order"):
    return SendFrame(
        agent, OwnerQueryFrame(service, tuple(question(n) for n in numbers))
    )


FLOW = question(1).flow
CARRY = SendFrame(A, ForwardFrame("order", make_packet(FLOW, PacketKind.DATA, 1, 2)))
LOG_EVENT = LogEvent("owner unknown", {})


@pytest.mark.parametrize(
    ("actions", "joined"),
    [
        ([], []),
        ([LOG_EVENT, CARRY], [LOG_EVENT, CARRY]),
        ([ask(A, 1)], [ask(A, 1)]),
        ([ask(A, 1), ask(A, 2)], [ask(A, 1, 2)]),
        ([ask(A, 1), ask(B, 1), ask(A, 2), ask(B, 2)], [ask(A, 1, 2), ask(B, 1, 2)]),
        ([ask(A, 1), CARRY, ask(A, 2)], [CARRY, ask(A, 1, 2)]),
        (
            [ask(A, 1), ask(A, 2, service="drawings")],
            [ask(A, 1), ask(A, 2, service="drawings")],
        ),
        (
            [ask(A, number) for number in range(MAX_QUERIES_PER_FRAME + 1)],
            [ask(A, *range(MAX_QUERIES_PER_FRAME)), ask(A, MAX_QUERIES_PER_FRAME)],
        ),
    ],
)
def test_questions_to_one_agent_are_joined(actions, joined):
    assert merge_owner_queries(actions) == joined
