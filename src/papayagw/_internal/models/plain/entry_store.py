"""Calls to the platform's key-value service and their answers."""

from dataclasses import dataclass

from papayagw._internal.models.clock import Millis


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key's value at one revision.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        The value.
    revision : int
        The revision of the store at which it was written.
    lease : int
        The lease whose end removes the key; 0 if none does.
    """

    key: str
    value: bytes
    revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class RemovedItem:
    """A key that was removed.

    Attributes
    ----------
    key : str
        The key.
    revision : int
        The revision of the store at which it was removed.
    """

    key: str
    revision: int


StoreEvent = StoredItem | RemovedItem


@dataclass(frozen=True, slots=True)
class ReadRange:
    """Read a page of the keys that begin with `prefix`, after the key `after`."""

    prefix: str
    after: str = ""


@dataclass(frozen=True, slots=True)
class WatchPrefix:
    """Wait up to `wait_ms` for writes after revision `after`."""

    prefix: str
    after: int
    wait_ms: Millis


@dataclass(frozen=True, slots=True)
class PutKey:
    """Write a key that lives as long as a lease."""

    key: str
    value: bytes
    lease: int


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Ask for a lease."""

    ttl_ms: Millis


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew a lease."""

    lease: int


@dataclass(frozen=True, slots=True)
class EndLease:
    """End a lease, which removes its keys."""

    lease: int


StoreCall = ReadRange | WatchPrefix | PutKey | GrantLease | RenewLease | EndLease


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Answer to `ReadRange`."""

    items: tuple[StoredItem, ...]
    has_more: bool
    store_revision: int


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Answer to `WatchPrefix`: the writes up to `store_revision`, in order."""

    events: tuple[StoreEvent, ...]
    store_revision: int


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The store no longer has the writes that were asked for."""


@dataclass(frozen=True, slots=True)
class PutResult:
    """Answer to `PutKey`."""

    revision: int


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """Answer to `GrantLease` and `RenewLease`."""

    lease: int
    ttl_ms: Millis


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease has ended, and its keys with it."""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No usable answer; a write may or may not have taken effect.

    Attributes
    ----------
    reason : str
        What was seen.
    refused : bool
        Whether the store said that it did nothing.
    """

    reason: str
    refused: bool = False


StoreAnswer = (
    RangeResult
    | WatchResult
    | HistoryCompacted
    | PutResult
    | LeaseResult
    | LeaseEnded
    | CallFailed
)
