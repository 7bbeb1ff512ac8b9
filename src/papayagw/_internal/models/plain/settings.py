"""Settings of the processes of the plain front end."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainSettings:
    """Settings that balancer and agent processes have in common.

    Attributes
    ----------
    name : str
        Name of the process in logs and in the store.
    zone : str
        Availability zone of the process.
    inner : Endpoint
        UDP endpoint for frames between balancers and agents.
    client_port : int
        UDP port at which clients receive packets, each at its own address.
    readiness : Endpoint
        HTTP endpoint of the readiness probe.
    metrics : Endpoint
        HTTP endpoint that serves counters and histograms.
    store : Endpoint
        HTTP endpoint of the platform's key-value service.
    grace_ms : Millis
        Time after SIGTERM within which the process must exit.
    flow_limit_ms : Millis
        Idle time after which a flow may be removed.
    """

    name: str
    zone: str
    inner: Endpoint
    client_port: int
    readiness: Endpoint
    metrics: Endpoint
    store: Endpoint
    grace_ms: Millis
    flow_limit_ms: Millis


class Placement(Enum):
    """Policy that selects the agent for an opening."""

    LEAST_WAIT = "least_wait"
    """The agent that is expected to answer first, by its latest load report."""
    EVEN = "even"
    """A random choice among the better agents, which allows for outdated reports."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainBalancerSettings(PlainSettings):
    """Settings of a balancer process.

    Attributes
    ----------
    entry : Endpoint
        UDP endpoint that receives clients' packets.
    placement : Placement
        Policy that selects the agent for an opening.
    """

    entry: Endpoint
    placement: Placement = Placement.LEAST_WAIT


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainAgentSettings(PlainSettings):
    """Settings of an agent process.

    Attributes
    ----------
    service : str
        Service of the local backend server.
    backend : Endpoint
        UDP endpoint at which the backend server receives packets.
    outbound : Endpoint
        UDP endpoint that receives the backend server's packets.
    reports : Endpoint
        HTTP endpoint that receives the backend server's reports.
    report_interval_ms : Millis
        Interval between the backend server's reports.
    """

    service: str
    backend: Endpoint
    outbound: Endpoint
    reports: Endpoint
    report_interval_ms: Millis
