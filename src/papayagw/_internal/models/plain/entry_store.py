"""Calls to the platform's key-value service and their answers."""

from dataclasses import dataclass

from papayagw._internal.models.clock import Millis


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key of the store with its value at one revision.

    Attributes
    ----------
    key : str
        Key.
    value : bytes
        Value.
    revision : int
        Store revision at which the value was written.
    lease : int
        Id of the lease that the key is attached to; 0 if none. The key is removed
        when the lease ends.
    """

    key: str
    value: bytes
    revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class RemovedItem:
    """Removal of a key.

    Attributes
    ----------
    key : str
        Key.
    revision : int
        Store revision at which the key was removed.
    """

    key: str
    revision: int


StoreEvent = StoredItem | RemovedItem
"""A write or a removal of a key, as a watch returns it."""


@dataclass(frozen=True, slots=True)
class ReadRange:
    """Request for a page of the keys with a `prefix`, after the key `after`.

    Attributes
    ----------
    prefix : str
        Prefix of the keys.
    after : str
        Last key of the page before; empty for the first page.
    may_be_stale : bool
        Whether the answer may be some seconds old. Such a read costs the store less.
    """

    prefix: str
    after: str = ""
    may_be_stale: bool = False


@dataclass(frozen=True, slots=True)
class WatchPrefix:
    """Request to wait up to `wait_ms` for writes after revision `after`."""

    prefix: str
    after: int
    wait_ms: Millis


@dataclass(frozen=True, slots=True)
class PutKey:
    """Request to write a key that is removed when the lease `lease` ends."""

    key: str
    value: bytes
    lease: int


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Request for a new lease that ends `ttl_ms` after its last renewal."""

    ttl_ms: Millis


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Request to renew a lease."""

    lease: int


@dataclass(frozen=True, slots=True)
class EndLease:
    """Request to end a lease, which removes its keys."""

    lease: int


@dataclass(frozen=True, slots=True, order=True)
class StoreRevision:
    """A revision of the store. A later era is newer, whatever its revisions.

    Attributes
    ----------
    era : int
        Number of the store's era, which a restoration from an older copy begins; 0 if
        the store names none.
    number : int
        Store revision, which a later era may give out again.
    """

    era: int
    number: int


StoreCall = ReadRange | WatchPrefix | PutKey | GrantLease | RenewLease | EndLease
"""A request to the key-value service."""


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Answer to `ReadRange`: a page of items, and whether more follow it."""

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
    """Answer to `WatchPrefix` if the store no longer has the requested revisions."""


@dataclass(frozen=True, slots=True)
class PutResult:
    """Answer to `PutKey`: the store revision of the write."""

    revision: int


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """Answer to `GrantLease` and `RenewLease`: the lease and its remaining time."""

    lease: int
    ttl_ms: Millis


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """Answer to `PutKey`, `RenewLease` and `EndLease` if the lease has ended.

    The keys of the lease are removed.
    """


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Failed call; unless `refused`, a write may or may not have taken effect.

    Attributes
    ----------
    reason : str
        Description of the failure.
    refused : bool
        Whether the store answered that it did not execute the call.
    """

    reason: str
    refused: bool = False


UsableAnswer = (
    RangeResult | WatchResult | HistoryCompacted | PutResult | LeaseResult | LeaseEnded
)
"""The answer to a call that the store executed."""


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """First answer to a client since the store was restored from an older copy.

    What was written after the copy was made is lost, leases included. Revisions and
    ids of leases are given out again.

    Attributes
    ----------
    era : int
        Number of the store's era, which a restoration begins.
    answer : UsableAnswer
        The answer itself, which is valid in the new era.
    """

    era: int
    answer: UsableAnswer


StoreAnswer = UsableAnswer | StoreRestored | CallFailed
"""The answer to a call, or its failure."""
