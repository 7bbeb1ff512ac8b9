"""A balancer's cache of which agent owns which flow.

A balancer may lose the cache at any time, because agents can be queried for the owner.
"""

from papayagw._internal.core.plain.roster import AgentView
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import FlowKey

MAX_FLOWS = 50_000
"""Maximum number of cached flows, of about 300 bytes each."""

SWEEP_INTERVAL_MS = Millis(5_000)
"""Interval between removals of idle flows."""


class CachedFlow:
    """The cached owner of one flow.

    Parameters
    ----------
    agent : AgentView
        The owner, or the agent that was offered the opening.
    now : Millis
        When the flow was last seen.
    is_confirmed : bool
        Whether the agent has confirmed that it owns the flow.
    """

    __slots__ = ("agent", "is_confirmed", "seen_at")

    def __init__(self, agent: AgentView, now: Millis, is_confirmed: bool):
        self.agent = agent
        self.seen_at = now
        self.is_confirmed = is_confirmed


class FlowCache:
    """Owners by flow. If the cache is full, the flow added first is evicted."""

    def __init__(self) -> None:
        self._flows: dict[FlowKey, CachedFlow] = {}
        self._last_sweep_at = Millis(0)

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, flow: FlowKey) -> CachedFlow | None:
        """Return the cached owner of a flow, or None if there is none."""
        return self._flows.get(flow)

    def put(
        self, flow: FlowKey, agent: AgentView, now: Millis, *, is_confirmed: bool
    ) -> None:
        """Store the owner of a flow, replacing an earlier one."""
        if len(self._flows) >= MAX_FLOWS:
            del self._flows[next(iter(self._flows))]
        self._flows[flow] = CachedFlow(agent, now, is_confirmed)

    def drop(self, flow: FlowKey) -> None:
        """Remove the owner of a flow, if cached."""
        self._flows.pop(flow, None)

    def sweep(self, now: Millis, idle_ms: Millis) -> None:
        """Remove flows idle for `idle_ms`, at most every `SWEEP_INTERVAL_MS`."""
        if now - self._last_sweep_at < SWEEP_INTERVAL_MS:
            return
        self._last_sweep_at = now
        limit = now - idle_ms
        idle = [key for key, cached in self._flows.items() if cached.seen_at < limit]
        for key in idle:
            del self._flows[key]
