"""``papayagw config diff``: differences between configurations of a site."""

from collections.abc import Callable

import anyio

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.platform_access import read_site_in_force
from papayagw._internal.cli.site_files import read_site
from papayagw._internal.cli.values import FlagList, split_list
from papayagw._internal.core.site_comparison import compare_sites
from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.models.configuration import Site


class ConfigDiffCommand:
    """Compare a site's files with other files or the configuration in force."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return diff_config


def diff_config(
    base: str,
    overlay: str | None = None,
    platform: FlagList = (),
    against_base: str | None = None,
    against_overlay: str | None = None,
) -> int:
    """Print how a site's files differ from the configuration in force or other files.

    Exit codes: 0 no difference, 1 there are differences, 2 a file or the command
    line is invalid, 4 the platform doesn't respond or has no configuration.

    Parameters
    ----------
    base : str
        Base file of the site.
    overlay : str
        Overlay of the site.
    platform : list of str
        Compare with the configuration in force at these URLs of the platform, tried
        in turn.
    against_base : str
        Compare with this base file.
    against_overlay : str
        Overlay of `against_base`.
    """
    after = read_site(base, overlay)
    before = _read_before(
        after.name, split_list(platform), against_base, against_overlay
    )
    differences = compare_sites(before, after)
    for difference in differences:
        print(difference)
    return ExitCode.REFUSED if differences else ExitCode.OK


def _read_before(
    site: str, platform: tuple[str, ...], base: str | None, overlay: str | None
) -> Site:
    if bool(platform) == bool(base):
        raise SettingsError(
            "both or neither of --platform and --against-base given",
            step=Step.SETTINGS,
            remedy="give exactly one of --platform and --against-base",
        )
    if base:
        return read_site(base, overlay)
    return anyio.run(read_site_in_force, platform, site)


COMMAND = ConfigDiffCommand()
