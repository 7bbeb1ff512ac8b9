"""Tests of the entry registrar and the prefix watcher."""

from random import Random

import pytest

from papayagw._internal.core.plain.membership.entry_registrar import (
    CHECK_INTERVAL_MS,
    LEASE_TTL_MS,
    MIN_RESTORE_INTERVAL_MS,
    RENEW_INTERVAL_MS,
    EntryRegistrar,
)
from papayagw._internal.core.plain.membership.roster import MISSING_GRACE_MS
from papayagw._internal.core.plain.store.prefix_watcher import (
    MAX_FIRST_READ_RETRY_MS,
    WATCH_TIMEOUT_MS,
    PrefixWatcher,
)
from papayagw._internal.core.plain.store.store_calls import (
    INITIAL_TIMEOUT_MS,
    MAX_RETRY_DELAY_MS,
    MAX_TIMEOUT_MS,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    EndLease,
    GrantLease,
    HistoryCompacted,
    LeaseEnded,
    LeaseResult,
    PutKey,
    PutResult,
    RangeResult,
    ReadRange,
    RemovedItem,
    RenewLease,
    StoredItem,
    StoreRestored,
    WatchPrefix,
    WatchResult,
)
from papayagw._internal.models.plain.frame import ForwardFrame, OwnerQueryFrame
from papayagw._internal.models.plain.packet import FlowKey, PacketKind
from tests.lib.plain_world import make_packet
from tests.lib.store_calls import run_calls

KEY, VALUE = "papayagw/agents/a", b"value"
EMPTY = RangeResult((), False, 7)
OWN_ENTRY = RangeResult((StoredItem(KEY, VALUE, 6, 5),), False, 7)
RESTORED = StoreRestored(2, LeaseResult(5, LEASE_TTL_MS))
OTHER_VALUE = RangeResult((StoredItem(KEY, b"older", 6, 5),), False, 7)
LONGER_KEY = RangeResult((StoredItem(KEY + "b", VALUE, 6, 5),), False, 7)
TIMED_OUT = CallFailed("no answer")
REFUSED = CallFailed("status 503", refused=True)

PUT = PutKey(KEY, VALUE, 5)
RENEW = RenewLease(5)
GRANT = GrantLease(LEASE_TTL_MS)
FIRST_READ = ReadRange(KEY, may_be_stale=True)
READ_KEY = ReadRange(KEY)
LEASED = LeaseResult(5, LEASE_TTL_MS)
CHECK = FIRST_READ
HEARD = OwnerQueryFrame("order", ())
FORWARDED = ForwardFrame("order", make_packet(FlowKey(bytes(12)), PacketKind.DATA))


@pytest.mark.parametrize(
    ("answers", "calls"),
    [
        ([EMPTY, LEASED, PutResult(8)], [FIRST_READ, GRANT, PUT, RENEW]),
        ([OWN_ENTRY, LEASED], [FIRST_READ, RENEW, RENEW]),
        ([OTHER_VALUE, LEASED, PutResult(8)], [FIRST_READ, GRANT, PUT, RENEW]),
        ([LONGER_KEY, LEASED], [FIRST_READ, GRANT, PUT]),
        (
            [OWN_ENTRY, LeaseEnded(), LEASED, PutResult(8)],
            [FIRST_READ, RENEW, GRANT, PUT, RENEW],
        ),
        ([EMPTY, LEASED, LeaseEnded(), LEASED], [FIRST_READ, GRANT, PUT, GRANT, PUT]),
        (
            [TIMED_OUT, TIMED_OUT, REFUSED, EMPTY],
            [FIRST_READ, READ_KEY, READ_KEY, READ_KEY, GRANT],
        ),
        (
            [EMPTY, LEASED, TIMED_OUT, PutResult(8)],
            [FIRST_READ, GRANT, PUT, PUT, RENEW],
        ),
        # After an outage the agent checks whether its entry still exists.
        (
            [OWN_ENTRY, TIMED_OUT, TIMED_OUT, LEASED, OWN_ENTRY],
            [FIRST_READ, RENEW, RENEW, RENEW, READ_KEY, RENEW],
        ),
        (
            [OWN_ENTRY, REFUSED, LEASED, EMPTY],
            [FIRST_READ, RENEW, RENEW, READ_KEY, PUT],
        ),
        (
            [OWN_ENTRY, REFUSED, LeaseEnded(), LEASED, PutResult(8)],
            [FIRST_READ, RENEW, RENEW, GRANT, PUT, RENEW],
        ),
        # Ids of leases are given out again after a restoration of the store.
        (
            [EMPTY, LEASED, PutResult(8), RESTORED, EMPTY, LEASED],
            [FIRST_READ, GRANT, PUT, RENEW, READ_KEY, GRANT, PUT],
        ),
        (
            [EMPTY, LEASED, PutResult(8), RESTORED, OWN_ENTRY, LEASED],
            [FIRST_READ, GRANT, PUT, RENEW, READ_KEY, RENEW, RENEW],
        ),
        (
            [EMPTY, LEASED, PutResult(8), TIMED_OUT, RESTORED, EMPTY, LEASED],
            [FIRST_READ, GRANT, PUT, RENEW, RENEW, READ_KEY, GRANT, PUT],
        ),
        # The entry may be attached to another agent's lease.
        (
            [EMPTY, LEASED, StoreRestored(2, PutResult(4)), LEASED, PutResult(5)],
            [FIRST_READ, GRANT, PUT, GRANT, PUT, RENEW],
        ),
        (
            [EMPTY, StoreRestored(2, LEASED), LEASED, PutResult(5)],
            [FIRST_READ, GRANT, GRANT, PUT, RENEW],
        ),
    ],
)
def test_registrar_calls(answers, calls):
    """Calls while balancers that have read the entry send frames."""
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    registrar.on_frame(HEARD, LEASE_TTL_MS)
    assert run_calls(registrar, answers) == calls


