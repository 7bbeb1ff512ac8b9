"""Status reports of nodes, for operators."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.report import ServiceTotals

MAX_LISTED_AGENTS = 256
"""Maximum number of agents in a report, so that creating it never delays packets."""


class Role(Enum):
    """The program that a node runs."""

    BALANCER = "balancer"
    AGENT = "agent"
    CONNECT = "connect"


class NodeState(Enum):
    """The lifecycle state of a node."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """A process with which the node communicates.

    Attributes
    ----------
    endpoint : str
        The address, as ``ip:port``.
    role : str
        The role of the peer, such as ``balancer``, ``backend server`` or
        ``platform``.
    state : str
        The state of the peer, such as ``up`` or ``silent``.
    silent_ms : Millis or None
        The time in ms since the peer was last heard from, if known.
    """

    endpoint: str
    role: str
    state: str
    silent_ms: Millis | None = None


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """An agent in the node's view of the membership.

    Attributes
    ----------
    endpoint : str
        The address, as ``ip:port``.
    service : str
        The name of the agent's service.
    zone : str
        The availability zone of the agent.
    state : str
        Whether the agent accepts openings: ``ready``, ``suspected``, ``draining`` or
        ``gone``.
    weight : int
        The announced weight, which is the quantised capacity of the instance.
    flows : int or None
        The number of open flows, if known.
    """

    endpoint: str
    service: str
    zone: str
    state: str
    weight: int
    flows: int | None = None


@dataclass(frozen=True, slots=True)
class Counter:
    """A counter, which starts at 0 with the node.

    Attributes
    ----------
    name : str
        The name of the metric, without its prefix.
    value : int
        The value of the counter.
    """

    name: str
    value: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """The status of a node.

    Attributes
    ----------
    node : str
        The name of the node.
    role : Role
        The program that the node runs.
    zone : str
        The availability zone of the node.
    version : str
        The version of papayagw.
    state : NodeState
        The lifecycle state of the node.
    run : int
        The incarnation of the node: its start in ms since the Unix epoch.
    uptime_ms : Millis
        The time in ms since the start.
    configuration_version : int
        The version of the active configuration; 0 if it was loaded from a file.
    flows_open : int
        The number of open flows; always 0 at a balancer, which holds no flows.
    agents_known : int
        The number of known agents, of which `agents` lists at most
        `MAX_LISTED_AGENTS`.
    peers : tuple of PeerStatus
        The processes with which the node communicates.
    agents : tuple of AgentStatus
        Known agents.
    services : tuple of ServiceTotals
        The totals of each service.
    counters : tuple of Counter
        All counters of the node.
    """

    node: str
    role: Role
    zone: str
    version: str
    state: NodeState
    run: int
    uptime_ms: Millis
    configuration_version: int
    flows_open: int = 0
    agents_known: int = 0
    peers: tuple[PeerStatus, ...] = ()
    agents: tuple[AgentStatus, ...] = ()
    services: tuple[ServiceTotals, ...] = ()
    counters: tuple[Counter, ...] = ()
