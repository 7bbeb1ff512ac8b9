"""``papayagw agent``: the process in front of each backend server."""

import random
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from papayagw._internal.cli.loading import start_configuration_source, unwrap_settings
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
    """Accept flows and forward them to a backend server."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return run_agent


def run_agent(settings: str) -> int:
    """Accept flows, forward them to the backend server and announce the agent.

    SIGTERM drains the agent: it accepts no new flows, and open flows may continue
    for the service's drain_limit_ms or for stop_limit_ms, whichever is longer. A
    second SIGTERM stops at once; callers of open flows are notified that the
    outcome is unknown.

    Parameters
    ----------
    settings : str
        Settings file of this process.
    """
    loaded = unwrap_settings(load_agent(Path(settings)))
    clock = MonotonicClock()
    log = configure_logging(loaded.node.name, clock, loaded.node.log_level)
    source, configuration = start_configuration_source(loaded.node, log)
    process = _make_process(loaded, configuration, source, clock, log)
    identity = make_identity(loaded.node.name, Role.AGENT, loaded.node.zone)
    account = AgentAccount(
        identity, loaded, process, lambda: process.configuration, clock
    )
    # The drain limit of a service may exceed the stop limit of the process.
    drain_limit = _find_service(loaded, configuration).drain_limit_ms
    stop_limit = max(loaded.node.stop_limit_ms, drain_limit)
    node = replace(loaded.node, stop_limit_ms=stop_limit)
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
        names = ", ".join(service.name for service in configuration.site.services)
        raise SettingsError(
            f"service: found {settings.service!r}, expected one of {names}",
            step=Step.SETTINGS,
            peer=settings.node.name,
            remedy="set service to one of the configured services in the settings file",
        )
    return service


COMMAND = AgentCommand()
