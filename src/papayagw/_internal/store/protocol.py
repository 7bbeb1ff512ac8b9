"""The platform's key-value service, as the rest of papayagw sees it.

Every call has a deadline and returns its failure. After a
`PlatformUnreachableError` a write may or may not have taken effect, at once or
later.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from papayagw._internal.exceptions import PlatformError
from papayagw._internal.models.clock import Millis

MAX_VALUE_BYTES = 1_000_000
"""The largest value that the service holds, in bytes."""

ABSENT_REVISION = 0
"""The revision of a key that isn't there."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value at one revision.

    Attributes
    ----------
    value : bytes
        The value.
    revision : int
        The revision of the store at which it was written.
    """

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What a read found.

    Attributes
    ----------
    entry : Entry or None
        The key's value, or None if it has none.
    revision : int
        The revision of the whole store at the read.
    """

    entry: Entry | None
    revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """The write took effect.

    Attributes
    ----------
    revision : int
        The new revision of the key.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write took no effect, since the key had another revision.

    Attributes
    ----------
    entry : Entry or None
        What the key holds.
    """

    entry: Entry | None


SwapResult = Swapped | Conflict


class Store(Protocol):
    """A key-value service with compare-and-swap and watches."""

    async def get(
        self, key: str, timeout_ms: Millis
    ) -> Result[Snapshot, PlatformError]:
        """Return what `key` holds."""

    async def swap(
        self, key: str, value: bytes, expected: int, timeout_ms: Millis
    ) -> Result[SwapResult, PlatformError]:
        """Write `value` if `key` still has the revision `expected`.

        Parameters
        ----------
        key : str
            The key.
        value : bytes
            At most `MAX_VALUE_BYTES`.
        expected : int
            The revision that the caller saw; `ABSENT_REVISION` if it saw none.
        timeout_ms : Millis
            How long to wait for the answer.
        """

    async def watch(
        self,
        key: str,
        after: int,
        on_entry: Callable[[Entry], None],
        timeout_ms: Millis,
    ) -> Result[int, PlatformError]:
        """Hear of each write of `key` until `timeout_ms` has passed.

        Parameters
        ----------
        key : str
            The key.
        after : int
            The revision of the store after which writes are told.
        on_entry : callable
            Takes each new value.
        timeout_ms : Millis
            How long to watch. A watch that ends and is opened anew misses nothing,
            and one that has died without notice lasts no longer.

        Returns
        -------
        Result of int or PlatformError
            The last revision of the store that was heard of. It is lower than
            `after` where the store was restored from an older copy; the watch then
            ends at once.
        """

    async def close(self) -> None:
        """Close the connections."""
