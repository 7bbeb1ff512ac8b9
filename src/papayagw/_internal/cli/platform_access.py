"""The platform's service as the commands use it."""

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
    """Open the store of a site, and close it afterwards.

    Raises
    ------
    SettingsError
        If no URL is given.
    """
    if not urls:
        raise SettingsError(
            "no platform", step=Step.SETTINGS, remedy="give --platform URL,URL"
        )
    store = ConfigurationStore(EtcdStore([url.rstrip("/") for url in urls]), site)
    try:
        yield store
    finally:
        await store.close()


async def read_in_force(urls: Sequence[str], site: str) -> Configuration:
    """Return the configuration that the platform holds for a site.

    Raises
    ------
    PapayagwError
        If there is none, or no answer.
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
            remedy="papayagw config submit makes the first version",
        )
    return configuration


async def read_site_in_force(urls: Sequence[str], site: str) -> Site:
    """Return the site that the platform holds."""
    return (await read_in_force(urls, site)).site
