"""Running of daemons by their commands."""

import anyio

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.exceptions import BindError
from papayagw._internal.models.settings import ProcessSettings
from papayagw._internal.models.status import Role
from papayagw._internal.net.account import Account, NodeIdentity
from papayagw._internal.net.clock import MonotonicClock, make_incarnation
from papayagw._internal.net.daemon import Daemon, run_daemon
from papayagw._internal.net.observed import ObservedDaemon
from papayagw._internal.observe.logs import Log


def make_identity(name: str, role: Role, zone: str) -> NodeIdentity:
    """Return the identity, with a new incarnation, of a node that starts now."""
    started_at = MonotonicClock().now()
    return NodeIdentity(name, role, zone, make_incarnation(), started_at)


def run_observed(
    daemon: Daemon, account: Account, settings: ProcessSettings, log: Log
) -> int:
    """Run a daemon with logs, metrics and status, and return its exit code."""
    name = account.identity.name
    observed = ObservedDaemon(daemon, account, settings, log)
    try:
        anyio.run(run_daemon, observed, name, settings.stop_limit_ms)
    except BindError as error:
        log.failure(error)
        return ExitCode.FAILED
    return ExitCode.OK