@pytest.mark.parametrize(
    ("frame", "answers", "calls"),
    [
        # No balancer that has read the entry would notice that it is missing.
        (None, [LEASED, OWN_ENTRY, LEASED], [RENEW, CHECK, RENEW, CHECK]),
        (None, [LEASED, EMPTY, OWN_ENTRY], [RENEW, CHECK, READ_KEY, RENEW]),
        (None, [LEASED, EMPTY, EMPTY], [RENEW, CHECK, READ_KEY, PUT]),
        (None, [LEASED, TIMED_OUT, EMPTY], [RENEW, CHECK, CHECK, READ_KEY]),
        (FORWARDED, [LEASED, EMPTY, EMPTY], [RENEW, CHECK, READ_KEY, PUT]),
        (HEARD, [LEASED], [RENEW, RENEW]),
    ],
)
def test_an_agent_that_no_balancer_contacts_checks_its_entry(frame, answers, calls):
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, [EMPTY, LEASED, PutResult(8)])
    if frame is not None:
        registrar.on_frame(frame, registrar.due_at)
    assert run_calls(registrar, answers) == calls


def test_a_missing_entry_is_restored_in_time_without_contact():
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, [EMPTY, LEASED, PutResult(8)])
    assert registrar.due_at <= CHECK_INTERVAL_MS < MISSING_GRACE_MS


def test_a_renewal_is_due_well_before_the_lease_ends():
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, [EMPTY, LEASED, PutResult(8)])
    assert 0 < registrar.due_at <= RENEW_INTERVAL_MS < LEASE_TTL_MS / 3


@pytest.mark.parametrize("failure", [TIMED_OUT, REFUSED])
def test_retry_delay_during_an_outage_is_limited(failure):
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, [EMPTY, LEASED, PutResult(8)])
    now = registrar.due_at
    for _ in range(30):
        timed = registrar.next_call()
        assert INITIAL_TIMEOUT_MS <= timed.timeout_ms <= MAX_TIMEOUT_MS
        registrar.on_answer(timed.call, failure, now)
        assert registrar.due_at - now <= MAX_RETRY_DELAY_MS
        now = registrar.due_at


@pytest.mark.parametrize(
    ("before", "calls"),
    [
        ([EMPTY, LEASED, PutResult(8)], PUT),
        ([], FIRST_READ),
    ],
)
def test_restore(before, calls):
    """Restoring writes the entry again, unless it hasn't been read yet."""
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, before)
    registrar.restore(50)
    assert registrar.next_call().call == calls
    assert registrar.due_at <= 50


