"""A packet as the core sees it: what its header says, never its bytes."""

from dataclasses import dataclass
from enum import Enum


class PacketKind(Enum):
    """What the header of a caller's packet shows."""

    OPENING = "opening"
    TAGGED = "tagged"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Packet:
    """The header of a caller's packet.

    Attributes
    ----------
    kind : PacketKind
        Whether the packet may open a flow, carries a tag, or neither.
    connection_id : bytes
        The destination connection id: a flow tag, or the random id of an opening.
    """

    kind: PacketKind
    connection_id: bytes
