"""Codec of the packet header of clients and backend servers.

Source: PROTOCOL, section Packets. All numbers are big-endian.
"""

import struct

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket, PacketKind

HEADER_BYTES = 32
"""Length of the header that precedes the payload."""

MAX_PACKET_BYTES = HEADER_BYTES + 1_200
"""Maximum length of a packet, header included."""

# Bits of the flags field. A backend server sets `_REJECTED` in a packet that it sends
# back.
_SYN = 1
_ACK = 8
_FIN = 16
_RST = 32
_REJECTED = 64

_FIELDS = struct.Struct(">IIIH4xB")
"""seq, ack, echo, len, flags; the keyed checksum before flags is skipped."""

_ECHO = struct.Struct(">I")
"""The echo field, which carries a balancer's token."""

_ECHO_OFFSET = 8
_FLAGS_OFFSET = 18
_PAD_OFFSET = 19
_RESET_HEADER = struct.Struct(">IIIHIBB4sHH4s")
"""seq, ack, echo, len, checksum, flags, padding, src, sport, dport, dst."""

_KIND_BY_FLAGS = {
    _SYN: PacketKind.OPEN,
    _SYN | _ACK: PacketKind.ACCEPT,
}
"""Kinds of the packets that open a flow, by flags."""


def decode_client_packet(raw: bytes) -> FlowPacket | None:
    """Decode a packet from a client; return None if its length is invalid."""
    if not _has_valid_length(raw):
        return None
    return _decode(raw, FlowKey(raw[20:32]))


def decode_backend_packet(raw: bytes) -> FlowPacket | None:
    """Decode a backend server's packet, or a client's packet that it rejected.

    Returns None if its length is invalid.
    """
    if not _has_valid_length(raw):
        return None
    if raw[_FLAGS_OFFSET] & _REJECTED:
        # A rejected packet is the client's, with unchanged source and destination.
        return _decode(raw, FlowKey(raw[20:32]))
    # Swap the ends to get the order of a client's packet: src, sport, dport, dst.
    flow = raw[28:32] + raw[26:28] + raw[24:26] + raw[20:24]
    return _decode(raw, FlowKey(flow))


def encode_for_backend(packet: FlowPacket, token: int) -> bytes:
    """Return the client's datagram with a balancer's `token` in the echo field.

    The rejected flag is cleared. The backend server leaves the echo field unchanged.
    """
    raw = bytearray(packet.raw)
    _ECHO.pack_into(raw, _ECHO_OFFSET, token)
    raw[_FLAGS_OFFSET] &= ~_REJECTED
    raw[_PAD_OFFSET] = 0
    return bytes(raw)


def encode_client_packet(packet: FlowPacket) -> bytes:
    """Return the datagram as its client sent it, without token or rejected flag."""
    return encode_for_backend(packet, 0)


def encode_reset(flow: FlowKey, sequence: int) -> bytes:
    """Encode a reset from the entry of a flow to its client."""
    client_ip, client_port = flow[:4], int.from_bytes(flow[4:6], "big")
    entry_port, entry_ip = int.from_bytes(flow[6:8], "big"), flow[8:]
    return _RESET_HEADER.pack(
        sequence, 0, 0, 0, 0, _RST, 0, entry_ip, entry_port, client_port, client_ip
    )


def client_endpoint(flow: FlowKey, port: int) -> Endpoint:
    """Return the endpoint at which a client receives packets of `flow`.

    Parameters
    ----------
    flow : FlowKey
        The flow.
    port : int
        The UDP port at which all clients receive packets. The client port in the
        flow is only a number in the header.
    """
    return Endpoint(".".join(str(part) for part in flow[:4]), port)


def encode_entry(address: str, port: int) -> bytes:
    """Encode an entry's address and port as the last bytes of a `FlowKey`.

    Raises
    ------
    ValueError
        If `address` isn't an IPv4 address.
    """
    numbers = bytes(int(part) for part in address.split("."))
    if len(numbers) != 4:
        raise ValueError(f"expected an IPv4 address, found {address!r}")
    return port.to_bytes(2, "big") + numbers


def _has_valid_length(raw: bytes) -> bool:
    """Whether a datagram is as long as a packet may be."""
    return HEADER_BYTES <= len(raw) <= MAX_PACKET_BYTES


def _decode(raw: bytes, flow: FlowKey) -> FlowPacket:
    """Decode the header of a packet that belongs to `flow`."""
    sequence, acknowledged, token, length, flags = _FIELDS.unpack_from(raw)
    kind = _KIND_BY_FLAGS.get(flags & (_SYN | _ACK | _FIN | _RST))
    if kind is None:
        kind = _classify_non_opening(flags)
    is_open = kind is PacketKind.OPEN
    return FlowPacket(
        flow,
        kind,
        sequence,
        acknowledged if flags & _ACK else None,
        # In an opening the client numbers its retransmitted copies in the ack field.
        acknowledged if is_open else 0,
        length,
        bool(flags & _REJECTED),
        token,
        raw,
    )


def _classify_non_opening(flags: int) -> PacketKind:
    """Return the kind of a packet that neither opens nor accepts a flow."""
    if flags & _RST:
        return PacketKind.ABORT
    return PacketKind.FINISH if flags & _FIN else PacketKind.DATA
