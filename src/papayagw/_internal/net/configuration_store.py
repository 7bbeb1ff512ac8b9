"""A site's configuration in the platform's service."""

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
class Stored:
    """What the service holds.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration, or None before the first submission.
    key_revision : int
        The revision of its key.
    store_revision : int
        The revision of the whole store.
    """

    configuration: Configuration | None
    key_revision: int
    store_revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The write took no effect.

    Attributes
    ----------
    current : Configuration or None
        What the service holds.
    """

    current: Configuration | None


class ConfigurationStore:
    """Reads, writes and watches one site's configuration.

    Parameters
    ----------
    store : Store
        The platform's service.
    site : str
        The name of the site.
    call_timeout_ms : Millis
        How long to wait for an answer.
    """

    def __init__(
        self, store: Store, site: str, call_timeout_ms: Millis = CALL_TIMEOUT_MS
    ):
        self._store = store
        self._key = f"papayagw/sites/{site}/configuration"
        self._call_timeout_ms = call_timeout_ms

    async def read(self) -> Result[Stored, StoreError]:
        """Return what the service holds."""
        answer = await self._store.get(self._key, self._call_timeout_ms)
        if isinstance(answer, Failure):
            return Failure(answer.failure())
        snapshot = answer.unwrap()
        revision = snapshot.entry.revision if snapshot.entry else ABSENT_REVISION
        return _decode(snapshot.entry).map(
            lambda found: Stored(found, revision, snapshot.revision)
        )

    async def swap(
        self, configuration: Configuration, expected: int
    ) -> Result[Swapped | Rejected, StoreError]:
        """Write a configuration if its key still has the revision `expected`."""
        value = write_configuration(configuration)
        answer = await self._store.compare_and_swap(
            self._key, value, expected, self._call_timeout_ms
        )
        if isinstance(answer, Failure):
            return Failure(answer.failure())
        outcome = answer.unwrap()
        if isinstance(outcome, Conflict):
            return _decode(outcome.entry).map(Rejected)
        return Success(outcome)

    async def watch(
        self,
        after: int,
        on_change: Callable[[Result[Configuration | None, StoreError]], None],
        limit_ms: Millis,
    ) -> Result[int, PlatformError]:
        """Hear of each new configuration for `limit_ms`; see `Store.watch`."""

        def on_entry(entry: Entry) -> None:
            on_change(_decode(entry))

        return await self._store.watch(self._key, after, on_entry, limit_ms)

    async def close(self) -> None:
        """Close the connections."""
        await self._store.close()


def _decode(entry: Entry | None) -> Result[Configuration | None, StoreError]:
    if entry is None:
        return Success(None)
    decoded = read_configuration(entry.value)
    if isinstance(decoded, Failure):
        return Failure(decoded.failure())
    return Success(decoded.unwrap())
