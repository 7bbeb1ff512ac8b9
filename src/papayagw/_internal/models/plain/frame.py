"""Messages between balancers and agents of the plain front end."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.plain.instance import AgentLoad
from papayagw._internal.models.plain.packet import EntryKey, FlowKey, FlowPacket


class ReturnReason(Enum):
    """Why an agent hands a packet back."""

    NOT_READY = 1
    DRAINING = 2
    FULL = 3
    SILENT = 4
    WRONG_SERVICE = 5
    OLD_VERSION = 6
    NOT_OWNER = 7
    BUSY = 8


class Ownership(Enum):
    """An agent's answer to the question whether a flow is its own."""

    OWNER = 1
    STRANGER = 2
    UNSURE = 3
    """The agent started after its backend server and may not know all flows."""


@dataclass(frozen=True, slots=True)
class OpenFrame:
    """A client's opening for the agent to take.

    Attributes
    ----------
    service : str
        The service that the sender takes the agent for.
    site_version : int
        The version of the configuration by which the opening was routed.
    packet : FlowPacket
        The opening.
    """

    service: str
    site_version: int
    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class CarryFrame:
    """A later packet of a client, for the owner of its flow.

    Attributes
    ----------
    service : str
        The service that the sender takes the agent for.
    packet : FlowPacket
        The packet.
    """

    service: str
    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class FlowQuestion:
    """A flow whose owner is sought.

    Attributes
    ----------
    flow : FlowKey
        The flow.
    acknowledged : int or None
        What the client has of its backend server's bytes, which tells the backend
        server that accepted the flow from another that was offered it.
    """

    flow: FlowKey
    acknowledged: int | None


@dataclass(frozen=True, slots=True)
class AskFrame:
    """Asks an agent of a service whether flows are its own."""

    service: str
    questions: tuple[FlowQuestion, ...]


@dataclass(frozen=True, slots=True)
class FlowClaim:
    """The answer to a `FlowQuestion`."""

    flow: FlowKey
    ownership: Ownership


@dataclass(frozen=True, slots=True)
class ClaimFrame:
    """An agent's answers to an `AskFrame`, or its word that it owns flows."""

    claims: tuple[FlowClaim, ...]
    load: AgentLoad


@dataclass(frozen=True, slots=True)
class OpenedFrame:
    """The backend server beside the agent has accepted an opening."""

    flow: FlowKey
    load: AgentLoad


@dataclass(frozen=True, slots=True)
class ReturnFrame:
    """A packet that the agent can't deliver."""

    reason: ReturnReason
    packet: FlowPacket
    load: AgentLoad


@dataclass(frozen=True, slots=True)
class LoadFrame:
    """The load of an agent, sent when it has changed."""

    load: AgentLoad


@dataclass(frozen=True, slots=True)
class ScopeFrame:
    """The entries that a version of the configuration routes to a service."""

    service: str
    site_version: int
    entries: frozenset[EntryKey]


@dataclass(frozen=True, slots=True)
class MissingFrame:
    """Tells an agent that the store lacks its entry."""

    service: str


ToAgent = OpenFrame | CarryFrame | AskFrame | ScopeFrame | MissingFrame
ToBalancer = OpenedFrame | ReturnFrame | ClaimFrame | LoadFrame
Frame = ToAgent | ToBalancer
