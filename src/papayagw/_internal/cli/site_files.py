"""Reading of a site's files for the commands."""

from pathlib import Path

from papayagw._internal.cli.loading import unwrap_settings
from papayagw._internal.models.configuration import Site
from papayagw._internal.settings.site import load_site


def read_site(base: str, overlay: str | None) -> Site:
    """Return the site that a base file and an overlay describe.

    Raises
    ------
    SettingsError
        If there is any problem; it names every one.
    """
    return unwrap_settings(load_site(Path(base), Path(overlay) if overlay else None))
