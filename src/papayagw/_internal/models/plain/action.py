"""Actions that `PlainBalancer` and `PlainAgent` return for a process to perform."""

from dataclasses import dataclass, field
from typing import Any

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import Frame
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send a frame to a balancer or an agent."""

    peer: Endpoint
    frame: Frame


@dataclass(frozen=True, slots=True)
class SendToClient:
    """Send a backend server's packet to its client."""

    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class SendToBackend:
    """Send a client's packet to the agent's backend server.

    Attributes
    ----------
    packet : FlowPacket
        The packet.
    token : int
        Number that identifies the balancer that forwarded the packet. If the backend
        server rejects the packet, it sends the number back with it.
    """

    packet: FlowPacket
    token: int


@dataclass(frozen=True, slots=True)
class ResetClient:
    """Reset a client's flow.

    Attributes
    ----------
    flow : FlowKey
        The flow.
    sequence : int
        Sequence number for which the client accepts a reset.
    """

    flow: FlowKey
    sequence: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Log a decision or a change of state, and count it in the metrics.

    Attributes
    ----------
    event : str
        The kind of event, a fixed text.
    fields : dict
        Details of the event: the input of a decision, and the outcome.
    """

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RestoreEntry:
    """Write the agent's entry to the store again, because it is missing there."""


Action = (
    SendFrame | SendToClient | SendToBackend | ResetClient | RestoreEntry | LogEvent
)
"""An action that a process performs for its `PlainBalancer` or `PlainAgent`."""
