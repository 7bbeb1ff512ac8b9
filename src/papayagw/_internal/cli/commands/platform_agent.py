"""``papayagw platform agent``: an agent on the prepared platform."""

from collections.abc import Callable

from papayagw._internal.cli.base import ExitCode
from papayagw.platform.__main__ import run_agent


class PlatformAgentCommand:
    """Own the plain flows of a backend server on the prepared platform."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return run


def run() -> int:
    """Own the flows of the backend server on this machine.

    The settings file is named by the environment variable PAPAYAGW_NODE_FILE. The
    platform itself runs ``python -m papayagw.platform agent``, which starts sooner.
    """
    run_agent()
    return ExitCode.OK


COMMAND = PlatformAgentCommand()
