"""Settings of a process of the plain front end."""

from dataclasses import dataclass

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainSettings:
    """What both roles have.

    Attributes
    ----------
    name : str
        The name of the process in logs and in the store.
    zone : str
        Its availability zone.
    inner : Endpoint
        Where frames of the system's own processes come, over UDP.
    client_port : int
        The port at which clients take packets, at their own address.
    readiness : Endpoint
        Where readiness is asked for, over HTTP.
    metrics : Endpoint
        Where counters and histograms are served, over HTTP.
    store : Endpoint
        The platform's key-value service, over HTTP.
    grace_ms : Millis
        How long after SIGTERM the process may live.
    flow_limit_ms : Millis
        The age after which a flow may be forgotten.
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


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainBalancerSettings(PlainSettings):
    """Settings of a balancer.

    Attributes
    ----------
    entry : Endpoint
        Where clients' packets come, over UDP.
    """

    entry: Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainAgentSettings(PlainSettings):
    """Settings of an agent.

    Attributes
    ----------
    service : str
        The service of its backend server.
    backend : Endpoint
        Where the backend server takes packets.
    outbound : Endpoint
        Where the backend server hands its packets over, over UDP.
    reports : Endpoint
        Where the backend server reports, over HTTP.
    report_interval_ms : Millis
        Time between its reports.
    """

    service: str
    backend: Endpoint
    outbound: Endpoint
    reports: Endpoint
    report_interval_ms: Millis
