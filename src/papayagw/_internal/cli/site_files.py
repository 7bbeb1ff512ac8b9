"""Loading of a site's files by commands."""

from pathlib import Path

from papayagw._internal.cli.loading import unwrap_settings
from papayagw._internal.models.configuration import Site
from papayagw._internal.settings.site import load_site


def read_site(base: str, overlay: str | None) -> Site:
    """Return the site described by a base file and an optional overlay.

    Raises
    ------
    SettingsError
        If the files are invalid; it lists every problem.
    """
    return unwrap_settings(load_site(Path(base), Path(overlay) if overlay else None))
