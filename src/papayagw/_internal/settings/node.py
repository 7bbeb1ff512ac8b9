"""Settings files of balancers, agents and connect processes.

A connect process is run by ``papayagw connect`` and carries TCP connections of callers
as flows.
"""

from dataclasses import fields
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.settings import (
    AgentSettings,
    BalancerSettings,
    ConnectSettings,
    Listener,
    NodeSettings,
)
from papayagw._internal.settings.document import read_document
from papayagw._internal.settings.kinds import (
    MILLIS,
    Boolean,
    Choice,
    Integer,
    IpAddress,
    Kind,
    Name,
    ReadableFile,
    SocketAddress,
    Url,
)
from papayagw._internal.settings.location import Location
from papayagw._internal.settings.pem_files import (
    CertificateFile,
    PrivateKeyFile,
    is_pair,
)
from papayagw._internal.settings.problem import Problems
from papayagw._internal.settings.site import FLEET_KEY
from papayagw._internal.settings.structure import ListOf, ObjectOf, make_keys

LOG_LEVELS = ("debug", "info", "warning", "error")
_MAX_STOP_LIMIT_MS = 86_400_000

_PROCESS_KINDS: dict[str, Kind] = {
    "admin": SocketAddress(),
    "statsd": SocketAddress(),
    "log_level": Choice(LOG_LEVELS),
    "stop_limit_ms": Integer(0, _MAX_STOP_LIMIT_MS, MILLIS),
}
_NODE_KINDS: dict[str, Kind] = {
    "name": Name(),
    "zone": Name(),
    "inner": SocketAddress(),
    "site": Name(),
    "platform": ListOf(Url()),
    "base": ReadableFile(),
    "overlay": ReadableFile(),
    "peers": ListOf(SocketAddress()),
    "keys": ListOf(FLEET_KEY),
}
_NODE_ATTRIBUTES = {attribute.name for attribute in fields(NodeSettings)}


def _extract_node(values: dict[str, Any], location: Location) -> dict[str, Any]:
    """Return `values` with the settings shared by all nodes combined into `node`."""
    role_values = {
        name: value for name, value in values.items() if name not in _NODE_ATTRIBUTES
    }
    node_values = {
        name: value for name, value in values.items() if name in _NODE_ATTRIBUTES
    }
    node = NodeSettings(**node_values)
    _check_configuration_source(node, location)
    _check_endpoints_differ(location, inner=node.inner, admin=node.admin)
    return {"node": node, **role_values}


def _build_balancer(values: dict[str, Any], location: Location) -> BalancerSettings:
    return BalancerSettings(**_extract_node(values, location))


def _build_agent(values: dict[str, Any], location: Location) -> AgentSettings:
    settings = AgentSettings(**_extract_node(values, location))
    node = settings.node
    _check_endpoints_differ(location, inner=node.inner, backend=settings.backend)
    _check_endpoints_differ(location, admin=node.admin, backend=settings.backend)
    if not is_pair(settings.certificate, settings.private_key):
        location.child("private_key").report(
            "the key of another certificate", f"the key of {settings.certificate}"
        )
    return settings


def _build_listener(values: dict[str, Any], _location: Location) -> Listener:
    return Listener(**values)


def _build_connect(values: dict[str, Any], location: Location) -> ConnectSettings:
    settings = ConnectSettings(**values)
    owners: dict[Endpoint, int] = {}
    for index, listener in enumerate(settings.listeners):
        owner = owners.setdefault(listener.listen, index)
        if owner != index:
            location.child("listeners").child(index).child("listen").report(
                f"{listener.listen}, which listeners.{owner} already has",
                "a different address",
            )
    return settings


def _check_configuration_source(node: NodeSettings, location: Location) -> None:
    """Report missing or conflicting platform, site, keys, base and overlay."""
    if bool(node.platform) == (node.base is not None):
        location.child("platform").report(
            "platform and base" if node.platform else "neither platform nor base",
            "exactly one of them",
            "give the platform's URLs, or a base file for trials without a platform",
        )
    if node.platform and node.site is None:
        location.child("site").report("nothing", "the name of the site", "add it")
    if node.peers and not node.keys:
        location.child("keys").report(
            "nothing", "the keys shared with peers", "add them"
        )
    if node.overlay is not None and node.base is None:
        location.child("overlay").report(
            "overlay without base", "base and overlay together"
        )


def _check_endpoints_differ(location: Location, **endpoints: Endpoint | None) -> None:
    (first, endpoint), (second, other) = endpoints.items()
    if endpoint is not None and endpoint == other:
        location.child(second).report(
            f"{other}, which is also the address of {first}", "a different address"
        )


LISTENER_KEYS = make_keys(
    Listener,
    {
        "service": Name(),
        "listen": SocketAddress(),
        "entry": SocketAddress(),
        "idempotent": Boolean(),
        "probe_interval_ms": Integer(100, 60_000, MILLIS),
        "idle_timeout_ms": Integer(1_000, 86_400_000, MILLIS),
    },
)
NODE_KEYS = make_keys(NodeSettings, {**_NODE_KINDS, **_PROCESS_KINDS})
BALANCER_KEYS = make_keys(BalancerSettings, {"bind_ip": IpAddress()})
AGENT_KEYS = make_keys(
    AgentSettings,
    {
        "service": Name(),
        "backend": SocketAddress(),
        "certificate": CertificateFile(),
        "private_key": PrivateKeyFile(),
    },
)
CONNECT_KEYS = make_keys(
    ConnectSettings,
    {
        "listeners": ListOf(ObjectOf(LISTENER_KEYS, _build_listener)),
        "authority": CertificateFile(),
        **_PROCESS_KINDS,
    },
)


def load_balancer(path: Path) -> Result[BalancerSettings, Problems]:
    """Return the settings of a balancer, or every problem in its file."""
    return _load(path, ObjectOf(NODE_KEYS + BALANCER_KEYS, _build_balancer))


def load_agent(path: Path) -> Result[AgentSettings, Problems]:
    """Return the settings of an agent, or every problem in its file."""
    return _load(path, ObjectOf(NODE_KEYS + AGENT_KEYS, _build_agent))


def load_connect(path: Path) -> Result[ConnectSettings, Problems]:
    """Return the settings of ``papayagw connect``, or every problem in its file."""
    return _load(path, ObjectOf(CONNECT_KEYS, _build_connect))


def _load(path: Path, kind: ObjectOf) -> Result[Any, Problems]:
    document = read_document(path)
    if not isinstance(document, Success):
        return document
    location = Location(lambda _: path)
    settings = kind.read(document.unwrap(), location)
    if settings is None or location.problems:
        return Failure(location.problems)
    return Success(settings)
