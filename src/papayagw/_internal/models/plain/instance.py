"""Reports of backend servers, and agents' store entries and load."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint


class ReportedState(Enum):
    """Whether a backend server accepts new flows, as it reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RunId:
    """Identity of one run of a backend server: one life of its process.

    Attributes
    ----------
    instance : str
        Id under which the backend server reports; a restart may reuse it.
    started_at : int
        Start of the run, in ms since 1970 by the server's wall clock. A later run may
        have an earlier start, if the clock was set back.
    """

    instance: str
    started_at: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Status that a backend server reports to its agent at regular intervals.

    Attributes
    ----------
    instance : str
        Id under which the backend server reports; a restart may reuse it.
    service : str
        Service that it runs.
    state : ReportedState
        Whether it accepts new flows.
    slots : int
        Number of requests that it processes concurrently.
    cold_left_ms : Millis
        Remaining time during which it is slow after its start.
    started_at : int
        Start of this run, in ms since 1970 by its own clock.
    number : int
        Sequence number of the report within its run; orders late reports.
    """

    instance: str
    service: str
    state: ReportedState
    slots: int
    cold_left_ms: Millis
    started_at: int
    number: int

    @property
    def run(self) -> RunId:
        """The run that reports."""
        return RunId(self.instance, self.started_at)


@dataclass(frozen=True, slots=True)
class Departure:
    """Announcement that a backend server is shutting down.

    Attributes
    ----------
    instance : str
        Id under which it reported.
    started_at : int or None
        Start of the run that ends, in ms since 1970; None if it isn't given.
    """

    instance: str
    started_at: int | None


@dataclass(frozen=True, slots=True)
class AgentEntry:
    """Store entry of an agent, by which balancers discover it.

    Attributes
    ----------
    endpoint : Endpoint
        UDP endpoint at which it receives frames.
    service : str
        Service of its backend server.
    zone : str
        Availability zone of the agent.
    """

    endpoint: Endpoint
    service: str
    zone: str


class Availability(Enum):
    """Whether an agent admits openings, and if not, why."""

    READY = 1
    UNREADY = 2
    """The backend server hasn't reported, has left or doesn't respond."""
    DRAINING = 3
    """The backend server accepts no new flows."""
    LEAVING = 4
    """The agent is stopping."""
    EVACUATED = 5
    """The agent's zone is evacuated."""


@dataclass(frozen=True, slots=True)
class AgentLoad:
    """Load and availability that an agent reports to balancers.

    Attributes
    ----------
    availability : Availability
        Whether the agent admits openings.
    slots : int
        Number of requests that the backend server processes concurrently.
    busy : int
        Number of requests in progress or expected, including those that wait for a
        slot.
    flows : int
        Number of flows that the agent tracks.
    utilization : float
        Recent share of busy slots, 0 to 1.
    service_us : int
        Mean service time of a request, in microseconds; 0 if not known yet.
    site_version : int
        Highest configuration version that the agent has received; 0 if none.
    run_age_ms : Millis or None
        Time since the backend server's start; None if it isn't known.
    """

    availability: Availability
    slots: int
    busy: int
    flows: int
    utilization: float
    service_us: int
    site_version: int
    run_age_ms: Millis | None = None
