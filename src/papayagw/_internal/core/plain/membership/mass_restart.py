"""Detects that backend servers on several machines have started together."""

from bisect import bisect_left, bisect_right

from papayagw._internal.core.plain.membership.roster import AgentView, Roster
from papayagw._internal.models.clock import Millis

START_SPREAD_MS = Millis(1_500)
"""Maximum time between the starts of two backend servers after one loss of power.

Losses of up to 1.5 s were observed, which not all machines leave at the same moment.
"""

MIN_SHARE = 0.25
"""Share of the agents whose backend servers must have started with a given one.

Above the share of servers that are restarted or crash at one time (0.14).
"""

MIN_OTHERS = 2
"""Least number of such agents, for small fleets."""

CACHE_MS = Millis(200)
"""How long the sorted starts are used; sorting those of 9,500 agents takes some ms."""


class MassRestart:
    """Confirms the start of a backend server by those on other machines.

    One machine's wall clock may have been set back, so that its server seems to have
    started later than it did. That other servers started at the same time, by clocks
    of their own, is evidence against it.

    Parameters
    ----------
    roster : Roster
        The agents of all services.
    """

    def __init__(self, roster: Roster):
        self._roster = roster
        self._starts: list[Millis] = []
        self._sorted_at: Millis | None = None

    def includes(self, agent: AgentView, now: Millis) -> bool:
        """Return whether servers of enough other agents started with an agent's."""
        start = agent.backend_started_at
        if start is None:
            return False
        starts = self._list_starts(now)
        first = bisect_left(starts, start - START_SPREAD_MS)
        end = bisect_right(starts, start + START_SPREAD_MS)
        others = end - first - 1
        return others >= max(MIN_OTHERS, MIN_SHARE * len(self._roster))

    def _list_starts(self, now: Millis) -> list[Millis]:
        """Return the known starts of all backend servers in ascending order."""
        if self._sorted_at is None or now - self._sorted_at >= CACHE_MS:
            known = (view.backend_started_at for view in self._roster)
            self._starts = sorted(start for start in known if start is not None)
            self._sorted_at = now
        return self._starts
