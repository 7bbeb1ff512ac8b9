"""Interface of configuration sources, and the source that reads files."""

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
"""Called with a configuration that is in force from now on."""

IsRelay = Callable[[], bool]
"""Returns whether this node is currently a relay, which watches the platform."""

FILE_VERSION = 0
"""Version of a configuration read from files, which was never submitted."""


class ConfigurationSource(Protocol):
    """Source of configurations, each with a higher version than the previous one."""

    async def start(self) -> Configuration:
        """Return the first configuration; wait until one is available."""

    async def run(self, on_change: OnChange, is_relay: IsRelay) -> None:
        """Call `on_change` with each later configuration, until cancelled.

        Parameters
        ----------
        on_change : callable
            Called with each configuration as soon as it is in force.
        is_relay : callable
            Returns whether this node is currently a relay, which watches the
            platform's service.
        """

    def on_advertised_version(self, version: int, peer: Endpoint) -> None:
        """Handle a message in which `peer` advertises `version` as in force."""

    async def close(self) -> None:
        """Close all connections."""


class FileConfigurationSource:
    """Configuration from a base file and an overlay, read once at the start.

    Parameters
    ----------
    base : Path
        Path of the base file.
    overlay : Path or None
        Path of the site's overlay, if there is one.
    """

    def __init__(self, base: Path, overlay: Path | None = None):
        self._base = base
        self._overlay = overlay

    async def start(self) -> Configuration:
        """Return the configuration of the files.

        Raises
        ------
        SettingsError
            If a file is missing or invalid.
        """
        loaded = load_site(self._base, self._overlay)
        if isinstance(loaded, Failure):
            raise make_error(loaded.failure())
        return Configuration(FILE_VERSION, loaded.unwrap())

    async def run(self, on_change: OnChange, is_relay: IsRelay) -> None:
        """Wait until cancelled: the files aren't read again."""
        await anyio.sleep_forever()

    def on_advertised_version(self, version: int, peer: Endpoint) -> None:
        """Do nothing: the configuration from the files stays in force."""

    async def close(self) -> None:
        """Do nothing: there are no connections."""


async def run_source(
    source: ConfigurationSource, on_change: OnChange, is_relay: IsRelay
) -> None:
    """Run `source` until cancelled, then close it."""
    try:
        await source.run(on_change, is_relay)
    finally:
        with anyio.CancelScope(shield=True):
            await source.close()
