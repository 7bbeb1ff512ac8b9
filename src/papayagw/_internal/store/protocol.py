"""Interface of the platform's key-value service.

Every call has a timeout and returns errors as a `Result`. After a
`PlatformUnreachableError` a write may or may not have taken effect, or may still
take effect later.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from papayagw._internal.exceptions import PlatformError
from papayagw._internal.models.clock import Millis

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value that the service accepts."""

ABSENT_REVISION = 0
"""Revision of a key that does not exist."""


@dataclass(frozen=True, slots=True)
class Entry:
    """Value of a key at one revision.

    Attributes
    ----------
    value : bytes
        The value.
    revision : int
        The store revision at which the value was written.
    """

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of a read.

    Attributes
    ----------
    entry : Entry or None
        The value of the key, or None if the key does not exist.
    revision : int
        The revision of the whole store at the time of the read.
    """

    entry: Entry | None
    revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """Result of a compare-and-swap that wrote the value.

    Attributes
    ----------
    revision : int
        The new revision of the key.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a compare-and-swap that wrote nothing: the revision differed.

    Attributes
    ----------
    entry : Entry or None
        The current value of the key, or None if the key does not exist.
    """

    entry: Entry | None


SwapResult = Swapped | Conflict


class Store(Protocol):
    """Key-value store with compare-and-swap and watches."""

    async def get(
        self, key: str, timeout_ms: Millis
    ) -> Result[Snapshot, PlatformError]:
        """Read the value of `key` and the revision of the store."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, timeout_ms: Millis
    ) -> Result[SwapResult, PlatformError]:
        """Write `value` if the revision of `key` is still `expected`.

        Parameters
        ----------
        key : str
            The key.
        value : bytes
            The new value, at most `MAX_VALUE_BYTES` long.
        expected : int
            The revision that the caller last read; `ABSENT_REVISION` if the key
            did not exist.
        timeout_ms : Millis
            How long to wait for the response.
        """

    async def watch(
        self,
        key: str,
        after: int,
        on_entry: Callable[[Entry], None],
        timeout_ms: Millis,
    ) -> Result[int, PlatformError]:
        """Report each write to `key` to `on_entry` until `timeout_ms` has passed.

        Parameters
        ----------
        key : str
            The key.
        after : int
            The store revision after which writes are reported.
        on_entry : callable
            Called with each new value.
        timeout_ms : Millis
            How long to watch. A watch reopened at the returned revision misses no
            write; the limit also bounds how long a connection that was lost without
            an error goes unnoticed.

        Returns
        -------
        Result of int or PlatformError
            The last store revision received. It is lower than `after` if the store
            was restored from an older copy; the watch then ends at once.
        """

    async def close(self) -> None:
        """Close all connections."""
