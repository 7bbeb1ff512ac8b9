"""Priority queue of deadlines, one per key."""

import heapq
from typing import Generic, TypeVar

from papayagw._internal.models.clock import Millis

K = TypeVar("K", bound=object)


class DeadlineQueue(Generic[K]):
    """Heap of deadlines by key.

    When a deadline is changed or removed, its old entry stays in the heap and is
    skipped once it reaches the top.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[Millis, int, K]] = []
        self._deadlines: dict[K, Millis] = {}
        self._last_sequence = 0

    @property
    def next_at(self) -> Millis | None:
        """Earliest deadline, or None if there is none."""
        while self._heap:
            at, _, key = self._heap[0]
            if self._deadlines.get(key) == at:
                return at
            heapq.heappop(self._heap)
        return None

    def set(self, key: K, at: Millis | None) -> None:
        """Set the deadline of `key`, or remove it if `at` is None."""
        if at is None:
            self._deadlines.pop(key, None)
        elif self._deadlines.get(key) != at:
            self._deadlines[key] = at
            self._last_sequence += 1
            heapq.heappush(self._heap, (at, self._last_sequence, key))

    def pop_due(self, now: Millis) -> list[K]:
        """Remove and return the keys whose deadline has been reached."""
        due = []
        next_at = self.next_at
        while next_at is not None and next_at <= now:
            _, _, key = heapq.heappop(self._heap)
            del self._deadlines[key]
            due.append(key)
            next_at = self.next_at
        return due
