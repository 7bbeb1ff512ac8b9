"""``papayagw config check``: validate the files of a site."""

from collections.abc import Callable

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.site_files import read_site


class ConfigCheckCommand:
    """Validate a base file and an overlay."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return check_config


def check_config(base: str, overlay: str | None = None) -> int:
    """Validate a base file and an overlay, and print every problem.

    Exit codes: 0 the files are valid and can be submitted, 2 they are invalid.

    Parameters
    ----------
    base : str
        Base file of the site.
    overlay : str
        Overlay of the site.
    """
    site = read_site(base, overlay)
    names = ", ".join(service.name for service in site.services)
    print(f"{site.name}: no problems; services {names}")
    return ExitCode.OK


COMMAND = ConfigCheckCommand()
