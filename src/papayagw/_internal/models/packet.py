"""The parsed packet header that the core works with instead of raw bytes."""

from dataclasses import dataclass
from enum import Enum


class PacketKind(Enum):
    """The kind of a caller's packet according to its header."""

    OPENING = "opening"
    TAGGED = "tagged"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Packet:
    """The header of a caller's packet.

    Attributes
    ----------
    kind : PacketKind
        Whether the packet may open a flow, needs a valid tag, or is malformed.
    connection_id : bytes
        The destination connection id: a flow tag, or a random id in an opening; empty
        if the packet is malformed.
    """

    kind: PacketKind
    connection_id: bytes
