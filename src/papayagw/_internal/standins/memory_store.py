"""In-memory substitute for the platform's store, for tests and benchmarks."""

from collections.abc import Callable

import anyio
from returns.result import Failure, Result, Success

from papayagw._internal.exceptions import (
    PlatformError,
    PlatformUnreachableError,
    Step,
)
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.standins.faults import CallCounts
from papayagw._internal.standins.key_values import KeyValue, KeyValues
from papayagw._internal.store.protocol import (
    Conflict,
    Entry,
    Snapshot,
    Swapped,
    SwapResult,
)


class MemoryStore:
    """In-memory store that counts calls and injects faults.

    Parameters
    ----------
    clock : Clock
        Source of the current time, for the expiry of leases.
    """

    def __init__(self, clock: Clock):
        self._values = KeyValues(clock)
        self._counts = CallCounts()
        self._is_down = False
        self._responses_to_lose = 0

    @property
    def values(self) -> KeyValues:
        """Content of the store."""
        return self._values

    @property
    def counts(self) -> CallCounts:
        """Number of calls by kind."""
        return self._counts

    def set_outage(self, is_down: bool) -> None:
        """Start or end an outage, during which all calls fail."""
        self._is_down = is_down
        self._values.notify_listeners()

    def lose_responses(self, count: int) -> None:
        """Let the next `count` calls of `swap` fail after they took effect."""
        self._responses_to_lose = count

    async def get(
        self, key: str, timeout_ms: Millis
    ) -> Result[Snapshot, PlatformError]:
        """Return the entry of `key` and the revision of the store."""
        self._counts.add("get")
        await anyio.lowlevel.checkpoint()
        if self._is_down:
            return Failure(_make_outage_error())
        return Success(Snapshot(self._find(key), self._values.revision))

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, timeout_ms: Millis
    ) -> Result[SwapResult, PlatformError]:
        """Write `value` if `key` is at revision `expected`, else return a conflict."""
        self._counts.add("swap")
        await anyio.lowlevel.checkpoint()
        if self._is_down:
            return Failure(_make_outage_error())
        swapped = self._values.swap(key.encode(), value, expected)
        if self._responses_to_lose > 0:
            self._responses_to_lose -= 1
            return Failure(_make_outage_error())
        if swapped:
            return Success(Swapped(self._values.revision))
        return Success(Conflict(self._find(key)))

    async def watch(
        self,
        key: str,
        after: int,
        on_entry: Callable[[Entry], None],
        timeout_ms: Millis,
    ) -> Result[int, PlatformError]:
        """Call `on_entry` for each change of `key` after revision `after`.

        A deletion, also one by an expired lease, is reported with an empty value.
        Returns the revision of the store after `timeout_ms`, or earlier if a restored
        snapshot has lowered the revision; fails as soon as an outage starts.
        """
        self._counts.add("watch")
        seen = after
        changed = anyio.Event()

        def on_change() -> None:
            changed.set()

        self._values.add_listener(on_change)
        try:
            with anyio.move_on_after(to_seconds(timeout_ms)):
                while self._values.revision >= seen and not self._is_down:
                    for event in self._values.find_events(key.encode(), seen + 1):
                        on_entry(_make_entry(event.key_value))
                    seen = self._values.revision
                    changed = anyio.Event()
                    await changed.wait()
        finally:
            self._values.remove_listener(on_change)
        if self._is_down:
            return Failure(_make_outage_error())
        return Success(self._values.revision)

    async def close(self) -> None:
        """Do nothing, as there is no connection to close."""

    def _find(self, key: str) -> Entry | None:
        found = self._values.find(key.encode())
        return _make_entry(found[0]) if found else None


def _make_entry(key_value: KeyValue) -> Entry:
    return Entry(key_value.value, key_value.modified)


def _make_outage_error() -> PlatformUnreachableError:
    return PlatformUnreachableError(
        "in-memory store is unavailable (injected outage)",
        step=Step.PLATFORM,
        peer="memory",
    )
