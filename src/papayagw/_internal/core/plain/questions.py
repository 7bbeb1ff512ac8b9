"""Flows whose owner a balancer is looking for, with the packets that wait."""

from enum import Enum

from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import Ownership
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket

CLAIM_PATIENCE_MS = Millis(40)
"""How long agents may take to answer before those that are unsure get the packets.

Several round trips between zones, and under the client's 200 ms.
"""

SILENCE_MS = Millis(150)
"""How long a flow without an owner isn't asked for again.

A little less than the client's shortest time between copies of a packet.
"""

CONFIRM_MS = Millis(700)
"""How long a read of the agents' entries may take before the search is given up.

One slow answer of the store, which usually takes milliseconds.
"""

MAX_QUESTIONS = 2_048
"""The most flows that are asked for at one time."""

MAX_HELD_PACKETS = 16
"""The most packets that wait for one owner: what a client has in flight at most."""

MAX_TRIED_PACKETS = 2
"""The most packets of a flow that agents get which may not own it.

Both ends of a flow acknowledge every second packet, which tells the owner.
"""


class Stage(Enum):
    """How far a search has come."""

    ASKING = "asking"
    TRYING = "trying"
    """Agents that may own the flow get its packets, until one of them says so."""
    CONFIRMING = "confirming"
    """All agents that are known deny it; whether there are others is being read."""
    FRUITLESS = "fruitless"


class Question:
    """The search for the owner of one flow."""

    __slots__ = (
        "_tried",
        "asked",
        "awaited",
        "flow",
        "last_packet",
        "packets",
        "stage",
        "unsure",
    )

    def __init__(self, packet: FlowPacket, awaited: set[Endpoint]):
        self.flow = packet.flow
        self.last_packet = packet
        self.asked = set(awaited)
        self.awaited = awaited
        self.unsure: set[Endpoint] = set()
        self.packets: list[FlowPacket] = []
        self.stage = Stage.ASKING
        self._tried = 0

    @property
    def is_denied(self) -> bool:
        """Whether every agent that was asked isn't the owner."""
        return not self.awaited and not self.unsure

    def hold(self, packet: FlowPacket) -> None:
        """Keep a packet until the owner is known."""
        self.last_packet = packet
        if len(self.packets) < MAX_HELD_PACKETS:
            self.packets.append(packet)

    def take_for_unsure(self) -> list[FlowPacket]:
        """Return the packets that unsure agents are to get next."""
        start, self._tried = self._tried, min(len(self.packets), MAX_TRIED_PACKETS)
        return self.packets[start : self._tried]

    def list_for_owner(self, owner: Endpoint) -> list[FlowPacket]:
        """Return the packets that the owner hasn't been given."""
        return self.packets[self._tried if owner in self.unsure else 0 :]

    def take(self, agent: Endpoint, ownership: Ownership) -> None:
        """Note the answer of an agent that isn't known to be the owner."""
        self.awaited.discard(agent)
        if ownership is Ownership.UNSURE:
            self.unsure.add(agent)
        else:
            self.unsure.discard(agent)


class Questions:
    """All searches in progress, and flows that were found to have no owner."""

    def __init__(self) -> None:
        self._questions: dict[FlowKey, Question] = {}
        self._deadlines: DeadlineQueue[FlowKey] = DeadlineQueue()

    @property
    def due_at(self) -> Millis | None:
        """When the next search is due to go on or to be forgotten."""
        return self._deadlines.next_at

    def find(self, flow: FlowKey) -> Question | None:
        """Return the search for the owner of a flow, or None."""
        return self._questions.get(flow)

    def begin(
        self, packet: FlowPacket, awaited: set[Endpoint], now: Millis
    ) -> Question | None:
        """Return a new search, or None if there are too many."""
        if len(self._questions) >= MAX_QUESTIONS:
            return None
        question = self._questions[packet.flow] = Question(packet, awaited)
        self._enter(question, Stage.ASKING, CLAIM_PATIENCE_MS, now)
        return question

    def ask_others(
        self, question: Question, others: set[Endpoint], now: Millis
    ) -> None:
        """Ask agents that weren't known before."""
        question.asked |= others
        question.awaited = set(others)
        self._enter(question, Stage.ASKING, CLAIM_PATIENCE_MS, now)

    def try_unsure(self, question: Question, now: Millis) -> None:
        """Go on to agents that may be the owner."""
        stage = Stage.TRYING if question.unsure else Stage.FRUITLESS
        self._enter(question, stage, SILENCE_MS, now)

    def confirm(self, question: Question, now: Millis) -> None:
        """Wait until the list of agents has been read."""
        self._enter(question, Stage.CONFIRMING, CONFIRM_MS, now)

    def list_confirming(self) -> list[Question]:
        """Return the searches that wait for a read of the agents' entries."""
        return [
            one for one in self._questions.values() if one.stage is Stage.CONFIRMING
        ]

    def end(self, flow: FlowKey) -> Question | None:
        """Drop a search and return it, or None if there was none."""
        self._deadlines.set(flow, None)
        return self._questions.pop(flow, None)

    def take_due(self, now: Millis) -> list[Question]:
        """Return the searches that go on; those that are over are forgotten."""
        due = [self._questions[flow] for flow in self._deadlines.pop_due(now)]
        for one in due:
            if one.stage is not Stage.ASKING:
                del self._questions[one.flow]
        return [one for one in due if one.stage is Stage.ASKING]

    def _enter(
        self, question: Question, stage: Stage, patience: Millis, now: Millis
    ) -> None:
        question.stage = stage
        self._deadlines.set(question.flow, Millis(now + patience))
