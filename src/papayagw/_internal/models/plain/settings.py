"""Settings of the processes of the plain front end."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint


class AdmissionOrder(Enum):
    """Order in which a balancer offers waiting openings."""

    PRIORITY = "priority"
    """By priority, then the newest first."""
    DEADLINE = "deadline"
    """By priority, then by the worth of an answer to the client."""


class Placement(Enum):
    """Policy that selects the agent for an opening."""

    LEAST_WAIT = "least_wait"
    """The agent that is expected to answer first, by its latest load report."""
    EVEN = "even"
    """A random choice among the better agents, which allows for outdated reports."""

    @classmethod
    def default_for(cls, cold_overage: float | None) -> "Placement":
        """Return the policy for a deployment, by its bound on cold servers, if any.

        Only deployments that state one ask for policies beyond the earlier ones.
        """
        return cls.LEAST_WAIT if cold_overage is None else cls.EVEN


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
    evacuation_ms : Millis or None
        Time within which the evacuation of a zone must be in force; None if zones
        aren't evacuated in this deployment.
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
    evacuation_ms: Millis | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainBalancerSettings(PlainSettings):
    """Settings of a balancer process.

    Attributes
    ----------
    entry : Endpoint
        UDP endpoint that receives clients' packets.
    admission : AdmissionOrder
        Order in which waiting openings are offered.
    placement : Placement
        Policy that selects the agent for an opening.
    limits_cold_servers : bool
        Whether agents are told the rates of cold backend servers.
    """

    entry: Endpoint
    admission: AdmissionOrder = AdmissionOrder.PRIORITY
    placement: Placement = Placement.LEAST_WAIT
    limits_cold_servers: bool = False


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
    cold_overage : float or None
        Factor on the stated rate of a cold backend server up to which it gets
        openings; None, as without `cold_slack`, for no limit.
    cold_slack : float or None
        Openings a second that a cold backend server gets in addition.
    """

    service: str
    backend: Endpoint
    outbound: Endpoint
    reports: Endpoint
    report_interval_ms: Millis
    cold_overage: float | None = None
    cold_slack: float | None = None
