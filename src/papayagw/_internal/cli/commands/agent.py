"""``papayagw agent``: the process beside each backend server."""

import random
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from papayagw._internal.cli.loading import start_source, unwrap
from papayagw._internal.cli.running import make_identity, run_observed
from papayagw._internal.core.admission import make_adaptive_admission
from papayagw._internal.core.agent import AgentCore
from papayagw._internal.core.announcer import AgentAnnouncer
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.models.admission import AdmissionPolicy
from papayagw._internal.models.agent import AgentRecord
from papayagw._internal.models.clock import Clock
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.flow import FlowRoute
from papayagw._internal.models.service import Service
from papayagw._internal.models.settings import AgentSettings
from papayagw._internal.models.status import Role
from papayagw._internal.net.agent_account import AgentAccount
from papayagw._internal.net.agent_process import AgentProcess
from papayagw._internal.net.clock import MonotonicClock, make_incarnation
from papayagw._internal.net.configuration import ConfigurationSource
from papayagw._internal.observe.logs import Log, configure_logging
from papayagw._internal.settings.node import load_agent


class AgentCommand:
    """Own the flows of a backend server."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return run_agent


def run_agent(settings: str) -> int:
    """Accept flows, carry them to the backend server and announce it.

    SIGTERM drains: no new flow is taken, those that are open go on up to the
    service's drain_limit_ms, or stop_limit_ms where that is longer. A second
    SIGTERM stops at once, and the callers of open flows are told that their
    outcome is unknown.

    Parameters
    ----------
    settings : str
        The settings file of this process.
    """
    read = unwrap(load_agent(Path(settings)))
    clock = MonotonicClock()
    log = configure_logging(read.node.name, clock, read.node.log_level)
    source, configuration = start_source(read.node, log)
    process = _make_process(read, configuration, source, clock, log)
    identity = make_identity(read.node.name, Role.AGENT, read.node.zone)
    account = AgentAccount(
        identity, read, process, lambda: process.configuration, clock
    )
    # A process with long flows may stay longer than others.
    drain_limit = _find_service(read, configuration).drain_limit_ms
    stop_limit = max(read.node.stop_limit_ms, drain_limit)
    node = replace(read.node, stop_limit_ms=stop_limit)
    return run_observed(process, account, node, log)


def _make_process(
    settings: AgentSettings,
    configuration: Configuration,
    source: ConfigurationSource,
    clock: Clock,
    log: Log,
) -> AgentProcess:
    service = _find_service(settings, configuration)
    inner = settings.node.inner
    incarnation = make_incarnation()
    siblings = AgentDirectory()
    route = FlowRoute.of(service.service_id, inner, incarnation)
    core = AgentCore(route, siblings, RendezvousChooser(), service.max_flows)
    own = AgentRecord(inner, incarnation, 1, service.service_id, settings.node.zone)
    announcer = AgentAnnouncer(
        own, configuration.site.control_address, siblings, random.Random()
    )
    admission = make_adaptive_admission(AdmissionPolicy(max_flows=service.max_flows))
    return AgentProcess(
        settings, configuration, core, admission, announcer, clock, source, log
    )


def _find_service(settings: AgentSettings, configuration: Configuration) -> Service:
    service = configuration.site.find_service(settings.service)
    if service is None:
        names = ", ".join(one.name for one in configuration.site.services)
        raise SettingsError(
            f"service: found {settings.service!r}, expected one of {names}",
            step=Step.SETTINGS,
            peer=settings.node.name,
            remedy="name a service of the configuration in the settings file",
        )
    return service


COMMAND = AgentCommand()
