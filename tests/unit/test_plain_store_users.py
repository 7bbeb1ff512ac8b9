"""The life of an agent's entry, and how the store's keys are followed."""

from random import Random

import pytest

from papayagw._internal.core.plain.entry_keeper import (
    LEASE_MS,
    RENEW_MS,
    RESTORE_GAP_MS,
    EntryKeeper,
)
from papayagw._internal.core.plain.following import (
    FIRST_READ_RETRY_MS,
    WATCH_MS,
    Follower,
)
from papayagw._internal.core.plain.store_calls import (
    FIRST_TIMEOUT_MS,
    LONGEST_RETRY_MS,
    LONGEST_TIMEOUT_MS,
)
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    EndLease,
    GrantLease,
    HistoryGone,
    Leased,
    LeaseGone,
    PutKey,
    RangeRead,
    ReadRange,
    RemovedItem,
    RenewLease,
    StoredItem,
    Watched,
    WatchPrefix,
    Written,
)

KEY, VALUE = "papayagw/agents/a", b"value"
NOTHING = RangeRead((), False, 7)
OWN = RangeRead((StoredItem(KEY, VALUE, 6, 5),), False, 7)
OTHER_VALUE = RangeRead((StoredItem(KEY, b"older", 6, 5),), False, 7)
LONGER_KEY = RangeRead((StoredItem(KEY + "b", VALUE, 6, 5),), False, 7)
LOST = CallFailed("no answer")
REFUSED = CallFailed("status 503", refused=True)

PUT = PutKey(KEY, VALUE, 5)
RENEW = RenewLease(5)
GRANT = GrantLease(LEASE_MS)
LOOK = ReadRange(KEY)
LEASED = Leased(5, LEASE_MS)


def play(keeper, answers):
    """Give each answer to the call that was made; return the calls."""
    calls = []
    now = 0
    for answer in answers:
        now = max(now, keeper.due_at)
        call = keeper.next_call().call
        calls.append(call)
        keeper.on_answer(call, answer, now)
    return [*calls, getattr(keeper.next_call(), "call", None)]


@pytest.mark.parametrize(
    ("answers", "calls"),
    [
        ([NOTHING, LEASED, Written(8)], [LOOK, GRANT, PUT, RENEW]),
        ([OWN, LEASED], [LOOK, RENEW, RENEW]),
        ([OTHER_VALUE, LEASED, Written(8)], [LOOK, GRANT, PUT, RENEW]),
        ([LONGER_KEY, LEASED], [LOOK, GRANT, PUT]),
        ([OWN, LeaseGone(), LEASED, Written(8)], [LOOK, RENEW, GRANT, PUT, RENEW]),
        ([NOTHING, LEASED, LeaseGone(), LEASED], [LOOK, GRANT, PUT, GRANT, PUT]),
        ([LOST, LOST, REFUSED, NOTHING], [LOOK, LOOK, LOOK, LOOK, GRANT]),
        ([NOTHING, LEASED, LOST, Written(8)], [LOOK, GRANT, PUT, PUT, RENEW]),
        # After an outage the agent looks whether its entry is still there.
        ([OWN, LOST, LOST, LEASED, OWN], [LOOK, RENEW, RENEW, RENEW, LOOK, RENEW]),
        ([OWN, REFUSED, LEASED, NOTHING], [LOOK, RENEW, RENEW, LOOK, PUT]),
        (
            [OWN, REFUSED, LeaseGone(), LEASED, Written(8)],
            [LOOK, RENEW, RENEW, GRANT, PUT, RENEW],
        ),
    ],
)
def test_keeper_calls(answers, calls):
    assert play(EntryKeeper(KEY, VALUE, Random(1)), answers) == calls


def test_a_renewal_is_due_well_before_the_lease_ends():
    keeper = EntryKeeper(KEY, VALUE, Random(1))
    play(keeper, [NOTHING, LEASED, Written(8)])
    assert 0 < keeper.due_at <= RENEW_MS < LEASE_MS / 3


@pytest.mark.parametrize("failure", [LOST, REFUSED])
def test_an_outage_is_tried_again_within_the_time_to_be_back(failure):
    keeper = EntryKeeper(KEY, VALUE, Random(1))
    play(keeper, [NOTHING, LEASED, Written(8)])
    now = keeper.due_at
    for _ in range(30):
        timed = keeper.next_call()
        assert FIRST_TIMEOUT_MS <= timed.timeout_ms <= LONGEST_TIMEOUT_MS
        keeper.on_answer(timed.call, failure, now)
        assert keeper.due_at - now <= LONGEST_RETRY_MS
        now = keeper.due_at


@pytest.mark.parametrize(
    ("before", "calls"),
    [
        ([NOTHING, LEASED, Written(8)], PUT),
        ([], LOOK),
    ],
)
def test_restore(before, calls):
    keeper = EntryKeeper(KEY, VALUE, Random(1))
    play(keeper, before)
    keeper.restore(50)
    assert keeper.next_call().call == calls
    assert keeper.due_at <= 50


