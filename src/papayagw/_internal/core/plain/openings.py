"""Openings that a balancer has offered and no agent has answered yet."""

from collections.abc import Reversible

from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.core.plain.roster import AgentView
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket

OFFER_TIMEOUT_MS = Millis(60)
"""How long an agent may take to answer an offer before another gets one.

Well over a round trip between zones and the backend server's handshake, and under
the 200 ms after which the client sends a copy.
"""

MIN_RETRY_MS = Millis(100)
"""The shortest wait of an opening that no agent is ready for, between offers.

Agents tell of room at once; this covers lost words and agents that start.
"""

RETRY_AGE_DIVISOR = 3
"""Waits are at least this part of an opening's age."""

OPENING_TIMEOUT_MS = Millis(1_300)
"""How long an opening is offered: a client gives its attempt up after 1.4 s."""

COPY_AGES_MS = (Millis(0), Millis(200), Millis(600))
"""How old an opening is of which the client sends the first packet, or a copy.

Source: the platform's protocol.
"""

MAX_OFFERS = 5
"""The most agents that are offered one opening."""

MAX_OPENINGS = 4_096
"""The most openings that are held for another offer."""


class Opening:
    """One opening.

    Parameters
    ----------
    packet : FlowPacket
        The client's packet.
    started_at : Millis
        When the client sent it first.
    """

    __slots__ = ("agent", "is_declined", "packet", "started_at", "tried")

    def __init__(self, packet: FlowPacket, started_at: Millis):
        self.packet = packet
        self.started_at = started_at
        self.tried: set[Endpoint] = set()
        self.agent: AgentView | None = None
        self.is_declined = False
        """Whether a backend server that could have taken it didn't."""

    @property
    def is_exhausted(self) -> bool:
        """Whether no other agent is to be tried."""
        return len(self.tried) >= MAX_OFFERS


class Openings:
    """The openings in progress."""

    def __init__(self) -> None:
        self._openings: dict[FlowKey, Opening] = {}
        self._deadlines: DeadlineQueue[FlowKey] = DeadlineQueue()
        self._waiting: dict[str, dict[FlowKey, Opening]] = {}

    def __len__(self) -> int:
        return len(self._openings)

    @property
    def due_at(self) -> Millis | None:
        """When the next one is overdue."""
        return self._deadlines.next_at

    def find(self, flow: FlowKey) -> Opening | None:
        """Return the opening of a flow, or None."""
        return self._openings.get(flow)

    def begin(self, packet: FlowPacket, now: Millis) -> Opening:
        """Return the opening of the packet's flow, made if it is new."""
        opening = self._openings.get(packet.flow)
        if opening is None:
            if len(self._openings) >= MAX_OPENINGS:
                # The oldest one is the first in order of insertion.
                self.end(next(iter(self._openings)))
            age = COPY_AGES_MS[min(packet.copy, len(COPY_AGES_MS) - 1)]
            opening = Opening(packet, Millis(now - age))
            self._openings[packet.flow] = opening
        opening.packet = packet
        return opening

    def record_offer(self, opening: Opening, agent: AgentView, now: Millis) -> None:
        """Note an offer."""
        self._remove_waiting(opening.packet.flow)
        opening.agent = agent
        opening.tried.add(agent.endpoint)
        self._deadlines.set(opening.packet.flow, Millis(now + OFFER_TIMEOUT_MS))

    def schedule_retry(self, opening: Opening, service: str, now: Millis) -> bool:
        """Offer to all agents again after a while; return False if it is too late."""
        self._waiting.setdefault(service, {})[opening.packet.flow] = opening
        opening.agent = None
        opening.tried.clear()
        age = now - opening.started_at
        # The longer it has waited, the less is gained by its being next.
        wait = max(MIN_RETRY_MS, age // RETRY_AGE_DIVISOR)
        self._deadlines.set(opening.packet.flow, Millis(now + wait))
        return age + wait <= OPENING_TIMEOUT_MS

    def list_waiting(self, service: str) -> list[Opening]:
        """Return the openings that no agent of a service had room for, newest first."""
        return _sort_newest_first(self._waiting.get(service, {}).values())

    def end(self, flow: FlowKey) -> Opening | None:
        """Drop an opening and return it, or None if it wasn't known."""
        self._remove_waiting(flow)
        self._deadlines.set(flow, None)
        return self._openings.pop(flow, None)

    def pop_overdue(self, now: Millis) -> list[Opening]:
        """Return the openings that are to be offered again; they are held on.

        The newest are first: they can still be answered within their objective.
        """
        due = self._deadlines.pop_due(now)
        return _sort_newest_first([self._openings[flow] for flow in due])

    def _remove_waiting(self, flow: FlowKey) -> None:
        for openings in self._waiting.values():
            openings.pop(flow, None)


def _sort_newest_first(openings: Reversible[Opening]) -> list[Opening]:
    """Return openings by age; of equals the later one is first."""
    latest = reversed(openings)
    return sorted(latest, key=lambda one: one.started_at, reverse=True)
