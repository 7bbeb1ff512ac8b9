"""A service: what callers address and what backend servers run."""

from dataclasses import dataclass, field
from typing import NewType

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

ServiceId = NewType("ServiceId", int)
"""The number of a service, 1 to 65,535; it never changes and is never reused."""


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives of a service.

    Attributes
    ----------
    availability : float
        The share of flows that must not break, 0 to 1.
    latency_ms : Millis
        The time in which an opening must be answered.
    latency_share : float
        The share of openings that must meet `latency_ms`, 0 to 1.
    imbalance : float
        The highest allowed ratio of the busiest instance's work over capacity to
        the mean.
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
        The name that operators use.
    service_id : ServiceId
        The number that flow tags carry.
    address : Endpoint
        The entry address that callers send to.
    idempotent : bool
        Whether its requests may be run more than once.
    max_flows : int
        The most flows that one instance of it holds.
    idle_timeout_ms : Millis
        How long a flow may be silent before it is given up.
    probe_interval_ms : Millis
        How often a silent flow is probed by its caller's side.
    drain_limit_ms : Millis
        How long a leaving agent keeps its established flows.
    objectives : Objectives
        What the burn report holds it against.
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
