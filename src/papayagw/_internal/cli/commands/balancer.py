"""``papayagw balancer``: the process that receives callers' packets."""

import random
from collections.abc import Callable
from pathlib import Path

from papayagw._internal.cli.loading import start_configuration_source, unwrap_settings
from papayagw._internal.cli.running import make_identity, run_observed
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.membership import BalancerMembership
from papayagw._internal.models.control import BalancerRecord
from papayagw._internal.models.status import Role
from papayagw._internal.net.balancer_account import BalancerAccount
from papayagw._internal.net.balancer_process import BalancerProcess
from papayagw._internal.net.clock import MonotonicClock, make_incarnation
from papayagw._internal.observe.logs import configure_logging
from papayagw._internal.settings.node import load_balancer


class BalancerCommand:
    """Forward callers' packets to the agents."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return run_balancer


def run_balancer(settings: str) -> int:
    """Forward each packet to the agent named by its connection id, or select one.

    A balancer keeps no flow state, so it can be stopped and started at any time.
    After SIGTERM it forwards packets for one more second and exits; a second
    SIGTERM exits at once.

    Parameters
    ----------
    settings : str
        Settings file of this process.
    """
    loaded = unwrap_settings(load_balancer(Path(settings)))
    node = loaded.node
    clock = MonotonicClock()
    log = configure_logging(node.name, clock, node.log_level)
    source, configuration = start_configuration_source(node, log)
    directory = AgentDirectory()
    membership = BalancerMembership(
        BalancerRecord(node.inner, make_incarnation(), node.zone),
        configuration.site.control_address,
        directory,
        random.Random(),
    )
    process = BalancerProcess(
        loaded, configuration, directory, membership, clock, source, log
    )
    identity = make_identity(node.name, Role.BALANCER, node.zone)
    account = BalancerAccount(
        identity, process, membership, lambda: process.configuration, clock
    )
    return run_observed(process, account, node, log)


COMMAND = BalancerCommand()
