"""Registration of an agent in the store: writes, renews and removes its entry."""

from random import Random

from papayagw._internal.core.plain.store.store_calls import RetrySchedule, TimedCall
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
    StoredItem,
    StoreRestored,
)
from papayagw._internal.models.plain.frame import ForwardFrame, ToAgent

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

CONTACT_TIMEOUT_MS = Millis(3_000)
"""Time since the last contact by a balancer after which the agent checks its own entry.

A balancer that has read the entry notices when it is missing. Without one, the lease
may be renewed for ever although the entry is gone.
"""

CHECK_INTERVAL_MS = Millis(1_500)
"""Interval between renewals, and checks of the entry, without contact.

With the calls that restore the entry, less than the required two seconds.
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
        self._is_new = True
        """Whether the entry hasn't been read yet.

        An earlier run wrote the entry long ago or not at all, so the first read may be
        stale; it costs less. If the entry's lease has ended since, its renewal fails.
        """
        self._lease: int | None = None
        self._is_stored = False
        self._is_checking = False
        self._contacted_at = Millis(-CONTACT_TIMEOUT_MS)
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
            case StoreRestored():
                self._on_store_restored()
            case RangeResult() if self._is_checking:
                self._end_check(answer, now)
            case RangeResult():
                self._has_read, self._is_new, self._had_failure = True, False, False
                entry = self._find_entry(answer)
                self._is_stored = entry is not None
                # An earlier run of the agent may have left the entry and its lease.
                if entry is not None:
                    self._lease = entry.lease or None
            case LeaseResult(lease):
                self._lease = lease
                if isinstance(call, RenewLease):
                    self._on_renewed(now)
            case PutResult():
                self._is_stored, self._had_failure = True, False
                self._schedule_renewal(now)
            case LeaseEnded():
                self._lease, self._is_stored = None, False

    def on_frame(self, frame: ToAgent, now: Millis) -> None:
        """Record contact by a balancer that has read the entry.

        A forwarded packet is no such sign, since it may go to an owner whose entry the
        balancer has given up.
        """
        if not isinstance(frame, ForwardFrame):
            self._contacted_at = now

    def restore(self, now: Millis) -> None:
        """Schedule a new write of the entry, which a balancer found missing."""
        if not self._has_read or not self._is_stored:
            return
        self._is_stored = self._is_checking = False
        self._restored_at = Millis(
            max(now, self._restored_at + MIN_RESTORE_INTERVAL_MS)
        )
        self._due_at = min(self._due_at, self._restored_at)

    def end(self, now: Millis) -> None:
        """Schedule the removal of the entry, since its owner is stopping."""
        self._is_ending = True
        self._due_at = now

    def _on_store_restored(self) -> None:
        """Discard the lease, whose id the store may have granted again to another.

        The entry is read, and its lease used, if this agent hasn't written it since. If
        it may have, the entry may be attached to another agent's lease, and is written
        again under a new one.
        """
        self._has_read = not self._is_stored
        self._lease = None
        self._is_new = self._is_stored = self._is_checking = False

    def _on_renewed(self, now: Millis) -> None:
        """Check the entry after the renewal of its lease if nobody else would."""
        if self._had_failure:
            # During an outage the store may have lost the entry but not its lease.
            self._has_read = False
        elif self._is_stored:
            self._is_checking = not self._has_contact(now)
            if not self._is_checking:
                self._schedule_renewal(now)

    def _end_check(self, result: RangeResult, now: Millis) -> None:
        """Schedule the next renewal if the entry exists, or else a read of it.

        The check may return outdated data, so a missing entry isn't written at once.
        """
        self._is_checking = False
        if self._find_entry(result) is None:
            self._has_read = False
        else:
            self._schedule_renewal(now)

    def _find_entry(self, result: RangeResult) -> StoredItem | None:
        """Return the agent's own entry among the items of a read, or None."""
        for item in result.items:
            if item.key == self._key and item.value == self._value:
                return item
        return None

    def _has_contact(self, now: Millis) -> bool:
        """Whether a balancer that has read the entry has sent a frame recently."""
        return now - self._contacted_at < CONTACT_TIMEOUT_MS

    def _schedule_renewal(self, now: Millis) -> None:
        """Schedule the next renewal of the lease."""
        has_contact = self._has_contact(now)
        interval_ms = RENEW_INTERVAL_MS if has_contact else CHECK_INTERVAL_MS
        self._due_at = Millis(now + self._jitter(interval_ms))

    def _pick_call(self) -> StoreCall | None:
        """Return the call for the next step: end, check, read, grant, put or renew."""
        if self._is_ending:
            return None if self._lease is None else EndLease(self._lease)
        if self._is_checking:
            return ReadRange(self._key, may_be_stale=True)
        if not self._has_read:
            may_be_stale = self._is_new and not self._had_failure
            return ReadRange(self._key, may_be_stale=may_be_stale)
        if self._lease is None:
            return GrantLease(LEASE_TTL_MS)
        if not self._is_stored:
            return PutKey(self._key, self._value, self._lease)
        return RenewLease(self._lease)

    def _jitter(self, interval_ms: Millis) -> int:
        """Return 80 to 100 % of an interval, at random."""
        return round(interval_ms * self._random.uniform(0.8, 1.0))
