"""Limit on the openings that a cold backend server gets in one second."""

from collections import deque
from dataclasses import dataclass

from papayagw._internal.models.clock import Millis

WINDOW_MS = Millis(1_000)
"""Length of the sliding window, which the users' rule defines."""

DELIVERY_JITTER_MS = Millis(20)
"""Time added to the window for the way from the agent to the backend server.

Two openings may arrive closer to each other than the agent passed them on.
"""


@dataclass(frozen=True, slots=True)
class ColdStartRule:
    """How far openings to a cold backend server may exceed its stated rate.

    Attributes
    ----------
    overage : float
        Factor on the stated rate.
    slack : float
        Openings a second that are admitted in addition.
    """

    overage: float
    slack: float

    def max_openings(self, cold_per_s: float) -> int:
        """Return how many openings a cold server that handles `cold_per_s` may get."""
        return int(cold_per_s * self.overage + self.slack)


class ColdStartLimit:
    """Sliding window of the openings that were passed to the backend server.

    Parameters
    ----------
    rule : ColdStartRule
        The deployment's rule.
    now : Millis
        Time at which the agent started.
    """

    def __init__(self, rule: ColdStartRule, now: Millis):
        self._rule = rule
        self._started_at = now
        self._passed_at: deque[Millis] = deque()
        # An earlier agent may have used up the window.
        self._full_until = Millis(now + WINDOW_MS + DELIVERY_JITTER_MS)
        self._max_openings: int | None = rule.max_openings(0.0)
        self._site_version: int | None = None
        self._free_at: Millis | None = None

    @property
    def max_openings(self) -> int | None:
        """Openings that a cold server may get in one second; None without a limit."""
        return self._max_openings

    @property
    def free_at(self) -> Millis | None:
        """When the window admits an opening again; None if it did at the last call."""
        return self._free_at

    def apply_rate(self, cold_per_s: float, site_version: int) -> bool:
        """Apply the rate that a configuration version states; return whether it is new.

        Parameters
        ----------
        cold_per_s : float
            Requests a second that a cold server handles; 0 if none is stated, which
            means that no limit applies.
        site_version : int
            Version of the configuration; an earlier one than known is ignored. Of one
            version a stated rate replaces the absence of one, whose frame was lost.
        """
        known = self._site_version
        if known is not None and (
            site_version < known or (site_version == known and cold_per_s <= 0)
        ):
            return False
        limit = self._rule.max_openings(cold_per_s) if cold_per_s > 0 else None
        is_new = limit != self._max_openings or site_version != known
        self._max_openings, self._site_version = limit, site_version
        return is_new

    def record_run_start(self, began_at: Millis | None, *, is_later: bool) -> None:
        """Record the start of the backend server's run.

        An earlier agent can't have passed openings to a run that this agent has seen
        start.

        Parameters
        ----------
        began_at : Millis or None
            When the run started; None if it isn't known.
        is_later : bool
            Whether this agent has had a report of an earlier run.
        """
        if is_later or (began_at is not None and began_at >= self._started_at):
            self._full_until = Millis(0)

    def record_opening(self, now: Millis) -> None:
        """Record that an opening is passed to the backend server."""
        self._remove_expired(now)
        self._passed_at.append(now)

    def count_openings(self, now: Millis) -> int:
        """Return the number of openings in the window that ends now."""
        self._remove_expired(now)
        return len(self._passed_at)

    def free_openings(self, now: Millis) -> int | None:
        """Return how many openings a cold server may get now; None without a limit."""
        self._free_at = None
        limit = self._max_openings
        if limit is None:
            return None
        self._remove_expired(now)
        free = limit - len(self._passed_at)
        if free <= 0 < limit:
            # The last one that must leave the window before there is room.
            self._free_at = _end_of_window(self._passed_at[-free])
        if limit > 0 and now < self._full_until:
            self._free_at = max(self._free_at or Millis(0), self._full_until)
            return 0
        return max(free, 0)

    def clear_free_at(self) -> None:
        """Record that the limit doesn't apply, since the server isn't cold."""
        self._free_at = None

    def _remove_expired(self, now: Millis) -> None:
        """Remove the openings that have left the window."""
        while self._passed_at and _end_of_window(self._passed_at[0]) <= now:
            self._passed_at.popleft()


def _end_of_window(passed_at: Millis) -> Millis:
    """Return when an opening no longer counts.

    Both ends of a window belong to it, and times are rounded down to a millisecond.
    """
    return Millis(passed_at + WINDOW_MS + DELIVERY_JITTER_MS + 1)
