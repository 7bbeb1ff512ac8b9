"""A key-value store with revisions, compare-and-swap, leases and watches.

It holds what the platform's service would hold, without sockets: the stand-in puts
HTTP round it, and tests drive it directly.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Clock, Millis

NO_LEASE = 0
MAX_EVENTS = 1000
"""How many changes a watch may look back."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key at one revision.

    Attributes
    ----------
    key, value : bytes
        The key and its value.
    created, modified : int
        The revisions of its first and of its last write.
    version : int
        How often it was written.
    lease : int
        The lease with which it goes; `NO_LEASE` if it stays.
    """

    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class Lease:
    """A time-limited grant to which keys can be bound.

    Attributes
    ----------
    lease_id : int
        Its number.
    duration_s : int
        How long it lasts without renewal.
    expires : Millis
        When it lapses.
    """

    lease_id: int
    duration_s: int
    expires_at: Millis


@dataclass(frozen=True, slots=True)
class Event:
    """One change of a key.

    Attributes
    ----------
    key_value : KeyValue
        The key after the change.
    is_delete : bool
        Whether it is gone.
    """

    key_value: KeyValue
    is_delete: bool = False


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """The whole content at one time, to restore later."""

    revision: int
    values: dict[bytes, KeyValue]
    events: tuple[Event, ...]


class KeyValues:
    """The store.

    Parameters
    ----------
    clock : Clock
        The time, for leases.
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
        """The revision of the whole store."""
        return self._revision

    def find(self, key: bytes, range_end: bytes = b"") -> tuple[KeyValue, ...]:
        """Return a key, or all keys from `key` up to `range_end`."""
        self.expire_leases()
        if not range_end:
            found = self._values.get(key)
            return () if found is None else (found,)
        return tuple(
            self._values[one] for one in sorted(self._values) if key <= one < range_end
        )

    def put(self, key: bytes, value: bytes, lease: int = NO_LEASE) -> KeyValue:
        """Write a key."""
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
        """Delete a key; return whether it was there."""
        deleted = self._values.pop(key, None)
        if deleted is None:
            return False
        self._revision += 1
        self._record(Event(replace(deleted, modified=self._revision, value=b""), True))
        return True

    def swap(self, key: bytes, value: bytes, expected: int) -> bool:
        """Write a key if its last write was at the revision `expected`."""
        found = self.find(key)
        if (found[0].modified if found else 0) != expected:
            return False
        self.put(key, value)
        return True

    def find_events(self, key: bytes, start: int) -> tuple[Event, ...]:
        """Return the changes of a key from the revision `start` on."""
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
        """Renew a lease, unless it has lapsed."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return None
        return self._set_lease(lease_id, lease.duration_s)

    def revoke_lease(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return whether it was there."""
        if self._leases.pop(lease_id, None) is None:
            return False
        for one in [one for one in self._values.values() if one.lease == lease_id]:
            self.delete(one.key)
        return True

    def expire_leases(self) -> None:
        """End the leases that have lapsed."""
        now = self._clock.now()
        for lease in [one for one in self._leases.values() if one.expires_at <= now]:
            self.revoke_lease(lease.lease_id)

    def snapshot(self) -> StoreSnapshot:
        """Return the whole content."""
        return StoreSnapshot(self._revision, dict(self._values), tuple(self._events))

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Go back to an earlier content."""
        self._revision = snapshot.revision
        self._values = dict(snapshot.values)
        self._events = deque(snapshot.events, maxlen=MAX_EVENTS)
        self.notify_listeners()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` no more."""
        self._listeners.remove(listener)

    def _set_lease(self, lease_id: int, duration_s: int) -> Lease:
        expires_at = Millis(self._clock.now() + duration_s * MILLIS_PER_SECOND)
        lease = self._leases[lease_id] = Lease(lease_id, duration_s, expires_at)
        return lease

    def _record(self, event: Event) -> None:
        self._events.append(event)
        self.notify_listeners()

    def notify_listeners(self) -> None:
        """Call the listeners, as after a change."""
        for listener in tuple(self._listeners):
            listener()
