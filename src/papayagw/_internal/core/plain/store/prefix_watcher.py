"""Watcher of the store's keys under a prefix: initial read, then watches."""

from collections.abc import Callable
from random import Random

from papayagw._internal.core.plain.store.store_calls import (
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
    StoreRestored,
    WatchPrefix,
    WatchResult,
)

WATCH_TIMEOUT_MS = Millis(10_000)
"""Default time for which the store waits for a write before it answers a watch.

Without writes, each watcher makes six calls a minute.
"""

WATCH_MARGIN_MS = Millis(500)
"""Time after the end of a watch at which its connection counts as dead.

The timeout of a usual call is added to it.
"""

MAX_FIRST_READ_RETRY_MS = Millis(300)
"""Upper limit of the retry delay until the first read.

Shorter than `MAX_RETRY_DELAY_MS`, since nothing is served before the first read.
"""

OnSnapshot = Callable[[tuple[StoredItem, ...]], None]
"""Called with all items under a prefix."""

GetInterval = Callable[[], Millis]
"""Returns the minimum time from a watch that returned writes to the next watch."""

OnEvents = Callable[[tuple[StoreEvent, ...]], None]
"""Called with writes and removals under a prefix, in order."""


class PrefixWatcher:
    """Reports the items under a prefix of the store, and later writes to them.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    on_snapshot : callable
        Called with all items after a complete read.
    on_events : callable
        Called with the writes of a watch, in order.
    random : Random
        Source of the jitter.
    get_interval : callable
        Returns the minimum interval between a watch that returned writes and the next
        one, so that writes are batched. Called after `on_events`.
    max_retry_delay_ms : Millis
        Upper limit of the retry delay after the first read.
    watch_timeout_ms : Millis
        How long the store waits for a write before it answers a watch. It bounds the
        time for which a write goes unnoticed if the answer to a watch is lost.
    """

    def __init__(
        self,
        prefix: str,
        on_snapshot: OnSnapshot,
        on_events: OnEvents,
        random: Random,
        get_interval: GetInterval,
        max_retry_delay_ms: Millis = MAX_RETRY_DELAY_MS,
        watch_timeout_ms: Millis = WATCH_TIMEOUT_MS,
    ):
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_events = on_events
        self._get_interval = get_interval
        self._max_retry_delay_ms = max_retry_delay_ms
        self._watch_timeout_ms = watch_timeout_ms
        self._retry_schedule = RetrySchedule(
            random, MAX_FIRST_READ_RETRY_MS, is_urgent=True
        )
        self._due_at = Millis(0)
        self._revision: int | None = None
        self._pages: list[StoredItem] = []
        self._first_revision = 0

    @property
    def due_at(self) -> Millis:
        """Time at which the next call is due."""
        return self._due_at

    @property
    def revision(self) -> int | None:
        """Revision up to which writes have been reported; None while a read is due.

        Valid in `on_snapshot` and `on_events` too.
        """
        return self._revision

    def next_call(self) -> TimedCall:
        """Return the next call: a page of the read, or a watch after the read."""
        timeout_ms = self._retry_schedule.timeout_ms
        if self._revision is None:
            after = self._pages[-1].key if self._pages else ""
            return TimedCall(ReadRange(self._prefix, after), timeout_ms)
        watch = WatchPrefix(self._prefix, self._revision, self._watch_timeout_ms)
        return TimedCall(
            watch, Millis(self._watch_timeout_ms + WATCH_MARGIN_MS + timeout_ms)
        )

    def on_answer(self, call: StoreCall, answer: StoreAnswer, now: Millis) -> None:
        """Handle the store's answer to the last call and schedule the next one."""
        match answer:
            case RangeResult():
                self._retry_schedule.record_success()
                self._retry_schedule.set_max_retry_delay(self._max_retry_delay_ms)
                self._add_page(answer)
                self._due_at = now
            case WatchResult(events, revision):
                self._retry_schedule.record_success()
                self._due_at = now
                if events:
                    # A watch without events may have missed some, so only a watch
                    # with events advances the revision.
                    self._revision = max(revision, self._revision or 0)
                    self._on_events(events)
                    self._due_at = Millis(now + self._get_interval())
            case StoreRestored(answer=RangeResult() as page) if not self._pages:
                self.on_answer(call, page, now)
            case HistoryCompacted() | StoreRestored():
                # Revisions known from before a restoration no longer hold: the store
                # may have given them out again.
                self._retry_schedule.record_success()
                self.restart(now)
            case CallFailed():
                # Writes during the failure may be missing from the history.
                self._revision = None
                self._due_at = Millis(now + self._retry_schedule.record_failure(answer))
            case _:
                failure = CallFailed(f"unexpected answer {answer!r}")
                self._due_at = Millis(
                    now + self._retry_schedule.record_failure(failure)
                )

    def refresh(self, now: Millis) -> bool:
        """Schedule a new read of all keys; return False if one is already pending."""
        if self._revision is None:
            return False
        self.restart(now)
        return True

    def restart(self, now: Millis) -> None:
        """Discard a partial read and schedule a new read of all keys."""
        self._revision = None
        self._pages = []
        self._due_at = now

    def _add_page(self, page: RangeResult) -> None:
        """Add a page of a read; call `on_snapshot` after the last one."""
        if not self._pages:
            # Later pages may be newer, so the watch starts at the first page's
            # revision.
            self._first_revision = page.store_revision
        self._pages += page.items
        if page.has_more and page.items:
            return
        items, self._pages = tuple(self._pages), []
        self._revision = self._first_revision
        self._on_snapshot(items)
