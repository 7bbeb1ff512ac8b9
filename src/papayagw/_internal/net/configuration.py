"""Where a node gets its configuration from."""

from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import anyio
from returns.result import Failure

from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.settings.problem import make_error
from papayagw._internal.settings.site import load_site

OnChange = Callable[[Configuration], None]
"""Takes a configuration that is in force from now on."""

IsRelay = Callable[[], bool]
"""Returns whether this node watches the platform's service now."""

FILE_VERSION = 0
"""The version of a configuration that was never submitted."""


class ConfigurationSource(Protocol):
    """A source of configurations, each of a higher version than the one before."""

    async def start(self) -> Configuration:
        """Return the first configuration, however long it takes."""

    async def run(self, on_change: OnChange, is_relay: IsRelay) -> None:
        """Call `on_change` with each later one, until cancelled.

        Parameters
        ----------
        on_change : callable
            Takes each configuration from the moment that it is in force.
        is_relay : callable
            Returns whether this node watches the platform's service now.
        """

    def on_advertised_version(self, version: int, peer: Endpoint) -> None:
        """Take in that `peer` has `version` in force, as its messages say."""

    async def close(self) -> None:
        """Close the connections."""


class FileConfigurationSource:
    """A base file with an overlay, read once, in place of the platform.

    Parameters
    ----------
    base : Path
        The base file.
    overlay : Path or None
        The overlay of the site.
    """

    def __init__(self, base: Path, overlay: Path | None = None):
        self._base = base
        self._overlay = overlay

    async def start(self) -> Configuration:
        """Return the configuration of the files.

        Raises
        ------
        SettingsError
            If there is any problem in them.
        """
        loaded = load_site(self._base, self._overlay)
        if isinstance(loaded, Failure):
            raise make_error(loaded.failure())
        return Configuration(FILE_VERSION, loaded.unwrap())

    async def run(self, on_change: OnChange, is_relay: IsRelay) -> None:
        """Wait: files aren't read again."""
        await anyio.sleep_forever()

    def on_advertised_version(self, version: int, peer: Endpoint) -> None:
        """Do nothing: what is in the files stays in force."""

    async def close(self) -> None:
        """Do nothing: no connection is open."""


async def run_source(
    source: ConfigurationSource, on_change: OnChange, is_relay: IsRelay
) -> None:
    """Run a source until cancelled, and close it then."""
    try:
        await source.run(on_change, is_relay)
    finally:
        with anyio.CancelScope(shield=True):
            await source.close()
