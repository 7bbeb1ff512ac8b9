"""Messages between balancers and agents of the plain front end."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.plain.instance import LoadWord
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
    NOT_OWNER = 2
    UNKNOWN = 3
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
class ForwardFrame:
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
class OwnerQuery:
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
class OwnerQueryFrame:
    """Asks an agent of a service whether flows are its own."""

    service: str
    queries: tuple[OwnerQuery, ...]


@dataclass(frozen=True, slots=True)
class OwnerReply:
    """The answer to a `OwnerQuery`."""

    flow: FlowKey
    ownership: Ownership


@dataclass(frozen=True, slots=True)
class OwnerReplyFrame:
    """An agent's answers to an `OwnerQueryFrame`, or its word that it owns flows."""

    replies: tuple[OwnerReply, ...]
    load: LoadWord


@dataclass(frozen=True, slots=True)
class OpenedFrame:
    """The backend server beside the agent has accepted an opening."""

    flow: FlowKey
    load: LoadWord


@dataclass(frozen=True, slots=True)
class ReturnFrame:
    """A packet that the agent can't deliver."""

    reason: ReturnReason
    packet: FlowPacket
    load: LoadWord


@dataclass(frozen=True, slots=True)
class LoadFrame:
    """The load of an agent, sent when it has changed."""

    load: LoadWord


@dataclass(frozen=True, slots=True)
class ScopeFrame:
    """The entries that a version of the configuration routes to a service."""

    service: str
    site_version: int
    entries: frozenset[EntryKey]


@dataclass(frozen=True, slots=True)
class EntryMissingFrame:
    """Tells an agent that the store lacks its entry."""

    service: str


ToAgent = OpenFrame | ForwardFrame | OwnerQueryFrame | ScopeFrame | EntryMissingFrame
ToBalancer = OpenedFrame | ReturnFrame | OwnerReplyFrame | LoadFrame
Frame = ToAgent | ToBalancer
