"""Write settings folders for benchmarks, and read those of any fleet.

A folder holds one settings file for each process: ``balancer-*.jsonc``,
``agent-*.jsonc`` and ``connect.jsonc``, with the base file and the overlay that
they name. The folders under examples/ have the same form.
"""

import json
from dataclasses import dataclass
from pathlib import Path

from papayagw._internal.models.configuration import Site
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.settings import (
    AgentSettings,
    BalancerSettings,
    ConnectSettings,
)
from papayagw._internal.settings.development_keys import make_development_keys
from papayagw._internal.settings.node import load_agent, load_balancer, load_connect
from papayagw._internal.settings.site import load_site

BASE = "base.jsonc"
OVERLAY = "site.jsonc"
SITE = "bench"
KEYS = "keys"
ENTRY_PORT = 4401
CONNECT_PORT = 4501
CONTROL_PORT = 4400
SUFFIX = ".jsonc"


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """One service of a planned fleet and the number of its backend servers.

    Attributes
    ----------
    name : str
        The service name: order, drawings, ledger or intake.
    count : int
        Number of backend servers, each with its own agent.
    """

    name: str
    count: int


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size and addresses of a fleet on this machine.

    Attributes
    ----------
    services : tuple of ServicePlan
        The services.
    balancers : int
        Number of balancers.
    block : int
        Second octet of all loopback addresses, which keeps fleets apart.
    has_platform : bool
        Whether the nodes get their configuration from the platform's stand-in
        instead of the files.
    """

    services: tuple[ServicePlan, ...]
    balancers: int = 3
    block: int = 40
    has_platform: bool = False

    @property
    def configuration_source(self) -> dict[str, object]:
        """The part of a node's settings that selects its configuration source."""
        if not self.has_platform:
            return {"base": BASE, "overlay": OVERLAY}
        return {"site": SITE, "platform": [f"http://127.{self.block}.5.1:2379"]}


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The parsed settings of a folder.

    Attributes
    ----------
    site : Site
        The site as defined by the base file and its overlay.
    platform : str or None
        The URL of the platform's stand-in.
    balancers, agents : dict
        The settings of each balancer and agent, by file name without suffix.
    connect : ConnectSettings
        The settings of ``papayagw connect`` on the caller's machine.
    """

    site: Site
    platform: str | None
    balancers: dict[str, BalancerSettings]
    agents: dict[str, AgentSettings]
    connect: ConnectSettings

    @property
    def routes(self) -> list[str]:
        """The routes of the fabric, as arguments of its command."""
        balancers = self.balancers.values()
        inner = ",".join(str(balancer.node.inner) for balancer in balancers)
        routes = [f"{self.site.control_address}={inner}"]
        for service in self.site.services:
            entry = service.address
            targets = ",".join(
                f"{balancer.bind_ip}:{entry.port}" for balancer in balancers
            )
            routes.append(f"{entry}={targets}")
        return routes

    @property
    def targets(self) -> dict[str, Endpoint]:
        """The TCP endpoint at which clients connect to each service."""
        return {
            listener.service: listener.listen for listener in self.connect.listeners
        }

    @property
    def backends(self) -> dict[str, Endpoint]:
        """The endpoints of the backend servers, by name."""
        return {
            name.removeprefix("agent-"): agent.backend
            for name, agent in self.agents.items()
        }


def read_folder(folder: Path) -> FleetSettings:
    """Read and parse the settings files of a folder."""
    balancers = _read_all(folder, "balancer-*", load_balancer)
    first = next(iter(balancers.values())).node
    overlay = Path(first.overlay) if first.overlay else folder / OVERLAY
    return FleetSettings(
        site=load_site(Path(first.base or folder / BASE), overlay).unwrap(),
        platform=next(iter(first.platform), None),
        balancers=balancers,
        agents=_read_all(folder, "agent-*", load_agent),
        connect=load_connect(folder / f"connect{SUFFIX}").unwrap(),
    )


def _read_all(folder, pattern, load):
    files = sorted(folder.glob(pattern + SUFFIX))
    return {file.name.removesuffix(SUFFIX): load(file).unwrap() for file in files}


def write_folder(plan: FleetPlan, folder: Path) -> None:
    """Write the settings files and development keys of a fleet."""
    make_development_keys(
        folder / KEYS, tuple(service.name for service in plan.services)
    )
    services = {
        service.name: {"id": number} for number, service in enumerate(plan.services, 1)
    }
    _write(folder, BASE, {"zones": ["a", "b", "c", "d"], "services": services})
    _write(folder, OVERLAY, _make_overlay(plan))
    for number in range(1, plan.balancers + 1):
        _write(folder, f"balancer-{number}{SUFFIX}", make_balancer(plan, number))
    number = 0
    for service in plan.services:
        for index in range(1, service.count + 1):
            number += 1
            name = f"{service.name}-{index}"
            settings = _make_agent(plan, service.name, name, number)
            _write(folder, f"agent-{name}{SUFFIX}", settings)
    _write(folder, f"connect{SUFFIX}", _make_connect(plan))


def _write(folder: Path, name: str, content: object) -> None:
    (folder / name).write_text(json.dumps(content, indent=2), encoding="utf-8")


def _make_overlay(plan: FleetPlan) -> dict:
    return {
        "name": SITE,
        "control_address": f"127.{plan.block}.1.100:{CONTROL_PORT}",
        "keys": [{"id": 1, "file": f"{KEYS}/fleet.key"}],
        "services": {
            service.name: {"address": _make_service_address(plan, index)}
            for index, service in enumerate(plan.services, 1)
        },
    }


def _make_service_address(plan: FleetPlan, index: int) -> str:
    return f"127.{plan.block}.1.{index}:{ENTRY_PORT + index - 1}"


def make_balancer(plan: FleetPlan, number: int) -> dict:
    """Return the settings of one balancer."""
    ip = f"127.{plan.block}.0.{10 + number}"
    return {
        "name": f"balancer-{number}",
        "zone": "abcd"[number % 4],
        "inner": f"{ip}:4300",
        "admin": f"{ip}:4390",
        "bind_ip": ip,
        **plan.configuration_source,
    }


def _make_agent(plan: FleetPlan, service: str, name: str, number: int) -> dict:
    ip = f"127.{plan.block}.2.{number}"
    return {
        "name": f"agent-{name}",
        "zone": "abcd"[number % 4],
        "service": service,
        "inner": f"{ip}:4310",
        "admin": f"{ip}:4390",
        "backend": f"127.{plan.block}.3.{number}:4320",
        "certificate": f"{KEYS}/cert.pem",
        "private_key": f"{KEYS}/key.pem",
        **plan.configuration_source,
    }


def _make_connect(plan: FleetPlan) -> dict:
    ip = f"127.{plan.block}.4.1"
    listeners = [
        {
            "service": service.name,
            "listen": f"{ip}:{CONNECT_PORT + index - 1}",
            "entry": _make_service_address(plan, index),
        }
        for index, service in enumerate(plan.services, 1)
    ]
    authority = f"{KEYS}/ca.pem"
    return {"listeners": listeners, "authority": authority, "admin": f"{ip}:4390"}
