"""Following of the keys under a prefix of the store: read once, then watched."""

from collections.abc import Callable
from random import Random

from papayagw._internal.core.plain.store_calls import (
    MAX_RETRY_DELAY_MS,
    RetrySchedule,
    TimedCall,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    HistoryCompacted,
    RangeResult,
    ReadRange,
    StoreAnswer,
    StoreCall,
    StoredItem,
    StoreEvent,
    WatchPrefix,
    WatchResult,
)

WATCH_TIMEOUT_MS = Millis(10_000)
"""How long one watch waits: a quiet node calls the store six times a minute."""

WATCH_MARGIN_MS = Millis(1_000)
"""How much later than asked a watch may answer before its connection counts as dead."""

MAX_FIRST_READ_RETRY_MS = Millis(300)
"""Limit of the wait between tries until the first read: nothing is served till then."""

OnSnapshot = Callable[[tuple[StoredItem, ...]], None]
OnEvents = Callable[[tuple[StoreEvent, ...]], None]


class PrefixWatcher:
    """Keeps up with the keys under one prefix.

    Parameters
    ----------
    prefix : str
        What the keys begin with.
    on_snapshot : callable
        Takes all items after a read.
    on_events : callable
        Takes the writes of a watch, in order.
    random : Random
        The source of the jitter.
    gap_ms : Millis
        The shortest time between two watches, in which writes gather.
    """

    def __init__(
        self,
        prefix: str,
        on_snapshot: OnSnapshot,
        on_events: OnEvents,
        random: Random,
        min_interval_ms: Millis,
    ):
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_events = on_events
        self._min_interval_ms = min_interval_ms
        self._retry_schedule = RetrySchedule(random, MAX_FIRST_READ_RETRY_MS)
        self._due_at = Millis(0)
        self._revision: int | None = None
        self._pages: list[StoredItem] = []
        self._first_revision = 0

    @property
    def due_at(self) -> Millis:
        """When the next call is due."""
        return self._due_at

    def next_call(self) -> TimedCall:
        """Return the call to make now."""
        timeout_ms = self._retry_schedule.timeout_ms
        if self._revision is None:
            after = self._pages[-1].key if self._pages else ""
            return TimedCall(ReadRange(self._prefix, after), timeout_ms)
        wait_ms = Millis(WATCH_TIMEOUT_MS + WATCH_MARGIN_MS + timeout_ms)
        return TimedCall(
            WatchPrefix(self._prefix, self._revision, WATCH_TIMEOUT_MS), wait_ms
        )

    def on_answer(self, call: StoreCall, answer: StoreAnswer, now: Millis) -> None:
        """Take in the answer to the last call."""
        match answer:
            case RangeResult():
                self._retry_schedule.succeed()
                self._retry_schedule.set_max_retry_delay(MAX_RETRY_DELAY_MS)
                self._add_page(answer)
                self._due_at = now
            case WatchResult(events, revision):
                self._retry_schedule.succeed()
                self._due_at = now
                if events:
                    # A watch without events may have missed some: only one that
                    # told of writes moves the revision on.
                    self._revision = max(revision, self._revision or 0)
                    self._due_at = Millis(now + self._min_interval_ms)
                    self._on_events(events)
            case HistoryCompacted():
                self.restart(now)
            case CallFailed():
                # What was written meanwhile may be missing from the history.
                self._revision = None
                self._due_at = Millis(now + self._retry_schedule.fail(answer))
            case _:
                failure = CallFailed(f"unexpected answer {answer!r}")
                self._due_at = Millis(now + self._retry_schedule.fail(failure))

    def refresh(self, now: Millis) -> bool:
        """Read all keys anew if they are being watched; return whether they are."""
        if self._revision is None:
            return False
        self.restart(now)
        return True

    def restart(self, now: Millis) -> None:
        """Read all keys anew."""
        self._revision = None
        self._pages = []
        self._due_at = now

    def _add_page(self, page: RangeResult) -> None:
        if not self._pages:
            # Later pages may be newer: the watch goes on from the oldest.
            self._first_revision = page.store_revision
        self._pages += page.items
        if page.has_more and page.items:
            return
        items, self._pages = tuple(self._pages), []
        self._revision = self._first_revision
        self._on_snapshot(items)
