"""Backend servers and the agents beside them."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint


class ReportedState(Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class StatusReport:
    """A heartbeat of a backend server.

    Attributes
    ----------
    instance : str
        The id under which the backend server reports; a restart may reuse it.
    service : str
        The service that it runs.
    state : ReportedState
        Whether it wants new flows.
    slots : int
        How many requests it works on at once.
    cold_left_ms : Millis
        How much longer it will be slow after its start.
    started_at : int
        When this run of it began, in ms since 1970 by its own clock. Orders the
        runs that share an id or an address.
    number : int
        Counts the reports of one run; orders those that arrive late.
    """

    instance: str
    service: str
    state: ReportedState
    slots: int
    cold_left_ms: Millis
    started_at: int
    number: int


@dataclass(frozen=True, slots=True)
class Departure:
    """The last word of a backend server that ends in an orderly way.

    Attributes
    ----------
    instance : str
        The id under which it reported.
    started_at : int or None
        When the run that ends began; None if it didn't say.
    """

    instance: str
    started_at: int | None


@dataclass(frozen=True, slots=True)
class AgentEntry:
    """What an agent stores so that balancers find it.

    Attributes
    ----------
    endpoint : Endpoint
        Where it takes frames, over UDP.
    service : str
        The service of its backend server.
    zone : str
        Its availability zone.
    """

    endpoint: Endpoint
    service: str
    zone: str


class Availability(Enum):
    """Whether an agent takes openings."""

    READY = 1
    UNREADY = 2
    DRAINING = 3
    LEAVING = 4


@dataclass(frozen=True, slots=True)
class AgentLoad:
    """What an agent tells balancers about its backend server.

    Attributes
    ----------
    availability : Availability
        Whether it takes openings.
    slots : int
        How many requests the backend server works on at once.
    busy : int
        Requests in progress, those that wait for a slot included.
    flows : int
        Open flows.
    utilization : float
        Share of the slots that was busy of late, 0 to 1.
    service_us : int
        Mean time of a slot for one request, in microseconds; 0 if not known yet.
    site_version : int
        The highest version of the configuration that the agent has heard of.
    run_age_ms : Millis or None
        How long ago the backend server started; None if the agent can't tell.
    """

    availability: Availability
    slots: int
    busy: int
    flows: int
    utilization: float
    service_us: int
    site_version: int
    run_age_ms: Millis | None = None
