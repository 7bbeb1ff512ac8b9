"""Packets and flows, independent of the platform's packet format.

An opening is the first packet of a client's flow (`PacketKind.OPEN`) and, by extension,
the attempt to place the flow on an agent.
"""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from papayagw._internal.models.clock import Millis

FlowKey = NewType("FlowKey", bytes)
"""Identifies a flow: the client's address and port, then the `EntryKey`."""

EntryKey = NewType("EntryKey", bytes)
"""Port and address that clients send to; the last bytes of a `FlowKey`."""

MAX_COPY_AGE_MS = Millis(1_400)
"""Age of an opening at which its client gives up, and sends no copy of it any more.

Defined by the platform's protocol.
"""

ENTRY_KEY_BYTES = 6
"""Length of an `EntryKey`: 2 bytes of the port and 4 of the IPv4 address."""


class PacketKind(Enum):
    """The meaning of a packet for its flow."""

    OPEN = "open"
    """A client's opening of a flow."""
    ACCEPT = "accept"
    """A backend server's acceptance of an opening."""
    DATA = "data"
    """Payload or an acknowledgement within a flow."""
    FINISH = "finish"
    """End of the sender's bytes."""
    ABORT = "abort"
    """Reset of the flow."""

    @property
    def is_closing(self) -> bool:
        """Whether the sender sends nothing more in the flow."""
        return self is PacketKind.FINISH or self is PacketKind.ABORT


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """One packet, in either direction.

    Attributes
    ----------
    flow : FlowKey
        The flow, the same for both directions.
    kind : PacketKind
        The meaning of the packet for its flow.
    sequence : int
        Sequence number: position in the sender's bytes, modulo 2**32.
    acknowledged : int or None
        Acknowledgement number: position up to which the sender has received the
        other end's bytes. None if the packet acknowledges nothing.
    copy : int
        For `PacketKind.OPEN`, the number of copies sent before this one.
    payload_bytes : int
        Length of the payload.
    rejected_by_backend : bool
        Whether a backend server has sent the client's packet back, because it refuses
        the opening or doesn't hold the flow.
    token : int
        Number that identifies the balancer that forwarded the packet; 0 if none. The
        agent sets it, so that a packet that the backend server sends back can be
        returned to that balancer.
    raw : bytes
        The datagram.
    """

    flow: FlowKey
    kind: PacketKind
    sequence: int
    acknowledged: int | None
    copy: int
    payload_bytes: int
    rejected_by_backend: bool
    token: int
    raw: bytes

    @property
    def entry(self) -> EntryKey:
        """The address and port that the client sent to."""
        return entry_of(self.flow)


def entry_of(flow: FlowKey) -> EntryKey:
    """Return the address and port that the client of `flow` sends to."""
    return EntryKey(flow[-ENTRY_KEY_BYTES:])


def format_flow(flow: FlowKey) -> str:
    """Format a flow for logs, as ``client:port>entry:port``."""
    client, entry = flow[:4], flow[8:]
    client_port = int.from_bytes(flow[4:6], "big")
    entry_port = int.from_bytes(flow[6:8], "big")
    return f"{_format_ip(client)}:{client_port}>{_format_ip(entry)}:{entry_port}"


def _format_ip(ip: bytes) -> str:
    return ".".join(str(part) for part in ip)
