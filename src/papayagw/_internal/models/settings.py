"""Settings of a single process.

Files are given as absolute paths in plain strings: the models do no input or output,
so they hold no `Path` objects.
"""

from dataclasses import dataclass

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.models.endpoint import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Settings that all processes share.

    Attributes
    ----------
    admin : Endpoint or None
        The endpoint of the HTTP status server; None disables it.
    statsd : Endpoint or None
        The StatsD endpoint that receives metrics; None disables them.
    log_level : str
        The lowest log level that is written.
    stop_limit_ms : Millis
        The longest time in ms that a graceful stop may take; flows that are still
        open after it are cut.
    """

    admin: Endpoint | None = None
    statsd: Endpoint | None = None
    log_level: str = "info"
    stop_limit_ms: Millis = Millis(30_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings(ProcessSettings):
    """Settings that balancers and agents share.

    Attributes
    ----------
    name : str
        The name of the process in logs, metrics and status.
    zone : str
        The availability zone of the process.
    inner : Endpoint
        The endpoint that receives envelopes and control frames of other papayagw
        processes over UDP and serves the configuration to peers over TCP.
    site : str or None
        The name of the site whose configuration is read from the platform.
    platform : tuple of str
        Base URLs of the platform's service, tried in order. Empty if `base` is set.
    base : str or None
        The path of a base file to use instead of the platform.
    overlay : str or None
        The path of the overlay that is merged into `base`.
    peers : tuple of Endpoint
        Inner endpoints of balancers and agents that are queried for the
        configuration at startup, in addition to the platform.
    keys : tuple of FleetKey
        The keys that encrypt queries to `peers` until a configuration is loaded.
    """

    name: str
    zone: str
    inner: Endpoint
    site: str | None = None
    platform: tuple[str, ...] = ()
    base: str | None = None
    overlay: str | None = None
    peers: tuple[Endpoint, ...] = ()
    keys: tuple[FleetKey, ...] = ()


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of a balancer.

    Attributes
    ----------
    node : NodeSettings
        The settings shared with agents.
    bind_ip : str or None
        The IP address on which the ports of all services are bound; None binds each
        service to its own address.
    """

    node: NodeSettings
    bind_ip: str | None = None


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes
    ----------
    node : NodeSettings
        The settings shared with balancers.
    service : str
        The name of the service that the backend server runs.
    backend : Endpoint
        The TCP endpoint of the backend server.
    certificate : str
        The path of the certificate that the agent presents to callers.
    private_key : str
        The path of the private key of `certificate`.
    """

    node: NodeSettings
    service: str
    backend: Endpoint
    certificate: str
    private_key: str


@dataclass(frozen=True, slots=True)
class Listener:
    """A service that a caller's machine offers to its local TCP clients.

    Attributes
    ----------
    service : str
        The name of the service, which the agent's certificate must contain.
    listen : Endpoint
        The endpoint to which TCP clients connect.
    entry : Endpoint
        The entry address of the service.
    idempotent : bool
        Whether requests may be executed more than once, so that a flow that broke
        before its answer may be opened again.
    probe_interval_ms : Millis
        The time in ms without packets after which the agent of a flow is probed.
    idle_timeout_ms : Millis
        The time in ms without packets after which a flow is closed.
    """

    service: str
    listen: Endpoint
    entry: Endpoint
    idempotent: bool = False
    probe_interval_ms: Millis = Millis(1_000)
    idle_timeout_ms: Millis = Millis(60_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectSettings(ProcessSettings):
    """Settings of a caller's machine, which uses neither the platform nor fleet keys.

    Attributes
    ----------
    listeners : tuple of Listener
        The services offered to local clients.
    authority : str
        The path of the CA certificate that verifies agents' certificates.
    """

    listeners: tuple[Listener, ...]
    authority: str
