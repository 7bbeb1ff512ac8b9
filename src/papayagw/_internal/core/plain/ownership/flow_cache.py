"""A balancer's cache of which agent owns which flow.

A balancer may lose the cache at any time, because agents can be queried for the owner.
"""

from papayagw._internal.core.plain.membership.roster import AgentView
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import (
    MAX_COPY_AGE_MS,
    FlowKey,
    FlowPacket,
)

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
    opening_sequence : int or None
        The client's sequence number in the opening; None if it isn't known.
    """

    __slots__ = ("added_at", "agent", "is_confirmed", "opening_sequence", "seen_at")

    def __init__(
        self,
        agent: AgentView,
        now: Millis,
        is_confirmed: bool,
        opening_sequence: int | None,
    ):
        self.agent = agent
        self.added_at = self.seen_at = now
        self.is_confirmed = is_confirmed
        self.opening_sequence = opening_sequence

    def is_copy(self, opening: FlowPacket, now: Millis) -> bool:
        """Whether an opening is a copy of the one that the agent has accepted.

        Any other begins a new flow, for which the client uses its port again. The owner
        of a flow whose opening isn't known here was found by a later packet, and then
        the client sends no copies any more.
        """
        return (
            self.is_confirmed
            and self.opening_sequence == opening.sequence
            and now - self.added_at <= MAX_COPY_AGE_MS
        )


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

    def put_offer(self, opening: FlowPacket, agent: AgentView, now: Millis) -> None:
        """Store the agent that an opening is offered to."""
        self._put(opening.flow, CachedFlow(agent, now, False, opening.sequence))

    def put_owner(self, flow: FlowKey, agent: AgentView, now: Millis) -> None:
        """Store the confirmed owner of a flow, replacing an earlier one."""
        known = self._flows.get(flow)
        sequence = None if known is None else known.opening_sequence
        cached = CachedFlow(agent, now, True, sequence)
        if known is not None:
            cached.added_at = known.added_at
        self._put(flow, cached)

    def _put(self, flow: FlowKey, cached: CachedFlow) -> None:
        """Store a flow; evict another one if the cache is full."""
        if len(self._flows) >= MAX_FLOWS:
            del self._flows[next(iter(self._flows))]
        self._flows[flow] = cached

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
