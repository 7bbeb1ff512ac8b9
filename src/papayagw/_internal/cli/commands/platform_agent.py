"""``papayagw platform agent``: an agent on the prepared platform."""

from collections.abc import Callable

from papayagw._internal.cli.base import ExitCode
from papayagw.platform.__main__ import run_agent


class PlatformAgentCommand:
    """Forward plain flows to a backend server on the prepared platform."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return run


def run() -> int:
    """Accept plain flows and forward them to the backend server on this machine.

    The environment variable PAPAYAGW_NODE_FILE contains the path of the settings
    file. The platform itself runs ``python -m papayagw.platform agent``, which
    starts faster.
    """
    run_agent()
    return ExitCode.OK


COMMAND = PlatformAgentCommand()