@pytest.mark.parametrize(
    ("restores", "puts"),
    [
        ([50], 1),
        # Balancers notice a missing entry at about the same time.
        ([50, 60, 700], 1),
        ([50, 50 + MIN_RESTORE_INTERVAL_MS], 2),
    ],
)
def test_restorations_are_at_least_a_second_apart(restores, puts):
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, [EMPTY, LEASED, PutResult(8)])
    calls = []
    for now in restores:
        registrar.restore(now)
        if registrar.due_at <= now:
            calls.append(registrar.next_call().call)
            registrar.on_answer(calls[-1], PutResult(9), now)
    assert calls == [PUT] * puts


def test_an_entry_that_is_missing_again_is_restored_a_second_later():
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, [EMPTY, LEASED, PutResult(8)])
    registrar.restore(50)
    registrar.on_answer(registrar.next_call().call, PutResult(9), 52)
    registrar.restore(60)
    assert registrar.due_at == 50 + MIN_RESTORE_INTERVAL_MS
    assert registrar.next_call().call == PUT


def test_an_entry_found_missing_during_a_renewal_is_stored_at_once():
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, [EMPTY, LEASED, PutResult(8)])
    now = registrar.due_at
    renewal = registrar.next_call().call
    registrar.restore(now + 1)
    registrar.on_answer(renewal, LEASED, now + 2)
    assert registrar.due_at <= now + 2
    assert registrar.next_call().call == PUT


def test_end_removes_the_entry_once():
    registrar = EntryRegistrar(KEY, VALUE, Random(1))
    run_calls(registrar, [EMPTY, LEASED, PutResult(8)])
    registrar.end(50)
    assert registrar.next_call().call == EndLease(5)
    assert not registrar.is_ended
    registrar.on_answer(EndLease(5), LeaseEnded(), 60)
    assert registrar.is_ended
    assert registrar.next_call() is None


@pytest.mark.parametrize(
    ("before", "limit_ms"),
    [([], MAX_FIRST_READ_RETRY_MS), ([RangeResult((), False, 5)], MAX_RETRY_DELAY_MS)],
)
def test_first_read_has_a_shorter_retry_limit(before, limit_ms):
    watcher = PrefixWatcher(
        "p/", lambda _: None, lambda _: None, Random(1), lambda: MIN_INTERVAL_MS
    )
    run_calls(watcher, before)
    longest, now = 0, 0
    for _ in range(60):
        watcher.on_answer(watcher.next_call().call, REFUSED, now)
        longest = max(longest, watcher.due_at - now)
        now = watcher.due_at
    assert limit_ms / 2 < longest <= limit_ms


A, B, C = (StoredItem(name, b"v", 3, 0) for name in ("p/a", "p/b", "p/c"))
MIN_INTERVAL_MS = 300
READ = ReadRange("p/")


def watch(after):
    return WatchPrefix("p/", after, WATCH_TIMEOUT_MS)


