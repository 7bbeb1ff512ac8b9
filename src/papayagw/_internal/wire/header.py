"""Reading of the version-independent header of QUIC packets (RFC 8999)."""

from papayagw._internal.models.packet import Packet, PacketKind
from papayagw._internal.wire.tag import TAG_BYTES

_LONG_HEADER_BIT = 0x80
_LENGTH_OFFSET = 5
_LONG_ID_OFFSET = 6
_SHORT_ID_OFFSET = 1
_MAX_ID_BYTES = 20
"""Maximum length of a connection id in a long header, in bytes."""

_MIN_OPENING_ID_BYTES = 8
"""Minimum length of the connection id of an opening, in bytes."""

MIN_OPENING_BYTES = 1200
"""Size in bytes to which an opening is at least padded (RFC 9000, 14.1)."""


def read_connection_id(datagram: bytes, length: int = TAG_BYTES) -> bytes | None:
    """Return the destination connection id of a datagram, or None if malformed.

    Parameters
    ----------
    datagram : bytes
        A datagram from a caller, or from an agent to a caller.
    length : int
        Length of the receiver's ids in bytes, which short headers don't carry.
    """
    if not datagram:
        return None
    if not datagram[0] & _LONG_HEADER_BIT:
        connection_id = datagram[_SHORT_ID_OFFSET : _SHORT_ID_OFFSET + length]
        return connection_id if len(connection_id) == length else None
    if len(datagram) < _LONG_ID_OFFSET:
        return None
    id_bytes = datagram[_LENGTH_OFFSET]
    end = _LONG_ID_OFFSET + id_bytes
    if id_bytes > _MAX_ID_BYTES or len(datagram) < end:
        return None
    return datagram[_LONG_ID_OFFSET:end]


def is_opening(datagram: bytes, connection_id: bytes) -> bool:
    """Return whether a datagram without a valid tag may open a flow."""
    return (
        datagram[0] & _LONG_HEADER_BIT != 0
        and len(datagram) >= MIN_OPENING_BYTES
        and len(connection_id) >= _MIN_OPENING_ID_BYTES
    )


def read_packet(datagram: bytes) -> Packet:
    """Read the connection id of a caller's datagram and classify the datagram."""
    connection_id = read_connection_id(datagram)
    if connection_id is None:
        return Packet(PacketKind.MALFORMED, b"")
    if is_opening(datagram, connection_id):
        return Packet(PacketKind.OPENING, connection_id)
    return Packet(PacketKind.TAGGED, connection_id)
