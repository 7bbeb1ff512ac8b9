"""Frames exchanged by balancers and agents of the plain front end."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.plain.entry_store import StoreRevision
from papayagw._internal.models.plain.instance import AgentLoad
from papayagw._internal.models.plain.packet import EntryKey, FlowKey, FlowPacket


class ReturnReason(Enum):
    """Why an agent returns a packet to the balancer."""

    NOT_READY = 1
    """The backend server hasn't reported, has left or doesn't respond."""
    DRAINING = 2
    """The backend server accepts no new flows, or the agent is stopping."""
    FULL = 3
    """The backend server rejected the opening."""
    SILENT = 4
    """The backend server left this or a recent opening unanswered."""
    WRONG_SERVICE = 5
    """The agent serves another service than the balancer expects."""
    OLD_VERSION = 6
    """The opening's route doesn't exist in the newer configuration of the agent."""
    NOT_OWNER = 7
    """The flow belongs to another backend server."""
    BUSY = 8
    """No free capacity; the agent notifies the balancer when there is some."""
    EVACUATED = 9
    """The agent's zone is evacuated."""


class Ownership(Enum):
    """An agent's reply to the query whether its backend server owns a flow."""

    OWNER = 1
    NOT_OWNER = 2
    UNKNOWN = 3
    """The agent started after its backend server and may not know all of its flows."""
    UNCONFIRMED = 4
    """Not the owner, unless the agent's wall clock was set back before it started.

    Counts as a denial where other machines' clocks confirm the backend server's start,
    otherwise as `UNKNOWN`.
    """


@dataclass(frozen=True, slots=True)
class OpenFrame:
    """Offers a client's opening to an agent.

    Attributes
    ----------
    service : str
        The service that the sender expects the agent to serve.
    site_version : int
        The configuration version that the opening was routed with.
    packet : FlowPacket
        The opening.
    """

    service: str
    site_version: int
    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class ForwardFrame:
    """Forwards a client's packet of an open flow to the agent that owns the flow.

    Attributes
    ----------
    service : str
        The service that the sender expects the agent to serve.
    packet : FlowPacket
        The packet.
    """

    service: str
    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class OwnerQuery:
    """Asks whether an agent's backend server owns a flow.

    Attributes
    ----------
    flow : FlowKey
        The flow.
    acknowledged : int or None
        The client's acknowledgement number, or None if the packet has none. It
        distinguishes the backend server that accepted the flow from another one that
        the flow was offered to.
    """

    flow: FlowKey
    acknowledged: int | None


@dataclass(frozen=True, slots=True)
class OwnerQueryFrame:
    """Asks an agent of a service for which of several flows it is the owner."""

    service: str
    queries: tuple[OwnerQuery, ...]


@dataclass(frozen=True, slots=True)
class OwnerReply:
    """An agent's reply to an `OwnerQuery`: whether it owns the flow."""

    flow: FlowKey
    ownership: Ownership


@dataclass(frozen=True, slots=True)
class OwnerReplyFrame:
    """An agent's replies to owner queries, or a claim of flows that wasn't queried."""

    replies: tuple[OwnerReply, ...]
    load: AgentLoad


@dataclass(frozen=True, slots=True)
class OpenedFrame:
    """Reports that the agent's backend server has accepted an opening."""

    flow: FlowKey
    load: AgentLoad


@dataclass(frozen=True, slots=True)
class ReturnFrame:
    """Returns a packet to the balancer that sent it, as the agent can't deliver it."""

    reason: ReturnReason
    packet: FlowPacket
    load: AgentLoad


@dataclass(frozen=True, slots=True)
class LoadFrame:
    """Reports an agent's load and availability after a change."""

    load: AgentLoad


@dataclass(frozen=True, slots=True)
class ScopeFrame:
    """Lists all entries that a configuration version routes to the agent's service."""

    service: str
    site_version: int
    entries: frozenset[EntryKey]


@dataclass(frozen=True, slots=True)
class EntryMissingFrame:
    """Notifies an agent that its entry is missing from the store."""

    service: str


@dataclass(frozen=True, slots=True)
class EvacuationFrame:
    """Tells an agent whether its zone is evacuated.

    Attributes
    ----------
    service : str
        The service that the sender expects the agent to serve.
    is_evacuated : bool
        Whether the agent's zone is evacuated.
    revision : StoreRevision
        Revision at which the sender knows it. The agent keeps what is newest.
    """

    service: str
    is_evacuated: bool
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class ServiceLimitsFrame:
    """Tells an agent the rate of its cold backend server.

    Attributes
    ----------
    service : str
        The service that the sender expects the agent to serve.
    site_version : int
        The configuration version that states the rate.
    cold_per_s : float
        Openings a second that a cold backend server handles; above 0.
    """

    service: str
    site_version: int
    cold_per_s: float


ToAgent = (
    OpenFrame
    | ForwardFrame
    | OwnerQueryFrame
    | ScopeFrame
    | EntryMissingFrame
    | EvacuationFrame
    | ServiceLimitsFrame
)
"""A frame that a balancer sends to an agent."""

ToBalancer = OpenedFrame | ReturnFrame | OwnerReplyFrame | LoadFrame
"""A frame that an agent sends to a balancer."""

Frame = ToAgent | ToBalancer
