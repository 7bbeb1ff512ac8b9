"""Access of commands to the configuration store of the platform."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from returns.result import Failure

from papayagw._internal.exceptions import PlatformError, SettingsError, Step
from papayagw._internal.models.configuration import Configuration, Site
from papayagw._internal.net.configuration_store import ConfigurationStore
from papayagw._internal.store.etcd import EtcdStore


@asynccontextmanager
async def open_store(
    urls: Sequence[str], site: str
) -> AsyncIterator[ConfigurationStore]:
    """Open the configuration store of a site, and close it on exit.

    Raises
    ------
    SettingsError
        If `urls` is empty.
    """
    if not urls:
        raise SettingsError(
            "no URL of the platform is given",
            step=Step.SETTINGS,
            remedy="give --platform URL,URL",
        )
    store = ConfigurationStore(EtcdStore([url.rstrip("/") for url in urls]), site)
    try:
        yield store
    finally:
        await store.close()


async def read_in_force(urls: Sequence[str], site: str) -> Configuration:
    """Return the configuration in force: the last one stored at the platform.

    Raises
    ------
    PapayagwError
        If no configuration was ever submitted, or the platform doesn't respond.
    """
    async with open_store(urls, site) as store:
        result = await store.read()
    if isinstance(result, Failure):
        raise result.failure()
    configuration = result.unwrap().configuration
    if configuration is None:
        raise PlatformError(
            f"no configuration of {site} was ever submitted",
            step=Step.STATUS,
            peer=", ".join(urls),
            remedy="submit the first version with papayagw config submit",
        )
    return configuration


async def read_site_in_force(urls: Sequence[str], site: str) -> Site:
    """Return the site of the configuration in force; raises as `read_in_force`."""
    return (await read_in_force(urls, site)).site