@pytest.mark.parametrize(
    ("restores", "puts"),
    [
        ([50], 1),
        # Balancers notice at about the same time.
        ([50, 60, 700], 1),
        ([50, 50 + RESTORE_GAP_MS], 2),
    ],
)
def test_an_entry_is_restored_once_a_second_for_all_who_miss_it(restores, puts):
    keeper = EntryKeeper(KEY, VALUE, Random(1))
    play(keeper, [NOTHING, LEASED, Written(8)])
    calls = []
    for now in restores:
        keeper.restore(now)
        if keeper.due_at <= now:
            calls.append(keeper.next_call().call)
            keeper.on_answer(calls[-1], Written(9), now)
    assert calls == [PUT] * puts


def test_an_entry_that_is_missing_again_is_restored_a_second_later():
    keeper = EntryKeeper(KEY, VALUE, Random(1))
    play(keeper, [NOTHING, LEASED, Written(8)])
    keeper.restore(50)
    keeper.on_answer(keeper.next_call().call, Written(9), 52)
    keeper.restore(60)
    assert keeper.due_at == 50 + RESTORE_GAP_MS
    assert keeper.next_call().call == PUT


def test_an_entry_found_missing_during_a_renewal_is_stored_at_once():
    keeper = EntryKeeper(KEY, VALUE, Random(1))
    play(keeper, [NOTHING, LEASED, Written(8)])
    now = keeper.due_at
    renewal = keeper.next_call().call
    keeper.restore(now + 1)
    keeper.on_answer(renewal, LEASED, now + 2)
    assert keeper.due_at <= now + 2
    assert keeper.next_call().call == PUT


def test_end_removes_the_entry_once():
    keeper = EntryKeeper(KEY, VALUE, Random(1))
    play(keeper, [NOTHING, LEASED, Written(8)])
    keeper.end(50)
    assert keeper.next_call().call == EndLease(5)
    assert not keeper.is_ended
    keeper.on_answer(EndLease(5), LeaseGone(), 60)
    assert keeper.is_ended
    assert keeper.next_call() is None


@pytest.mark.parametrize(
    ("before", "limit_ms"),
    [([], FIRST_READ_RETRY_MS), ([RangeRead((), False, 5)], LONGEST_RETRY_MS)],
)
def test_the_first_read_is_tried_sooner_than_later_ones(before, limit_ms):
    follower = Follower("p/", lambda _: None, lambda _: None, Random(1), GAP_MS)
    play(follower, before)
    longest, now = 0, 0
    for _ in range(60):
        follower.on_answer(follower.next_call().call, REFUSED, now)
        longest = max(longest, follower.due_at - now)
        now = follower.due_at
    assert limit_ms / 2 < longest <= limit_ms


A, B, C = (StoredItem(name, b"v", 3, 0) for name in ("p/a", "p/b", "p/c"))
GAP_MS = 300
READ = ReadRange("p/")


def watch(after):
    return WatchPrefix("p/", after, WATCH_MS)


@pytest.mark.parametrize(
    ("answers", "calls", "told"),
    [
        ([RangeRead((A,), False, 5)], [READ, watch(5)], [(A,)]),
        (
            [RangeRead((A, B), True, 5), RangeRead((C,), False, 9)],
            [READ, ReadRange("p/", "p/b"), watch(5)],
            [(A, B, C)],
        ),
        (
            [RangeRead((), False, 5), Watched((B,), 8), Watched((), 20)],
            [READ, watch(5), watch(8), watch(8)],
            [(), (B,)],
        ),
        (
            [RangeRead((), False, 5), Watched((RemovedItem("p/a", 6),), 6)],
            [READ, watch(5), watch(6)],
            [(), (RemovedItem("p/a", 6),)],
        ),
        (
            [RangeRead((), False, 5), HistoryGone(), RangeRead((A,), False, 9)],
            [READ, watch(5), READ, watch(9)],
            [(), (A,)],
        ),
        # A cut watch may have missed writes that the history has lost since.
        (
            [RangeRead((), False, 5), LOST, RangeRead((A,), False, 9)],
            [READ, watch(5), READ, watch(9)],
            [(), (A,)],
        ),
        ([LOST, REFUSED, LOST], [READ, READ, READ, READ], []),
        # A cut between pages begins anew with what is missing.
        (
            [RangeRead((A,), True, 5), LOST, RangeRead((B,), False, 6)],
            [READ, ReadRange("p/", "p/a"), ReadRange("p/", "p/a"), watch(5)],
            [(A, B)],
        ),
    ],
)
def test_follower(answers, calls, told):
    heard = []
    follower = Follower("p/", heard.append, heard.append, Random(1), GAP_MS)
    assert play(follower, answers) == calls
    assert heard == told


def test_writes_gather_between_two_watches():
    follower = Follower("p/", lambda _: None, lambda _: None, Random(1), GAP_MS)
    play(follower, [RangeRead((), False, 5)])
    follower.on_answer(watch(5), Watched((A,), 6), 1_000)
    assert follower.due_at == 1_000 + GAP_MS


def test_refresh_reads_anew_only_what_is_watched():
    follower = Follower("p/", lambda _: None, lambda _: None, Random(1), GAP_MS)
    assert not follower.refresh(0)
    play(follower, [RangeRead((), False, 5)])
    assert follower.refresh(70)
    assert (follower.next_call().call, follower.due_at) == (READ, 70)
