import anyio
import pytest

from papayagw._internal.exceptions import PlatformError, PlatformUnreachableError
from papayagw._internal.models.clock import Millis
from papayagw._internal.standins.key_values import KeyValues
from papayagw._internal.store.protocol import (
    MAX_VALUE_BYTES,
    Conflict,
    Entry,
    Snapshot,
    Swapped,
)
from tests.lib.samples import ManualClock
from tests.lib.stores import open_http_store, open_memory_store

LONG = Millis(5_000)
SHORT = Millis(50)
KEY = "papayagw/test"

over_both_stores = pytest.mark.parametrize(
    "open_store", [open_memory_store, open_http_store], ids=["memory", "http"]
)


def run(open_store, body):
    async def main():
        async with open_store() as (store, control):
            await body(store, control)

    anyio.run(main)


@over_both_stores
def test_swap_takes_effect_only_at_the_expected_revision(open_store):
    async def body(store, control):
        found = (await store.get(KEY, LONG)).unwrap()
        assert found.entry is None
        first = (await store.compare_and_swap(KEY, b"one", 0, LONG)).unwrap()
        assert isinstance(first, Swapped)
        held = Entry(b"one", first.revision)
        assert (
            await store.compare_and_swap(KEY, b"two", 0, LONG)
        ).unwrap() == Conflict(held)
        response = await store.get(KEY, LONG)
        assert response.unwrap() == Snapshot(held, first.revision)
        second = (
            await store.compare_and_swap(KEY, b"two", first.revision, LONG)
        ).unwrap()
        assert second.revision > first.revision

    run(open_store, body)


@over_both_stores
def test_lost_answer_is_unreachable_though_the_write_took_effect(open_store):
    async def body(store, control):
        await control.set_faults(lost_answers=1)
        lost = await store.compare_and_swap(KEY, b"one", 0, LONG)
        assert isinstance(lost.failure(), PlatformUnreachableError)
        assert (await store.get(KEY, LONG)).unwrap().entry.value == b"one"

    run(open_store, body)


@over_both_stores
def test_outage_fails_every_call(open_store):
    async def body(store, control):
        await control.set_faults(outage=True)
        for response in (
            await store.get(KEY, LONG),
            await store.compare_and_swap(KEY, b"one", 0, LONG),
            await store.watch(KEY, 0, lambda _: None, LONG),
        ):
            assert isinstance(response.failure(), PlatformUnreachableError)

    run(open_store, body)


@over_both_stores
def test_watch_reports_earlier_and_later_writes_in_order(open_store):
    async def body(store, control):
        start = (await store.get(KEY, LONG)).unwrap().revision
        first = (await store.compare_and_swap(KEY, b"one", 0, LONG)).unwrap()
        received = []
        two_received = anyio.Event()

        def on_entry(entry):
            received.append(entry.value)
            if len(received) == 2:
                two_received.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(store.watch, KEY, start, on_entry, LONG)
            await store.compare_and_swap(KEY, b"two", first.revision, LONG)
            await two_received.wait()
            tasks.cancel_scope.cancel()
        assert received == [b"one", b"two"]

    run(open_store, body)


@over_both_stores
def test_watch_of_a_restored_store_returns_a_lower_revision(open_store):
    async def body(store, control):
        await control.save_snapshot()
        written = (await store.compare_and_swap(KEY, b"one", 0, LONG)).unwrap()
        await control.restore()
        revision = await store.watch(KEY, written.revision, lambda _: None, LONG)
        assert revision.unwrap() < written.revision

    run(open_store, body)


def test_watch_ends_at_its_timeout():
    async def body(store, control):
        revision = await store.watch(KEY, 1, lambda _: None, SHORT)
        assert revision.unwrap() == 1

    run(open_http_store, body)


@pytest.mark.parametrize("fault", ["delay_ms", "answer_delay_ms"])
def test_slow_service_is_unreachable(fault):
    async def body(store, control):
        await control.set_faults(**{fault: 60_000})
        response = await store.compare_and_swap(KEY, b"one", 0, SHORT)
        assert isinstance(response.failure(), PlatformUnreachableError)

    run(open_http_store, body)


def test_too_large_value_is_refused_before_it_is_sent():
    async def body(store, control):
        response = await store.compare_and_swap(
            KEY, bytes(MAX_VALUE_BYTES + 1), 0, LONG
        )
        assert not isinstance(response.failure(), PlatformUnreachableError)
        assert isinstance(response.failure(), PlatformError)
        assert str(MAX_VALUE_BYTES) in str(response.failure())

    run(open_http_store, body)


@pytest.mark.parametrize(("waited", "is_there"), [(9_999, True), (10_000, False)])
def test_expired_lease_deletes_its_keys(waited, is_there):
    clock = ManualClock()
    values = KeyValues(clock)
    lease = values.grant_lease(10)
    values.put(b"key", b"value", lease.lease_id)
    clock.advance(waited)
    assert bool(values.find(b"key")) is is_there
    assert (values.renew_lease(lease.lease_id) is not None) is is_there
