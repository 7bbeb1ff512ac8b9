"""In-memory key-value store with revisions, compare-and-swap, leases and watches.

It models the content of the platform's service without sockets: the stand-in serves it
over HTTP, and tests use it directly.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Clock, Millis

NO_LEASE = 0
MAX_EVENTS = 1000
"""Number of past changes that are kept for watches."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Key and value at one revision.

    Attributes
    ----------
    key, value : bytes
        Key and its value.
    created, modified : int
        Revisions of the first and of the most recent write.
    version : int
        Number of writes since the key was created.
    lease : int
        Id of the lease with which the key expires; `NO_LEASE` if it doesn't expire.
    """

    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease to which keys can be bound; they are deleted when it ends.

    Attributes
    ----------
    lease_id : int
        Id of the lease.
    duration_s : int
        Time from the grant or a renewal to the expiry, in seconds.
    expires_at : Millis
        Time at which it expires unless renewed, in milliseconds.
    """

    lease_id: int
    duration_s: int
    expires_at: Millis


@dataclass(frozen=True, slots=True)
class Event:
    """Change of a key.

    Attributes
    ----------
    key_value : KeyValue
        Key and value after the change.
    is_delete : bool
        Whether the key was deleted.
    """

    key_value: KeyValue
    is_delete: bool = False


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Restorable snapshot of revision, entries and past changes, without leases."""

    revision: int
    values: dict[bytes, KeyValue]
    events: tuple[Event, ...]


class KeyValues:
    """In-memory key-value store.

    Parameters
    ----------
    clock : Clock
        Source of the current time, for the expiry of leases.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._revision = 1
        self._values: dict[bytes, KeyValue] = {}
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._leases: dict[int, Lease] = {}
        self._last_lease_id = NO_LEASE
        self._listeners: list[Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """Current revision of the store."""
        return self._revision

    def find(self, key: bytes, range_end: bytes = b"") -> tuple[KeyValue, ...]:
        """Return the entry of `key`, or all entries in [`key`, `range_end`)."""
        self.expire_leases()
        if not range_end:
            found = self._values.get(key)
            return () if found is None else (found,)
        return tuple(
            self._values[one] for one in sorted(self._values) if key <= one < range_end
        )

    def put(self, key: bytes, value: bytes, lease: int = NO_LEASE) -> KeyValue:
        """Write a key, optionally bound to a lease, and return its new entry."""
        self._revision += 1
        previous = self._values.get(key)
        written = KeyValue(
            key,
            value,
            previous.created if previous else self._revision,
            self._revision,
            previous.version + 1 if previous else 1,
            lease,
        )
        self._values[key] = written
        self._record(Event(written))
        return written

    def delete(self, key: bytes) -> bool:
        """Delete a key; return whether it existed."""
        deleted = self._values.pop(key, None)
        if deleted is None:
            return False
        self._revision += 1
        self._record(Event(replace(deleted, modified=self._revision, value=b""), True))
        return True

    def swap(self, key: bytes, value: bytes, expected: int) -> bool:
        """Write a key if it is at revision `expected`; return whether it was written.

        The revision of a key is that of its last write, 0 if it doesn't exist.
        """
        found = self.find(key)
        if (found[0].modified if found else 0) != expected:
            return False
        self.put(key, value)
        return True

    def find_events(self, key: bytes, start: int) -> tuple[Event, ...]:
        """Return the kept changes of a key from revision `start` on, oldest first."""
        self.expire_leases()
        return tuple(
            event
            for event in self._events
            if event.key_value.key == key and event.key_value.modified >= start
        )

    def grant_lease(self, duration_s: int) -> Lease:
        """Grant a new lease."""
        self._last_lease_id += 1
        return self._set_lease(self._last_lease_id, duration_s)

    def renew_lease(self, lease_id: int) -> Lease | None:
        """Renew a lease; return None if it has expired or doesn't exist."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return None
        return self._set_lease(lease_id, lease.duration_s)

    def revoke_lease(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return whether it existed."""
        if self._leases.pop(lease_id, None) is None:
            return False
        for one in [one for one in self._values.values() if one.lease == lease_id]:
            self.delete(one.key)
        return True

    def expire_leases(self) -> None:
        """End all expired leases and delete their keys."""
        now = self._clock.now()
        for lease in [one for one in self._leases.values() if one.expires_at <= now]:
            self.revoke_lease(lease.lease_id)

    def snapshot(self) -> StoreSnapshot:
        """Return a snapshot of the content."""
        return StoreSnapshot(self._revision, dict(self._values), tuple(self._events))

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a snapshot, including its revision, and notify the listeners."""
        self._revision = snapshot.revision
        self._values = dict(snapshot.values)
        self._events = deque(snapshot.events, maxlen=MAX_EVENTS)
        self.notify_listeners()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Stop calling `listener`."""
        self._listeners.remove(listener)

    def _set_lease(self, lease_id: int, duration_s: int) -> Lease:
        expires_at = Millis(self._clock.now() + duration_s * MILLIS_PER_SECOND)
        lease = self._leases[lease_id] = Lease(lease_id, duration_s, expires_at)
        return lease

    def _record(self, event: Event) -> None:
        self._events.append(event)
        self.notify_listeners()

    def notify_listeners(self) -> None:
        """Call all listeners, as after a change."""
        for listener in tuple(self._listeners):
            listener()
