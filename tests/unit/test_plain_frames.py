"""Tests of the codec of frames between balancers and agents."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayagw._internal.exceptions import DecodeError
from papayagw._internal.models.plain.entry_store import StoreRevision
from papayagw._internal.models.plain.frame import (
    EntryMissingFrame,
    EvacuationFrame,
    ForwardFrame,
    LoadFrame,
    OpenedFrame,
    OpenFrame,
    OwnerQuery,
    OwnerQueryFrame,
    OwnerReply,
    OwnerReplyFrame,
    Ownership,
    ReturnFrame,
    ReturnReason,
    ScopeFrame,
    ServiceLimitsFrame,
)
from papayagw._internal.models.plain.instance import AgentLoad, Availability
from papayagw._internal.models.plain.packet import EntryKey, FlowKey
from papayagw._internal.wire.plain_frames import MAX_FRAME_BYTES, PlainFrameCodec
from papayagw.platform.adapter import PreparedPlatform
from papayagw.platform.packet import HEADER_BYTES, decode_client_packet

FLOW = FlowKey(bytes(range(12)))
PACKET = decode_client_packet(bytes(HEADER_BYTES) + b"payload")
LOAD = AgentLoad(Availability.READY, 3, 2, 70_000, 0.25, 48_000, 1 << 40, 86_400_000)
EVACUATED = Availability.EVACUATED
CODEC = PlainFrameCodec(PreparedPlatform())
FRAMES = [
    OpenFrame("order", 7, PACKET),
    ForwardFrame("order", PACKET),
    OwnerQueryFrame("order", (OwnerQuery(FLOW, None), OwnerQuery(FLOW, (1 << 32) - 1))),
    OwnerQueryFrame("order", ()),
    ScopeFrame("order", 7, frozenset()),
    ScopeFrame("order", 7, frozenset((EntryKey(b"abcdef"), EntryKey(b"ghijkl")))),
    EntryMissingFrame("order"),
    EvacuationFrame("order", True, StoreRevision(2, 1 << 40)),
    ServiceLimitsFrame("order", 7, 12.5),
    OpenedFrame(FLOW, LOAD),
    ReturnFrame(ReturnReason.BUSY, PACKET, LOAD),
    ReturnFrame(ReturnReason.EVACUATED, PACKET, replace(LOAD, availability=EVACUATED)),
    OwnerReplyFrame((OwnerReply(FLOW, Ownership.UNKNOWN),), LOAD),
    OwnerReplyFrame((), LOAD),
    LoadFrame(LOAD),
]


@pytest.mark.parametrize("frame", FRAMES, ids=lambda frame: type(frame).__name__)
def test_round_trip(frame):
    assert CODEC.decode(CODEC.encode(frame)) == frame


@pytest.mark.parametrize("frame", FRAMES, ids=lambda frame: type(frame).__name__)
def test_a_flipped_bit_is_rejected(frame):
    data = CODEC.encode(frame)
    for position in range(len(data)):
        changed = bytearray(data)
        changed[position] ^= 1
        with pytest.raises(DecodeError):
            CODEC.decode(bytes(changed))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected(data):
    with pytest.raises(DecodeError):
        CODEC.decode(data)


def test_a_scope_of_the_largest_configuration_fits():
    entries = frozenset(EntryKey(n.to_bytes(6, "big")) for n in range(10_000))
    assert len(CODEC.encode(ScopeFrame("order", 7, entries))) <= MAX_FRAME_BYTES
