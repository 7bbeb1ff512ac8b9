"""Tests of the packet header codec of the prepared platform."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayagw._internal.models.plain.packet import FlowKey, PacketKind, format_flow
from papayagw.platform.packet import (
    HEADER_BYTES,
    MAX_PACKET_BYTES,
    client_endpoint,
    decode_backend_packet,
    decode_client_packet,
    encode_client_packet,
    encode_entry,
    encode_for_backend,
    encode_reset,
)

# The example from the platform's documentation.
OPENING = bytes.fromhex(
    "11 22 33 44 00 00 00 00 00 00 00 00 00 00 a1 b2 c3 d5 01 00"
    "64 40 00 07 9c 41 01 bb c6 12 00 01"
)
RESET = bytes.fromhex(
    "00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 20 00"
    "c6 12 00 01 01 bb 9c 41 64 40 00 07"
)
FLOW = FlowKey(OPENING[20:])
FLAGS_OFFSET, ECHO_OFFSET = 18, 8
TO_CLIENT = RESET[20:]


def make_header(flags, *, seq=1, ack=2, echo=0, length=3, ends=OPENING[20:]):
    head = seq.to_bytes(4, "big") + ack.to_bytes(4, "big") + echo.to_bytes(4, "big")
    head += length.to_bytes(2, "big") + b"\xa1\xb2\xc3\xd5" + bytes((flags, 0))
    return head + ends + b"x" * length


def test_example_of_an_opening():
    packet = decode_client_packet(OPENING)
    assert packet is not None
    assert packet.kind is PacketKind.OPEN
    assert packet.sequence == 0x11223344
    assert packet.acknowledged is None
    assert format_flow(packet.flow) == "100.64.0.7:40001>198.18.0.1:443"
    assert packet.entry == encode_entry("198.18.0.1", 443)
    assert str(client_endpoint(packet.flow, 8172)) == "100.64.0.7:8172"


def test_example_of_a_reset():
    assert encode_reset(FLOW, 0) == RESET


@pytest.mark.parametrize(
    ("flags", "kind", "acknowledged", "copy"),
    [
        (1, PacketKind.OPEN, None, 2),
        (9, PacketKind.ACCEPT, 2, 0),
        (8, PacketKind.DATA, 2, 0),
        (0, PacketKind.DATA, None, 0),
        (24, PacketKind.FINISH, 2, 0),
        (16, PacketKind.FINISH, None, 0),
        (32, PacketKind.ABORT, None, 0),
        (40, PacketKind.ABORT, 2, 0),
        (48, PacketKind.ABORT, None, 0),
    ],
)
def test_packet_kinds(flags, kind, acknowledged, copy):
    packet = decode_client_packet(make_header(flags))
    assert (packet.kind, packet.acknowledged, packet.copy) == (kind, acknowledged, copy)
    assert packet.payload_bytes == 3


def test_both_directions_have_the_same_flow():
    packet = decode_backend_packet(make_header(9, ends=TO_CLIENT))
    assert packet.flow == FLOW
    assert packet.kind is PacketKind.ACCEPT


def test_rejected_packet_keeps_the_clients_flow():
    sent = encode_for_backend(decode_client_packet(OPENING), 77)
    returned = bytearray(sent)
    returned[FLAGS_OFFSET] |= 64
    packet = decode_backend_packet(bytes(returned))
    assert (packet.flow, packet.rejected_by_backend, packet.token) == (FLOW, True, 77)
    assert encode_client_packet(packet) == OPENING


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        OPENING[:-1],
        OPENING + b"x" * (MAX_PACKET_BYTES - HEADER_BYTES + 1),
    ],
    ids=["empty", "cut off", "too long"],
)
def test_invalid_length(raw):
    assert decode_client_packet(raw) is None
    assert decode_backend_packet(raw) is None


@given(st.binary(max_size=MAX_PACKET_BYTES + 10), st.integers(0, (1 << 32) - 1))
def test_arbitrary_bytes(raw, token):
    for decode in (decode_client_packet, decode_backend_packet):
        packet = decode(raw)
        if packet is not None:
            encoded = encode_for_backend(packet, token)
            decoded = decode_client_packet(encoded)
            assert decoded.token == token
            assert not decoded.rejected_by_backend
            # Only fields that the keyed checksum doesn't cover are changed.
            assert encoded[:ECHO_OFFSET] == raw[:ECHO_OFFSET]
            assert encoded[12:FLAGS_OFFSET] == raw[12:FLAGS_OFFSET]
            assert encoded[20:] == raw[20:]
            assert replace(decoded, raw=b"", token=0).flow == FlowKey(raw[20:32])


@pytest.mark.parametrize("address", ["1.2.3", "1.2.3.4.5", "a.b.c.d", "256.1.1.1", ""])
def test_invalid_entry_address(address):
    with pytest.raises(ValueError, match=r"."):
        encode_entry(address, 443)
