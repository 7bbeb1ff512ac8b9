"""Writes the route changes that a balancer has observed to the store."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random

from papayagw._internal.core.plain.store.store_calls import RetrySchedule, TimedCall
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    GrantLease,
    LeaseEnded,
    LeaseResult,
    PutKey,
    PutResult,
    StoreAnswer,
    StoreCall,
    StoreRestored,
)

LEASE_MARGIN_MS = Millis(30_000)
"""Time for which a route change stays in the store beyond the life of a flow.

Covers balancers that put the change in force, or write it, later than others.
"""


@dataclass(frozen=True, slots=True)
class _Write:
    """A key to write, and when."""

    value: bytes
    due_at: Millis


class RouteChangeRecorder:
    """Writes keys that any balancer may write, each under a lease of its own.

    All balancers observe the same changes and write the same keys. Each waits a random
    time first and leaves out the keys that another has written meanwhile.

    Parameters
    ----------
    flow_limit_ms : Millis
        Age or idle time after which a flow may be removed.
    get_spread : callable
        Returns the upper limit of the time before a write.
    random : Random
        Source of the random times.
    """

    def __init__(
        self,
        flow_limit_ms: Millis,
        get_spread: Callable[[], Millis],
        random: Random,
    ):
        self._lease_ttl_ms = Millis(flow_limit_ms + LEASE_MARGIN_MS)
        self._get_spread = get_spread
        self._random = random
        self._retry_schedule = RetrySchedule(random)
        self._retry_at = Millis(0)
        self._lease: int | None = None
        self._stored: set[str] = set()
        self._writes: dict[str, _Write] = {}

    @property
    def due_at(self) -> Millis | None:
        """Time at which the next call is due; None if there is nothing to write."""
        due_at = (write.due_at for write in self._writes.values())
        first = min(due_at, default=None)
        return None if first is None else max(first, self._retry_at)

    def next_call(self) -> TimedCall | None:
        """Return the call for the next write, or None if there is nothing to write."""
        if not self._writes:
            return None
        key = min(self._writes, key=lambda one: self._writes[one].due_at)
        call: StoreCall = (
            GrantLease(self._lease_ttl_ms)
            if self._lease is None
            else PutKey(key, self._writes[key].value, self._lease)
        )
        return TimedCall(call, self._retry_schedule.timeout_ms)

    def on_answer(self, call: StoreCall, answer: StoreAnswer, now: Millis) -> None:
        """Handle the store's answer to the last call and schedule the next one."""
        if isinstance(answer, CallFailed):
            self._retry_at = Millis(now + self._retry_schedule.record_failure(answer))
            return
        self._retry_schedule.record_success()
        self._retry_at = now
        match answer:
            case LeaseResult(lease) | StoreRestored(answer=LeaseResult(lease)):
                self._lease = lease
            case LeaseEnded() | StoreRestored():
                # A lease from before the restoration may be another's now.
                self._lease = None
            case PutResult() if isinstance(call, PutKey):
                # A later key must not end with this one's lease.
                self._lease = None
                self.on_written([call.key])

    def schedule(self, values: Mapping[str, bytes], now: Millis) -> None:
        """Schedule the writes of keys that aren't in the store yet."""
        for key, value in values.items():
            if key not in self._stored and key not in self._writes:
                wait = self._random.uniform(0, self._get_spread())
                self._writes[key] = _Write(value, Millis(now + round(wait)))

    def on_written(self, keys: Iterable[str]) -> None:
        """Leave out keys that were written."""
        self._stored.update(keys)
        for key in self._stored.intersection(self._writes):
            del self._writes[key]

    def on_listed(self, keys: Iterable[str]) -> None:
        """Record which keys a full read of the store has shown."""
        self._stored.clear()
        self.on_written(keys)

    def flush(self, now: Millis) -> None:
        """Make all scheduled writes due, as the process is stopping."""
        for key, write in self._writes.items():
            self._writes[key] = _Write(write.value, now)
