"""Run a role on the prepared platform: ``python -m papayagw.platform ROLE``."""

import signal
import sys
from collections.abc import Sequence

EXIT_USAGE = 2
"""Exit code for an invalid command line."""

EXIT_FAILED = 4
"""Exit code if the role can't run, as with invalid settings or an address in use."""


def run_balancer() -> None:
    """Load the settings and run a balancer until it is stopped by a signal."""
    from papayagw._internal.net.plain.balancer_process import PlainBalancerProcess
    from papayagw.platform.adapter import PreparedPlatform
    from papayagw.platform.settings import find_settings_file, load_balancer_settings

    path = find_settings_file()
    settings = load_balancer_settings(path)
    PlainBalancerProcess(
        settings, PreparedPlatform(), lambda: load_balancer_settings(path)
    ).run()


def run_agent() -> None:
    """Load the settings and run an agent until it is stopped by a signal."""
    from papayagw._internal.net.plain.agent_process import PlainAgentProcess
    from papayagw.platform.adapter import PreparedPlatform
    from papayagw.platform.settings import find_settings_file, load_agent_settings

    path = find_settings_file()
    settings = load_agent_settings(path)
    PlainAgentProcess(
        settings, PreparedPlatform(), lambda: load_agent_settings(path)
    ).run()


ROLES = {"balancer": run_balancer, "agent": run_agent}
"""Function that runs each role, by its name on the command line."""


def main(arguments: Sequence[str]) -> int:
    """Run the role given on the command line and return the exit code."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        print(f"usage: python -m papayagw.platform {'|'.join(ROLES)}", file=sys.stderr)
        return EXIT_USAGE
    # Without a handler, SIGHUP would end the process. The role installs its handler
    # only after it has read the settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from papayagw._internal.exceptions import PapayagwError

    try:
        ROLES[arguments[0]]()
    except PapayagwError as error:
        print(f"papayagw: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
