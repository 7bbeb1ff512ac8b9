"""What the core asks its surroundings to do."""

from dataclasses import dataclass, field
from typing import Any

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import Frame
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send a frame to another process of the system."""

    peer: Endpoint
    frame: Frame


@dataclass(frozen=True, slots=True)
class SendToClient:
    """Send a backend server's packet to its client."""

    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class SendToBackend:
    """Hand a client's packet to the backend server beside the agent.

    Attributes
    ----------
    packet : FlowPacket
        The packet.
    token : int
        Comes back with the packet if the backend server doesn't take it.
    """

    packet: FlowPacket
    token: int


@dataclass(frozen=True, slots=True)
class ResetClient:
    """Tell a client that its flow is over.

    Attributes
    ----------
    flow : FlowKey
        The flow.
    sequence : int
        A position that the client accepts a reset for.
    """

    flow: FlowKey
    sequence: int


@dataclass(frozen=True, slots=True)
class Note:
    """A decision or a change of belief, for the log.

    Attributes
    ----------
    event : str
        What was decided, the same for all events of its kind.
    fields : dict
        What it was decided from, and the outcome.
    """

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RestoreEntry:
    """Store the agent's entry again."""


Action = SendFrame | SendToClient | SendToBackend | ResetClient | RestoreEntry | Note