@pytest.mark.parametrize(
    ("answers", "calls", "delivered"),
    [
        ([RangeResult((A,), False, 5)], [READ, watch(5)], [(A,)]),
        (
            [RangeResult((A, B), True, 5), RangeResult((C,), False, 9)],
            [READ, ReadRange("p/", "p/b"), watch(5)],
            [(A, B, C)],
        ),
        (
            [RangeResult((), False, 5), WatchResult((B,), 8), WatchResult((), 20)],
            [READ, watch(5), watch(8), watch(8)],
            [(), (B,)],
        ),
        (
            [RangeResult((), False, 5), WatchResult((RemovedItem("p/a", 6),), 6)],
            [READ, watch(5), watch(6)],
            [(), (RemovedItem("p/a", 6),)],
        ),
        (
            [
                RangeResult((), False, 5),
                HistoryCompacted(),
                RangeResult((A,), False, 9),
            ],
            [READ, watch(5), READ, watch(9)],
            [(), (A,)],
        ),
        # Revisions are given out again after a restoration of the store.
        (
            [
                RangeResult((), False, 5),
                StoreRestored(2, WatchResult((B,), 8)),
                RangeResult((A, B), False, 9),
            ],
            [READ, watch(5), READ, watch(9)],
            [(), (A, B)],
        ),
        (
            [
                RangeResult((), False, 5),
                StoreRestored(2, HistoryCompacted()),
                RangeResult((A,), False, 4),
            ],
            [READ, watch(5), READ, watch(4)],
            [(), (A,)],
        ),
        # Pages of different eras don't belong together.
        (
            [
                RangeResult((A,), True, 5),
                StoreRestored(2, RangeResult((B,), False, 4)),
                RangeResult((C,), False, 4),
            ],
            [READ, ReadRange("p/", "p/a"), READ, watch(4)],
            [(C,)],
        ),
        (
            [
                RangeResult((), False, 5),
                TIMED_OUT,
                StoreRestored(2, RangeResult((A,), False, 4)),
            ],
            [READ, watch(5), READ, watch(4)],
            [(), (A,)],
        ),
        # A failed watch may have missed writes that the history no longer has.
        (
            [RangeResult((), False, 5), TIMED_OUT, RangeResult((A,), False, 9)],
            [READ, watch(5), READ, watch(9)],
            [(), (A,)],
        ),
        ([TIMED_OUT, REFUSED, TIMED_OUT], [READ, READ, READ, READ], []),
        # After a failure between pages, reading continues after the last page.
        (
            [RangeResult((A,), True, 5), TIMED_OUT, RangeResult((B,), False, 6)],
            [READ, ReadRange("p/", "p/a"), ReadRange("p/", "p/a"), watch(5)],
            [(A, B)],
        ),
    ],
)
def test_watcher_calls(answers, calls, delivered):
    received = []
    watcher = PrefixWatcher(
        "p/", received.append, received.append, Random(1), lambda: MIN_INTERVAL_MS
    )
    assert run_calls(watcher, answers) == calls
    assert received == delivered


def test_watches_with_writes_are_spaced():
    watcher = PrefixWatcher(
        "p/", lambda _: None, lambda _: None, Random(1), lambda: MIN_INTERVAL_MS
    )
    run_calls(watcher, [RangeResult((), False, 5)])
    watcher.on_answer(watch(5), WatchResult((A,), 6), 1_000)
    assert watcher.due_at == 1_000 + MIN_INTERVAL_MS


def test_refresh_reads_again_only_while_watching():
    watcher = PrefixWatcher(
        "p/", lambda _: None, lambda _: None, Random(1), lambda: MIN_INTERVAL_MS
    )
    assert not watcher.refresh(0)
    run_calls(watcher, [RangeResult((), False, 5)])
    assert watcher.refresh(70)
    assert (watcher.next_call().call, watcher.due_at) == (READ, 70)


@pytest.mark.parametrize(
    ("answers", "timeouts_ms"),
    [
        # Probes find out soon that a silent store is back; a slow one has time too.
        (
            [TIMED_OUT] * 8,
            [300, 500, 300, 1_000, 300, 2_000, 300, 4_000, 300],
        ),
        ([REFUSED, REFUSED], [300, 500, 300]),
        # Once there is a list of agents, the balancer serves without the store.
        ([EMPTY, TIMED_OUT, TIMED_OUT], [300, None, 1_000, 2_000]),
    ],
)
def test_every_second_attempt_of_the_first_read_is_a_short_probe(answers, timeouts_ms):
    watcher = PrefixWatcher(
        "p/", lambda _: None, lambda _: None, Random(1), lambda: MIN_INTERVAL_MS
    )
    timeouts = []
    for answer in (*answers, None):
        timed = watcher.next_call()
        is_watch = isinstance(timed.call, WatchPrefix)
        timeouts.append(None if is_watch else timed.timeout_ms)
        if answer is not None:
            watcher.on_answer(timed.call, answer, watcher.due_at)
    assert timeouts == timeouts_ms


@pytest.mark.parametrize("failure", [TIMED_OUT, REFUSED])
def test_the_retry_delay_of_later_reads_has_a_limit_of_its_own(failure):
    limit_ms = Millis(2 * MAX_RETRY_DELAY_MS)
    watcher = PrefixWatcher(
        "p/",
        lambda _: None,
        lambda _: None,
        Random(1),
        lambda: MIN_INTERVAL_MS,
        limit_ms,
    )
    run_calls(watcher, [EMPTY])
    delays, now = [], 0
    for _ in range(60):
        watcher.on_answer(watcher.next_call().call, failure, now)
        delays.append(watcher.due_at - now)
        now = watcher.due_at
    assert MAX_RETRY_DELAY_MS < max(delays) <= limit_ms
