"""What a node tells operators about itself."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.report import ServiceTotals

MAX_LISTED_AGENTS = 256
"""The most agents that one report lists, so that making it never holds up packets."""


class Role(Enum):
    """Which program a node runs."""

    BALANCER = "balancer"
    AGENT = "agent"
    CONNECT = "connect"


class NodeState(Enum):
    """What a node is doing."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """A process that the node talks with.

    Attributes
    ----------
    endpoint : str
        Its address, as ``ip:port``.
    role : str
        What it is to the node, such as ``balancer``, ``backend server`` or
        ``platform``.
    state : str
        One word on it, such as ``up`` or ``silent``.
    silent_ms : Millis or None
        How long ago it was last heard, where the node knows.
    """

    endpoint: str
    role: str
    state: str
    silent_ms: Millis | None = None


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """An agent, as the node knows it.

    Attributes
    ----------
    endpoint : str
        Its address, as ``ip:port``.
    service : str
        The name of its service.
    zone : str
        Its availability zone.
    state : str
        Whether it takes openings: ``ready``, ``suspected``, ``draining`` or
        ``gone``.
    weight : int
        Its announced strength.
    flows : int or None
        The flows that it holds, where the node knows.
    """

    endpoint: str
    service: str
    zone: str
    state: str
    weight: int
    flows: int | None = None


@dataclass(frozen=True, slots=True)
class Counter:
    """A count since the node started.

    Attributes
    ----------
    name : str
        The name of the metric, without the prefix.
    value : int
        The count.
    """

    name: str
    value: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """A node's own account.

    Attributes
    ----------
    node : str
        The name of the node.
    role : Role
        The program that it runs.
    zone : str
        Its availability zone.
    version : str
        The version of papayagw.
    state : NodeState
        What it is doing.
    run : int
        The run of the node: its start in ms since 1970.
    uptime_ms : Millis
        How long it has run.
    configuration_version : int
        The version of the configuration in force; 0 for one from a file.
    flows_open : int
        Flows that it holds now; always 0 at a balancer, which holds none.
    agents_known : int
        How many agents it knows, of which `agents` lists at most
        `MAX_LISTED_AGENTS`.
    peers : tuple of PeerStatus
        The processes that it talks with.
    agents : tuple of AgentStatus
        Agents that it knows.
    services : tuple of ServiceTotals
        What it counted for each service.
    counters : tuple of Counter
        All its counts.
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
