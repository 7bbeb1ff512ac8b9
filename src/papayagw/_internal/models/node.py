"""A process's own settings.

Files are named by their absolute paths as plain strings: the models do no input or
output, so they hold no path objects.
"""

from dataclasses import dataclass

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.models.endpoint import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """What every process has.

    Attributes
    ----------
    admin : Endpoint or None
        Where the process serves its status, over HTTP; None serves none.
    statsd : Endpoint or None
        Where its metrics go; None sends none.
    log_level : str
        The lowest level that is logged.
    stop_limit_ms : Millis
        How long a graceful stop may take before the rest is cut.
    """

    admin: Endpoint | None = None
    statsd: Endpoint | None = None
    log_level: str = "info"
    stop_limit_ms: Millis = Millis(30_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings(ProcessSettings):
    """What a balancer and an agent have in common.

    Attributes
    ----------
    name : str
        The name of the process in logs, metrics and status.
    zone : str
        Its availability zone.
    inner : Endpoint
        Where envelopes and control frames of the system's own processes come, over
        UDP, and where peers fetch the configuration, over TCP.
    site : str or None
        The name of the site whose configuration the platform holds.
    platform : tuple of str
        Base URLs of the platform's service, tried in turn. Empty when `base` is
        given.
    base : str or None
        A base file to use in place of the platform.
    overlay : str or None
        The overlay to `base`.
    peers : tuple of Endpoint
        Inner endpoints of balancers and agents that are asked for the configuration
        at the start, besides the platform.
    keys : tuple of FleetKey
        The keys that seal what is asked of `peers` before a configuration is held.
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
    """The settings of a balancer.

    Attributes
    ----------
    node : NodeSettings
        What it has in common with an agent.
    bind_ip : str or None
        The IP number on which the services' ports are bound; None binds each
        service's own address.
    """

    node: NodeSettings
    bind_ip: str | None = None


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """The settings of an agent.

    Attributes
    ----------
    node : NodeSettings
        What it has in common with a balancer.
    service : str
        The name of the service that its backend server runs.
    backend : Endpoint
        The backend server, over TCP.
    certificate : str
        The file of the certificate that it shows to callers.
    private_key : str
        The file of the key of `certificate`.
    """

    node: NodeSettings
    service: str
    backend: Endpoint
    certificate: str
    private_key: str


@dataclass(frozen=True, slots=True)
class Listener:
    """One service as a caller's machine offers it to its TCP clients.

    Attributes
    ----------
    service : str
        The name of the service, which the agent's certificate must carry.
    listen : Endpoint
        Where TCP clients connect.
    entry : Endpoint
        The entry address of the service.
    idempotent : bool
        Whether the service's requests may be run more than once, so that a flow
        that broke before its answer may be opened again.
    probe_interval_ms : Millis
        How long a flow may be silent before its agent is probed.
    idle_timeout_ms : Millis
        How long a flow may be silent before it is given up.
    """

    service: str
    listen: Endpoint
    entry: Endpoint
    idempotent: bool = False
    probe_interval_ms: Millis = Millis(1_000)
    idle_timeout_ms: Millis = Millis(60_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectSettings(ProcessSettings):
    """The settings of a caller's machine, which has no platform and no fleet keys.

    Attributes
    ----------
    listeners : tuple of Listener
        The services that it offers.
    authority : str
        The file of the certificate that agents' certificates are checked against.
    """

    listeners: tuple[Listener, ...]
    authority: str
