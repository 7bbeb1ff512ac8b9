"""Reading of a site's files for the commands."""

from pathlib import Path

from papayagw._internal.models.configuration import Site
from papayagw._internal.settings.problem import make_error
from papayagw._internal.settings.site import load_site


def read_site(base: str, overlay: str | None) -> Site:
    """Return the site that a base file and an overlay describe.

    Raises
    ------
    SettingsError
        If there is any problem; it names every one.
    """
    loaded = load_site(Path(base), Path(overlay) if overlay else None)
    problems = loaded.swap().value_or(())
    if problems:
        raise make_error(problems)
    return loaded.unwrap()
