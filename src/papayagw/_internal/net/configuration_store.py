"""Access to a site's configuration in the platform's service."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from papayagw._internal.exceptions import DecodeError, PlatformError
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.store.protocol import (
    ABSENT_REVISION,
    Conflict,
    Entry,
    Store,
    Swapped,
)
from papayagw._internal.wire.configuration import (
    read_configuration,
    write_configuration,
)

CALL_TIMEOUT_MS = Millis(2_000)

StoreError = PlatformError | DecodeError


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """State of the service as returned by a read.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration, or None before the first submission.
    key_revision : int
        The revision of the configuration's key.
    store_revision : int
        The revision of the whole store.
    """

    configuration: Configuration | None
    key_revision: int
    store_revision: int


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """A write had no effect because the key has another revision than expected.

    Attributes
    ----------
    current : Configuration or None
        The configuration that the service holds, if any.
    """

    current: Configuration | None


class ConfigurationStore:
    """Reads, writes and watches the configuration of one site.

    Parameters
    ----------
    store : Store
        The platform's service.
    site : str
        The name of the site.
    call_timeout_ms : Millis
        Timeout of one call, in milliseconds.
    """

    def __init__(
        self, store: Store, site: str, call_timeout_ms: Millis = CALL_TIMEOUT_MS
    ):
        self._store = store
        self._key = f"papayagw/sites/{site}/configuration"
        self._call_timeout_ms = call_timeout_ms

    async def read(self) -> Result[StoredConfiguration, StoreError]:
        """Return the configuration that the service holds, with the revisions."""
        result = await self._store.get(self._key, self._call_timeout_ms)
        if isinstance(result, Failure):
            return Failure(result.failure())
        snapshot = result.unwrap()
        revision = snapshot.entry.revision if snapshot.entry else ABSENT_REVISION
        return _decode(snapshot.entry).map(
            lambda configuration: StoredConfiguration(
                configuration, revision, snapshot.revision
            )
        )

    async def swap(
        self, configuration: Configuration, expected_revision: int
    ) -> Result[Swapped | SwapConflict, StoreError]:
        """Write a configuration if its key still has the expected revision."""
        value = write_configuration(configuration)
        result = await self._store.compare_and_swap(
            self._key, value, expected_revision, self._call_timeout_ms
        )
        if isinstance(result, Failure):
            return Failure(result.failure())
        outcome = result.unwrap()
        if isinstance(outcome, Conflict):
            return _decode(outcome.entry).map(SwapConflict)
        return Success(outcome)

    async def watch(
        self,
        after_revision: int,
        on_change: Callable[[Result[Configuration | None, StoreError]], None],
        limit_ms: Millis,
    ) -> Result[int, PlatformError]:
        """Report each new configuration to `on_change` for `limit_ms`.

        See `Store.watch` for `after_revision` and the returned revision.
        """

        def on_entry(entry: Entry) -> None:
            on_change(_decode(entry))

        return await self._store.watch(self._key, after_revision, on_entry, limit_ms)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()


def _decode(entry: Entry | None) -> Result[Configuration | None, StoreError]:
    if entry is None:
        return Success(None)
    decoded = read_configuration(entry.value)
    if isinstance(decoded, Failure):
        return Failure(decoded.failure())
    return Success(decoded.unwrap())
