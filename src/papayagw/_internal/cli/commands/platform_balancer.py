"""``papayagw platform balancer``: a balancer on the prepared platform."""

from collections.abc import Callable

from papayagw._internal.cli.base import ExitCode
from papayagw.platform.__main__ import run_balancer


class PlatformBalancerCommand:
    """Forward plain flows to the agents of the prepared platform."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return run


def run() -> int:
    """Forward packets of plain flows to the agents that own them.

    The environment variable PAPAYAGW_NODE_FILE contains the path of the settings
    file. The platform itself runs ``python -m papayagw.platform balancer``,
    which starts faster.
    """
    run_balancer()
    return ExitCode.OK


COMMAND = PlatformBalancerCommand()
