"""Registration of an agent in the store: writes, renews and removes its entry."""

from random import Random

from papayagw._internal.core.plain.store_calls import RetrySchedule, TimedCall
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    EndLease,
    GrantLease,
    LeaseEnded,
    LeaseResult,
    PutKey,
    PutResult,
    RangeResult,
    ReadRange,
    RenewLease,
    StoreAnswer,
    StoreCall,
)

LEASE_TTL_MS = Millis(10_000)
"""Time after its last renewal at which a lease expires and its entry is removed."""

RENEW_INTERVAL_MS = Millis(2_000)
"""Interval between lease renewals.

An expired lease is detected by its next renewal, and the entry must be restored
within two seconds of the store's recovery.
"""

MIN_RESTORE_INTERVAL_MS = Millis(1_000)
"""Minimum interval between two restorations requested by balancers.

All balancers watch the store and notice a missing entry within a second of each other.
"""


class EntryRegistrar:
    """Keeps an agent's entry in the store, under a lease, while the agent runs.

    Parameters
    ----------
    key : str
        Key of the entry.
    value : bytes
        Value of the entry.
    random : Random
        Source of the jitter.
    """

    def __init__(self, key: str, value: bytes, random: Random):
        self._key = key
        self._value = value
        self._random = random
        self._retry_schedule = RetrySchedule(random)
        self._due_at = Millis(0)
        self._has_read = False
        self._lease: int | None = None
        self._is_stored = False
        self._had_failure = False
        self._restored_at = Millis(-MIN_RESTORE_INTERVAL_MS)
        self._is_ending = False

    @property
    def due_at(self) -> Millis:
        """Time at which the next call is due."""
        return self._due_at

    @property
    def is_ended(self) -> bool:
        """Whether `end` was called and no lease is left in the store."""
        return self._is_ending and self._lease is None

    def next_call(self) -> TimedCall | None:
        """Return the store call to make next, or None once the entry is removed."""
        call = self._pick_call()
        return (
            None if call is None else TimedCall(call, self._retry_schedule.timeout_ms)
        )

    def on_answer(self, call: StoreCall, answer: StoreAnswer, now: Millis) -> None:
        """Handle the store's answer to the last call and schedule the next one."""
        if isinstance(answer, CallFailed):
            self._due_at = Millis(now + self._retry_schedule.record_failure(answer))
            self._had_failure = True
            return
        self._retry_schedule.record_success()
        self._due_at = now
        match answer:
            case RangeResult(items):
                self._has_read, self._had_failure = True, False
                self._is_stored = False
                # An earlier run of the agent may have left the entry and its lease.
                for item in items:
                    if item.key == self._key and item.value == self._value:
                        self._lease, self._is_stored = item.lease or None, True
            case LeaseResult(lease):
                self._lease = lease
                if isinstance(call, RenewLease) and self._had_failure:
                    # During an outage the store may have lost the entry but not its
                    # lease.
                    self._has_read = False
                elif isinstance(call, RenewLease) and self._is_stored:
                    self._due_at = Millis(now + self._jitter(RENEW_INTERVAL_MS))
            case PutResult():
                self._is_stored, self._had_failure = True, False
                self._due_at = Millis(now + self._jitter(RENEW_INTERVAL_MS))
            case LeaseEnded():
                self._lease, self._is_stored = None, False

    def restore(self, now: Millis) -> None:
        """Schedule a new write of the entry, which a balancer found missing."""
        if not self._has_read or not self._is_stored:
            return
        self._is_stored = False
        self._restored_at = Millis(
            max(now, self._restored_at + MIN_RESTORE_INTERVAL_MS)
        )
        self._due_at = min(self._due_at, self._restored_at)

    def end(self, now: Millis) -> None:
        """Schedule the removal of the entry, since its owner is stopping."""
        self._is_ending = True
        self._due_at = now

    def _pick_call(self) -> StoreCall | None:
        """Return the call for the next step: read, grant, put or renew, or else end."""
        if self._is_ending:
            return None if self._lease is None else EndLease(self._lease)
        if not self._has_read:
            return ReadRange(self._key)
        if self._lease is None:
            return GrantLease(LEASE_TTL_MS)
        if not self._is_stored:
            return PutKey(self._key, self._value, self._lease)
        return RenewLease(self._lease)

    def _jitter(self, interval_ms: Millis) -> int:
        """Return 80 to 100 % of an interval, at random."""
        return round(interval_ms * self._random.uniform(0.8, 1.0))
