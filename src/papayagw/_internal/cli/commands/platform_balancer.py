"""``papayagw platform balancer``: a balancer on the prepared platform."""

from collections.abc import Callable

from papayagw._internal.cli.base import ExitCode
from papayagw.platform.__main__ import run_balancer


class PlatformBalancerCommand:
    """Hand plain flows to the agents of the prepared platform."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return run


def run() -> int:
    """Hand packets of plain flows to the agents that own them.

    The settings file is named by the environment variable PAPAYAGW_NODE_FILE. The
    platform itself runs ``python -m papayagw.platform balancer``, which starts sooner.
    """
    run_balancer()
    return ExitCode.OK


COMMAND = PlatformBalancerCommand()
