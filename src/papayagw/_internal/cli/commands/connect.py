"""``papayagw connect``: carry a caller's TCP connections as flows."""

from collections.abc import Callable
from pathlib import Path

from papayagw._internal.cli.loading import unwrap_settings
from papayagw._internal.cli.running import make_identity, run_observed
from papayagw._internal.models.status import Role
from papayagw._internal.net.clock import MonotonicClock
from papayagw._internal.net.connect_account import ConnectAccount
from papayagw._internal.net.connect_process import ConnectProcess
from papayagw._internal.observe.logs import configure_logging
from papayagw._internal.settings.node import load_connect


class ConnectCommand:
    """Forward TCP connections as flows."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return run_connect


def run_connect(settings: str) -> int:
    """Listen on TCP and forward each connection to its service as one flow.

    After SIGTERM, accept no new connections and wait for open ones to end, up to
    the setting stop_limit_ms; a second SIGTERM stops at once.

    Parameters
    ----------
    settings : str
        Settings file of this process.
    """
    loaded = unwrap_settings(load_connect(Path(settings)))
    clock = MonotonicClock()
    name = f"connect-{loaded.admin or loaded.listeners[0].listen}"
    log = configure_logging(name, clock, loaded.log_level)
    process = ConnectProcess(loaded, clock, log)
    identity = make_identity(name, Role.CONNECT, zone="")
    account = ConnectAccount(identity, loaded, process, clock)
    return run_observed(process, account, loaded, log)


COMMAND = ConnectCommand()
