"""How a balancer finds the owner of a flow that it doesn't know.

It asks all agents that may own it, hands the packets to the one that claims the flow
or else to those that are unsure, and ends the flow only once there can be no owner.
"""

from collections.abc import Callable

from papayagw._internal.core.plain.flow_cache import FlowCache
from papayagw._internal.core.plain.questions import Question, Questions, Stage
from papayagw._internal.core.plain.roster import AgentView
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import Action, Note, ResetClient, SendFrame
from papayagw._internal.models.plain.frame import (
    AskFrame,
    CarryFrame,
    FlowClaim,
    FlowQuestion,
    Ownership,
)
from papayagw._internal.models.plain.packet import FlowPacket, show_flow


class OwnerSearch:
    """The searches of one balancer.

    Parameters
    ----------
    list_agents : callable
        Returns the agents that may own the flow of a packet.
    find_agent : callable
        Returns the agent at an endpoint, or None.
    flows : FlowCache
        Where owners are remembered.
    on_doubt : callable
        Called when all known agents deny a flow, so that their list is read again.
    may_end : callable
        Returns whether agents that deny a flow are all that there are.
    """

    def __init__(
        self,
        list_agents: Callable[[FlowPacket], list[AgentView]],
        find_agent: Callable[[Endpoint], AgentView | None],
        flows: FlowCache,
        on_doubt: Callable[[], None],
        may_end: Callable[[list[AgentView], Millis], bool],
    ):
        self._list_agents = list_agents
        self._find_agent = find_agent
        self._flows = flows
        self._on_doubt = on_doubt
        self._may_end = may_end
        self._questions = Questions()

    @property
    def due_at(self) -> Millis | None:
        """When `on_timer` is to be called next."""
        return self._questions.due_at

    def ask(
        self, packet: FlowPacket, now: Millis, excluded: AgentView | None = None
    ) -> list[Action]:
        """Seek the owner of a packet's flow, and hold the packet until then.

        Parameters
        ----------
        packet : FlowPacket
            A packet of a client.
        now : Millis
            The present time.
        excluded : AgentView or None
            The agent that has just handed the packet back.
        """
        question = self._questions.find(packet.flow)
        if question is not None:
            return self._add(question, packet, excluded, now)
        agents = [view for view in self._list_agents(packet) if view is not excluded]
        awaited = {view.endpoint for view in agents}
        question = self._questions.begin(packet, awaited, now) if agents else None
        if question is None:
            return []
        question.hold(packet)
        return [_ask(view, packet) for view in agents]

    def hear(self, claim: FlowClaim, view: AgentView, now: Millis) -> list[Action]:
        """Take in an agent's answer."""
        if claim.ownership is Ownership.OWNER:
            return self._settle(claim, view, now)
        question = self._questions.find(claim.flow)
        if question is None or question.stage is not Stage.ASKING:
            return []
        question.take(view.endpoint, claim.ownership)
        return [] if question.awaited else self._go_on(question, now)

    def on_timer(self, now: Millis) -> list[Action]:
        """Go on where answers are overdue."""
        actions: list[Action] = []
        for question in self._questions.take_due(now):
            actions += self._go_on(question, now)
        return actions

    def on_agents_listed(self, now: Millis) -> list[Action]:
        """Return what follows from a complete read of the agents' entries."""
        actions: list[Action] = []
        for question in self._questions.list_confirming():
            agents = self._list_agents(question.last_packet)
            others = [view for view in agents if view.endpoint not in question.asked]
            if others:
                asked = {view.endpoint for view in others}
                self._questions.ask_others(question, asked, now)
                actions += [_ask(view, question.last_packet) for view in others]
            elif self._may_end(agents, now):
                actions += self._end_ownerless(question)
        return actions

    def _settle(self, claim: FlowClaim, view: AgentView, now: Millis) -> list[Action]:
        self._flows.put(claim.flow, view, now, is_confirmed=True)
        question = self._questions.end(claim.flow)
        if question is None:
            return []
        fields = {"flow": show_flow(claim.flow), "agent": view.endpoint}
        return [
            *(carry(view, held) for held in question.list_for_owner(view.endpoint)),
            Note("owner found", fields),
        ]

    def _add(
        self,
        question: Question,
        packet: FlowPacket,
        excluded: AgentView | None,
        now: Millis,
    ) -> list[Action]:
        if excluded is None:
            question.hold(packet)
            return [] if question.stage is Stage.ASKING else self._try_unsure(question)
        if question.stage is Stage.ASKING:
            question.hold(packet)
            return []
        question.last_packet = packet
        # It was tried with this agent, and others have had the packet already.
        question.take(excluded.endpoint, Ownership.STRANGER)
        return self._conclude(question, now)

    def _go_on(self, question: Question, now: Millis) -> list[Action]:
        """Hand the packets to the agents that may own the flow, if any."""
        fields = {
            "flow": show_flow(question.flow),
            "unsure": len(question.unsure),
            "silent": len(question.awaited),
        }
        self._questions.try_unsure(question, now)
        return [
            Note("owner unknown", fields),
            *self._try_unsure(question),
            *self._conclude(question, now),
        ]

    def _conclude(self, question: Question, now: Millis) -> list[Action]:
        """Prepare to end a flow that every agent denies."""
        if not question.is_denied or question.last_packet.kind.is_closing:
            return []
        if question.stage is not Stage.CONFIRMING:
            self._questions.confirm(question, now)
            self._on_doubt()
        return []

    def _end_ownerless(self, question: Question) -> list[Action]:
        self._questions.end(question.flow)
        self._flows.drop(question.flow)
        reset = ResetClient(question.flow, question.last_packet.acknowledged or 0)
        fields = {"flow": show_flow(question.flow), "asked": len(question.asked)}
        return [reset, Note("flow has no owner", fields)]

    def _try_unsure(self, question: Question) -> list[Action]:
        packets = question.take_for_unsure()
        views = [self._find_agent(endpoint) for endpoint in question.unsure]
        return [
            carry(view, packet)
            for view in views
            if view is not None
            for packet in packets
        ]


def carry(agent: AgentView, packet: FlowPacket) -> SendFrame:
    """Return the frame that hands a later packet of a client to an agent."""
    return SendFrame(agent.endpoint, CarryFrame(agent.entry.service, packet))


def _ask(agent: AgentView, packet: FlowPacket) -> SendFrame:
    question = FlowQuestion(packet.flow, packet.acknowledged)
    return SendFrame(agent.endpoint, AskFrame(agent.entry.service, (question,)))
