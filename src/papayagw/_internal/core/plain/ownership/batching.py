"""Batching of the owner queries that a balancer sends to agents."""

from papayagw._internal.core.plain.membership.roster import AgentView
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.action import Action, SendFrame
from papayagw._internal.models.plain.frame import OwnerQuery, OwnerQueryFrame

MAX_QUERIES_PER_FRAME = 64
"""Maximum number of owner queries in a frame.

A frame of 64 queries has 1,100 bytes, which no link fragments.
"""

MIN_QUERY_INTERVAL_MS = Millis(20)
"""Minimum time between two rounds of queries to the agents.

Well below a client's shortest retransmission interval of 200 ms.
"""

QUERY_INTERVAL_PER_AGENT_MS = 1
"""Time added between two rounds for each agent that was queried in the first, in ms.

It bounds the queries to 1,000 frames a second in all. A balancer with 0.12 of a core
sends a frame and handles the reply in about 0.5 ms.
"""

MAX_QUERY_INTERVAL_MS = Millis(100)
"""Upper limit of the time between two rounds, for which packets of live flows wait."""


class QueryBatch:
    """Collects owner queries and sends them in rounds, in few frames to each agent.

    A query is sent at once if the last round is long enough ago: the timer that sends
    it runs after the current batch of packets, which therefore shares the frames.
    """

    def __init__(self) -> None:
        self._queries: dict[AgentView, list[OwnerQuery]] = {}
        self._next_round_at = Millis(0)
        self._due_at: Millis | None = None

    @property
    def due_at(self) -> Millis | None:
        """Time of the next round; None if there are no queries."""
        return self._due_at

    def add(self, agents: list[AgentView], query: OwnerQuery, now: Millis) -> Millis:
        """Add a query to agents for the next round; return the time of the round."""
        due_at = self._due_at
        if due_at is None:
            due_at = self._due_at = max(now, self._next_round_at)
        for view in agents:
            self._queries.setdefault(view, []).append(query)
        return due_at

    def take_due(self, now: Millis) -> list[Action]:
        """Return the frames of the next round if it is due."""
        if self._due_at is None or now < self._due_at:
            return []
        queries_by_agent, self._queries, self._due_at = self._queries, {}, None
        interval_ms = QUERY_INTERVAL_PER_AGENT_MS * len(queries_by_agent)
        interval_ms = min(
            max(interval_ms, MIN_QUERY_INTERVAL_MS), MAX_QUERY_INTERVAL_MS
        )
        self._next_round_at = Millis(now + interval_ms)
        for view in queries_by_agent:
            view.record_request(now)
        return [
            SendFrame(
                view.endpoint,
                OwnerQueryFrame(
                    view.entry.service,
                    tuple(queries[start : start + MAX_QUERIES_PER_FRAME]),
                ),
            )
            for view, queries in queries_by_agent.items()
            for start in range(0, len(queries), MAX_QUERIES_PER_FRAME)
        ]
