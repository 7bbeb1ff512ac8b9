"""The platform's service in the memory of one process, for tests and measurements."""

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
    """A store whose calls are counted and can be made to fail.

    Parameters
    ----------
    clock : Clock
        The time, for leases.
    """

    def __init__(self, clock: Clock):
        self._values = KeyValues(clock)
        self._counts = CallCounts()
        self._is_down = False
        self._lost_answers = 0

    @property
    def values(self) -> KeyValues:
        """What it holds."""
        return self._values

    @property
    def counts(self) -> CallCounts:
        """The calls so far."""
        return self._counts

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage."""
        self._is_down = is_down
        self._values.tell()

    def lose_answers(self, count: int) -> None:
        """Let the next writes take effect and then fail."""
        self._lost_answers = count

    async def get(
        self, key: str, timeout_ms: Millis
    ) -> Result[Snapshot, PlatformError]:
        """Return what `key` holds."""
        self._counts.add("get")
        await anyio.lowlevel.checkpoint()
        if self._is_down:
            return Failure(_make_outage())
        return Success(Snapshot(self._find(key), self._values.revision))

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, timeout_ms: Millis
    ) -> Result[SwapResult, PlatformError]:
        """Write `value` if `key` still has the revision `expected`."""
        self._counts.add("swap")
        await anyio.lowlevel.checkpoint()
        if self._is_down:
            return Failure(_make_outage())
        swapped = self._values.swap(key.encode(), value, expected)
        if self._lost_answers > 0:
            self._lost_answers -= 1
            return Failure(_make_outage())
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
        """Hear of each write of `key` until `timeout_ms` has passed."""
        self._counts.add("watch")
        seen = after
        changed = anyio.Event()

        def on_change() -> None:
            changed.set()

        self._values.listen(on_change)
        try:
            with anyio.move_on_after(to_seconds(timeout_ms)):
                while self._values.revision >= seen and not self._is_down:
                    for event in self._values.find_events(key.encode(), seen + 1):
                        on_entry(_make_entry(event.key_value))
                    seen = self._values.revision
                    changed = anyio.Event()
                    await changed.wait()
        finally:
            self._values.unlisten(on_change)
        if self._is_down:
            return Failure(_make_outage())
        return Success(self._values.revision)

    async def close(self) -> None:
        """Do nothing: no connection is open."""

    def _find(self, key: str) -> Entry | None:
        found = self._values.find(key.encode())
        return _make_entry(found[0]) if found else None


def _make_entry(key_value: KeyValue) -> Entry:
    return Entry(key_value.value, key_value.modified)


def _make_outage() -> PlatformUnreachableError:
    return PlatformUnreachableError("an outage", step=Step.PLATFORM, peer="memory")
