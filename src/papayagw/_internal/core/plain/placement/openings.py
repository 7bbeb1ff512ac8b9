"""A balancer's openings that no agent has accepted yet."""

from collections.abc import Reversible

from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.core.plain.membership.roster import AgentView
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket

OFFER_TIMEOUT_MS = Millis(60)
"""How long to wait for the answer to an offer before offering to another agent.

Well above a round trip between zones plus the backend server's handshake, and below
the 200 ms after which the client retransmits.
"""

MIN_RETRY_MS = Millis(100)
"""Minimum time until an opening that no agent could accept is offered again.

Agents report free capacity immediately. The retry covers lost load reports and agents
that have just started.
"""

RETRY_AGE_DIVISOR = 3
"""The retry interval is at least the age of the opening divided by this."""

OPENING_TIMEOUT_MS = Millis(1_300)
"""Age of an opening after which it isn't offered; the client gives up after 1.4 s."""

COPY_AGES_MS = (Millis(0), Millis(200), Millis(600))
"""Age of an opening when the client sends its first packet and each retransmission.

Defined by the platform's protocol.
"""

MAX_OFFERS = 5
"""Maximum number of agents that one opening is offered to before a retry delay."""

MAX_OPENINGS = 4_096
"""Maximum number of openings in progress; beyond it the oldest is dropped."""


class Opening:
    """The state of one opening.

    Parameters
    ----------
    packet : FlowPacket
        The latest copy of the client's packet.
    started_at : Millis
        When the client sent the first copy.

    Attributes
    ----------
    tried_agents : set of Endpoint
        Agents that the opening was offered to in this round.
    agent : AgentView or None
        The agent with the current offer; None while the opening waits for a retry.
    unanswered_agents : set of Endpoint
        Agents that left an offer unanswered, in any round, and may have accepted it.
    seen_copies : set of int
        Numbers of the copies that arrived here; 0 is the first packet.
    """

    __slots__ = (
        "agent",
        "is_declined",
        "packet",
        "seen_copies",
        "started_at",
        "tried_agents",
        "unanswered_agents",
        "was_selected",
    )

    def __init__(self, packet: FlowPacket, started_at: Millis):
        self.packet = packet
        self.started_at = started_at
        self.tried_agents: set[Endpoint] = set()
        self.unanswered_agents: set[Endpoint] = set()
        self.seen_copies: set[int] = set()
        self.agent: AgentView | None = None
        self.was_selected = False
        """Whether it was offered when capacity became free, rather than on arrival."""
        self.is_declined = False
        """Whether a backend server that accepts openings has rejected this one."""

    @property
    def is_exhausted(self) -> bool:
        """Whether the opening has been offered to `MAX_OFFERS` agents."""
        return len(self.tried_agents) >= MAX_OFFERS

    def is_known_unopened(self, now: Millis) -> bool:
        """Whether no agent can have accepted the opening.

        An agent may have accepted an offer that it left unanswered, or a copy that the
        client sent by way of another balancer.
        """
        sent = (
            copy
            for copy, age in enumerate(COPY_AGES_MS)
            if self.started_at + age <= now
        )
        return not self.unanswered_agents and self.seen_copies.issuperset(sent)


class Openings:
    """The openings in progress, with their timeouts and retries."""

    def __init__(self) -> None:
        self._openings: dict[FlowKey, Opening] = {}
        self._deadlines: DeadlineQueue[FlowKey] = DeadlineQueue()
        self._waiting_by_service: dict[str, dict[FlowKey, Opening]] = {}

    def __len__(self) -> int:
        return len(self._openings)

    @property
    def due_at(self) -> Millis | None:
        """Time of the next offer timeout or retry; None if there is none."""
        return self._deadlines.next_at

    def find(self, flow: FlowKey) -> Opening | None:
        """Return the opening in progress of a flow, or None."""
        return self._openings.get(flow)

    def begin(self, packet: FlowPacket, now: Millis) -> Opening:
        """Return the opening that a packet is a copy of, creating it if it is new."""
        opening = self._openings.get(packet.flow)
        if opening is not None and opening.packet.sequence != packet.sequence:
            self.end(packet.flow)
            opening = None
        if opening is None:
            if len(self._openings) >= MAX_OPENINGS:
                # Dictionaries keep insertion order, so the first key is the oldest.
                self.end(next(iter(self._openings)))
            age = COPY_AGES_MS[min(packet.copy, len(COPY_AGES_MS) - 1)]
            opening = Opening(packet, Millis(now - age))
            self._openings[packet.flow] = opening
        opening.packet = packet
        opening.seen_copies.add(packet.copy)
        return opening

    def record_offer(self, opening: Opening, agent: AgentView, now: Millis) -> None:
        """Record that an opening was offered to an agent, and start the timeout."""
        self._remove_waiting(opening.packet.flow)
        opening.agent = agent
        opening.tried_agents.add(agent.endpoint)
        self._deadlines.set(opening.packet.flow, Millis(now + OFFER_TIMEOUT_MS))

    def schedule_retry(self, opening: Opening, service: str, now: Millis) -> bool:
        """Schedule another round of offers to all agents.

        Returns
        -------
        bool
            False if the opening would be too old by then.
        """
        self._waiting_by_service.setdefault(service, {})[opening.packet.flow] = opening
        opening.agent = None
        opening.tried_agents.clear()
        age = now - opening.started_at
        # Back off with age: the older an opening is, the less an early retry gains.
        wait = max(MIN_RETRY_MS, age // RETRY_AGE_DIVISOR)
        self._deadlines.set(opening.packet.flow, Millis(now + wait))
        return age + wait <= OPENING_TIMEOUT_MS

    def list_waiting(self, service: str) -> list[Opening]:
        """Return the openings waiting for an agent of a service, newest first.

        Declined ones aren't among them, since reported capacity doesn't mean that the
        agent's backend server accepts them.
        """
        waiting = self._waiting_by_service.get(service, {}).values()
        return sort_newest_first([one for one in waiting if not one.is_declined])

    def end(self, flow: FlowKey) -> Opening | None:
        """Remove and return an opening, or return None if it isn't known."""
        self._remove_waiting(flow)
        self._deadlines.set(flow, None)
        return self._openings.pop(flow, None)

    def take_due(self, now: Millis) -> list[Opening]:
        """Return the openings whose offer has timed out or whose retry is due.

        They stay in progress, but without a deadline. The newest come first, because
        they can still meet the latency objective.
        """
        due = self._deadlines.pop_due(now)
        return sort_newest_first([self._openings[flow] for flow in due])

    def _remove_waiting(self, flow: FlowKey) -> None:
        """Remove an opening from those that wait for an agent."""
        for openings in self._waiting_by_service.values():
            openings.pop(flow, None)


def sort_newest_first(openings: Reversible[Opening]) -> list[Opening]:
    """Return openings, newest first; of equally old ones, the last added first."""
    latest = reversed(openings)
    return sorted(latest, key=lambda opening: opening.started_at, reverse=True)
