"""Services, which callers address and backend servers provide."""

from dataclasses import dataclass, field
from typing import NewType

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

ServiceId = NewType("ServiceId", int)
"""The id of a service, 1 to 65,535; it never changes and is never reused."""


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives of a service.

    Attributes
    ----------
    availability : float
        The share of flows that must not be cut, 0 to 1; see `FlowCounts.cut`.
    latency_ms : Millis
        The time in ms within which an opening must be answered.
    latency_share : float
        The share of openings that must be answered within `latency_ms`, 0 to 1.
    imbalance : float
        The highest allowed ratio of the busiest instance's load (work divided by
        capacity) to the mean load.
    """

    availability: float = 0.999
    latency_ms: Millis = Millis(250)
    latency_share: float = 0.99
    imbalance: float = 1.15


@dataclass(frozen=True, slots=True)
class Service:
    """One service of a site.

    Attributes
    ----------
    name : str
        The name of the service in settings, logs and reports.
    service_id : ServiceId
        The id that flow tags carry.
    address : Endpoint
        The entry address to which callers send packets.
    idempotent : bool
        Whether requests may be executed more than once.
    max_flows : int
        The maximum number of open flows per instance.
    idle_timeout_ms : Millis
        The time in ms without packets after which a flow is closed.
    probe_interval_ms : Millis
        The interval in ms at which the caller's side probes a flow without packets.
    drain_limit_ms : Millis
        The longest time in ms that a draining agent keeps its established flows.
    objectives : Objectives
        The objectives that the burn report checks.
    """

    name: str
    service_id: ServiceId
    address: Endpoint
    idempotent: bool = False
    max_flows: int = 2000
    idle_timeout_ms: Millis = Millis(60_000)
    probe_interval_ms: Millis = Millis(1_000)
    drain_limit_ms: Millis = Millis(600_000)
    objectives: Objectives = field(default_factory=Objectives)
