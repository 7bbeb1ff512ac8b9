"""Lookup of the agent that owns a flow that a balancer doesn't know.

The balancer queries all agents that may own the flow and forwards the client's packets
to the owner or, if no agent confirms, to the agents that can't rule ownership out. It
resets the flow only once it is certain that no agent owns it. Until then it remembers
which agents denied the flow, and queries only the others again.
"""

from collections.abc import Callable

from papayagw._internal.core.plain.membership.roster import AgentView
from papayagw._internal.core.plain.ownership.batching import QueryBatch
from papayagw._internal.core.plain.ownership.flow_cache import FlowCache
from papayagw._internal.core.plain.ownership.pending_lookups import (
    LOOKUP_RETRY_MS,
    MAX_LOOKUPS,
    PendingLookup,
    PendingLookups,
    Stage,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import (
    Action,
    LogEvent,
    ResetClient,
    SendFrame,
)
from papayagw._internal.models.plain.frame import (
    ForwardFrame,
    OwnerQuery,
    OwnerReply,
    Ownership,
)
from papayagw._internal.models.plain.packet import (
    EntryKey,
    FlowKey,
    FlowPacket,
    PacketKind,
    format_flow,
)

CHECK_INTERVAL_MS = Millis(200)
"""Interval between checks whether the list of agents has become certain.

Clients of flows without an owner wait for it. A check costs about 0.1 ms of processor
time for each entry with such flows.
"""

READ_INTERVAL_MS = Millis(700)
"""Time after a read of the agents' entries at which another one is requested.

Applies while flows without an owner wait, since a read within `MISSING_GRACE_MS` of
the first one may not make the list of agents certain. Longer than a slow response of
the store.
"""


class _SilentAgent:
    """The flows for which an agent left a query unanswered.

    They are checked at most once in `LOOKUP_RETRY_MS`: a busy balancer takes all agents
    for silent, and to check all lookups at each of their frames made it still busier.
    """

    __slots__ = ("flows", "next_check_at")

    def __init__(self, now: Millis):
        self.flows: set[FlowKey] = set()
        self.next_check_at = now


class OwnerLookup:
    """Finds the owners of unknown flows for one balancer.

    Parameters
    ----------
    list_agents : callable
        Returns the agents that may own the flow of a packet.
    find_agent : callable
        Returns the agent at an endpoint, or None.
    flows : FlowCache
        Cache of the owners that were found.
    on_owner_not_found : callable
        Called when all known agents have replied that they don't own a flow. It
        causes the list of agents to be read again.
    knows_all_agents : callable
        Returns whether the given agents are all agents that may own a flow.
    lost_its_flows : callable
        Returns whether an agent that didn't reply, or doesn't know whether it owns a
        flow, certainly owns none that this balancer doesn't know.
    confirms_start : callable
        Returns whether other machines' clocks confirm the start of an agent's backend
        server.
    """

    def __init__(
        self,
        list_agents: Callable[[FlowPacket, Millis], list[AgentView]],
        find_agent: Callable[[Endpoint], AgentView | None],
        flows: FlowCache,
        on_owner_not_found: Callable[[], None],
        knows_all_agents: Callable[[list[AgentView], Millis], bool],
        lost_its_flows: Callable[[AgentView, Millis], bool],
        confirms_start: Callable[[AgentView, Millis], bool],
    ):
        self._list_agents = list_agents
        self._find_agent = find_agent
        self._flows = flows
        self._on_owner_not_found = on_owner_not_found
        self._knows_all_agents = knows_all_agents
        self._lost_its_flows = lost_its_flows
        self._confirms_start = confirms_start
        self._lookups = PendingLookups()
        self._queries = QueryBatch()
        self._silent_agents: dict[Endpoint, _SilentAgent] = {}
        self._check_at: Millis | None = None
        self._listed_at = Millis(0)

    @property
    def due_at(self) -> Millis | None:
        """Time at which `on_timer` must be called next; None if no timer is pending."""
        due = (self._lookups.due_at, self._queries.due_at, self._check_at)
        return min((at for at in due if at is not None), default=None)

    def find_owner(
        self, packet: FlowPacket, now: Millis, excluded: AgentView | None = None
    ) -> list[Action]:
        """Look up the owner of a packet's flow, holding the packet meanwhile.

        Parameters
        ----------
        packet : FlowPacket
            A packet from a client.
        now : Millis
            The current time.
        excluded : AgentView or None
            An agent that has just returned the packet and therefore isn't queried.
        """
        lookup = self._lookups.find(packet.flow)
        if lookup is not None:
            if not lookup.is_outdated_by(packet, now):
                return self._add_packet(lookup, packet, excluded, now)
            self._lookups.end(packet.flow)
        if packet.kind is PacketKind.ABORT:
            # Its client expects no answer, and a server without it ends the flow once
            # it is idle.
            return []
        agents = self._list_agents(packet, now)
        if excluded is not None:
            agents = [view for view in agents if view.endpoint != excluded.endpoint]
        lookup = self._lookups.begin(packet, now) if agents else None
        if lookup is None:
            return []
        if excluded is not None:
            # Its backend server handed the packet back, so that it isn't the owner.
            lookup.queried_agents = frozenset((excluded.entry,))
        lookup.hold_packet(packet)
        self._query(lookup, agents, now)
        return []

    def forget(self, flow: FlowKey) -> None:
        """End the lookup of a flow, as its client opens another from its port.

        What agents replied on the earlier flow doesn't hold for the other one.
        """
        self._lookups.end(flow)

    def on_reply(self, reply: OwnerReply, view: AgentView, now: Millis) -> list[Action]:
        """Handle an agent's reply to an owner query, or its claim to own a flow."""
        if reply.ownership is Ownership.OWNER:
            return self._on_owner_found(reply, view, now)
        lookup = self._lookups.find(reply.flow)
        if lookup is None or not lookup.record_reply(view.endpoint, reply.ownership):
            return []
        if lookup.stage is Stage.QUERYING:
            return [] if lookup.pending_agents else self._end_querying(lookup, now)
        # An agent that replies late that it may own the flow gets its next packet.
        if view.endpoint in lookup.unconfirmed and self._confirms_start(view, now):
            lookup.record_reply(view.endpoint, Ownership.NOT_OWNER)
        return self._confirm_no_owner(lookup, now)

    def on_agent_heard(self, view: AgentView, now: Millis) -> None:
        """Query an agent again that left queries unanswered, and now sent a frame.

        After a loss of power the first queries reach agents that haven't started yet.
        """
        silent = self._silent_agents.get(view.endpoint)
        if silent is None or now < silent.next_check_at:
            return
        silent.next_check_at = Millis(now + LOOKUP_RETRY_MS)
        for flow in list(silent.flows):
            lookup = self._lookups.find(flow)
            if (
                lookup is None
                or lookup.stage is not Stage.FAILED
                or view.endpoint not in lookup.pending_agents
            ):
                silent.flows.discard(flow)
            elif lookup.may_query_again(now):
                silent.flows.discard(flow)
                self._queries.add([view], _make_query(lookup.last_packet), now)
        if not silent.flows:
            del self._silent_agents[view.endpoint]

    def on_timer(self, now: Millis) -> list[Action]:
        """End the wait for overdue replies and return the resulting actions.

        Flows that no agent owns are reset if the list of agents is certain by now.
        """
        actions = self._send_queries(now)
        for lookup in self._lookups.pop_due(now):
            actions += self._end_querying(lookup, now)
        if self._check_at is not None and now >= self._check_at:
            actions += self._reset_certain(now)
        return [*actions, *self._queries.take_due(now)]

    def _send_queries(self, now: Millis) -> list[Action]:
        """Return the next round of queries if it is due.

        If the balancer was too busy to send it in time, the wait for its replies
        begins now.
        """
        planned_at = self._queries.due_at
        if planned_at is not None and planned_at < now:
            for lookup in self._lookups.list_in(Stage.QUERYING):
                if lookup.queried_at == planned_at:
                    self._lookups.restart_wait(lookup, now)
        return self._queries.take_due(now)

    def on_agents_listed(self, now: Millis) -> list[Action]:
        """Continue the lookups that wait for a full read of the agents' entries."""
        self._listed_at = now
        for lookup, agents in self._list_confirming(now):
            lookup.is_listed = True
            self._query_others(lookup, agents, now)
        return self._reset_certain(now)

    def _list_confirming(
        self, now: Millis
    ) -> list[tuple[PendingLookup, list[AgentView]]]:
        """Return the lookups in the stage of confirming, each with possible owners.

        The agents are the same object for all flows of an entry.
        """
        agents: dict[EntryKey, list[AgentView]] = {}
        found = []
        for lookup in self._lookups.list_in(Stage.CONFIRMING):
            packet = lookup.last_packet
            if packet.entry not in agents:
                agents[packet.entry] = self._list_agents(packet, now)
            found.append((lookup, agents[packet.entry]))
        return found

    def _reset_certain(self, now: Millis) -> list[Action]:
        """Reset the flows without an owner for which the list of agents is certain.

        Requests another read of the agents' entries if there are others, and the last
        one is `READ_INTERVAL_MS` ago.
        """
        actions: list[Action] = []
        certainty: dict[EntryKey, bool] = {}
        is_waiting = False
        for lookup, agents in self._list_confirming(now):
            entry = lookup.last_packet.entry
            if lookup.is_listed and entry not in certainty:
                certainty[entry] = self._knows_all_agents(agents, now)
            if not lookup.is_listed or not certainty[entry]:
                is_waiting = True
                continue
            # An agent may have become known since the read.
            if not self._query_others(lookup, agents, now):
                actions += self._reset_ownerless(lookup, now)
        self._check_at = Millis(now + CHECK_INTERVAL_MS) if is_waiting else None
        if is_waiting and now - self._listed_at >= READ_INTERVAL_MS:
            self._on_owner_not_found()
        return actions

    def _on_owner_found(
        self, reply: OwnerReply, view: AgentView, now: Millis
    ) -> list[Action]:
        """Cache the owner and forward the held packets to it."""
        self._flows.put_owner(reply.flow, view, now)
        lookup = self._lookups.end(reply.flow)
        if lookup is None:
            return []
        fields = {"flow": format_flow(reply.flow), "agent": view.endpoint}
        return [
            *(
                make_forward(view, packet)
                for packet in lookup.list_packets_for_owner(view.endpoint)
            ),
            LogEvent("owner found", fields),
        ]

    def _add_packet(
        self,
        lookup: PendingLookup,
        packet: FlowPacket,
        excluded: AgentView | None,
        now: Millis,
    ) -> list[Action]:
        """Add another packet of the flow to a lookup in progress."""
        lookup.seen_at = now
        if excluded is None:
            if lookup.may_query_again(now):
                return self._query_again(lookup, packet, now)
            if lookup.stage is Stage.CONFIRMING:
                # The client sends the same bytes again, of which one copy suffices.
                lookup.release_packets()
            lookup.hold_packet(packet)
            if lookup.stage is Stage.QUERYING:
                return []
            return [
                *self._forward_to_candidates(lookup),
                *self._confirm_no_owner(lookup, now),
            ]
        lookup.record_return(excluded.endpoint)
        if lookup.stage is Stage.QUERYING:
            if packet not in lookup.held_packets:
                # The network may duplicate the frame that returned it.
                lookup.hold_packet(packet)
            return [] if lookup.pending_agents else self._end_querying(lookup, now)
        # The other candidates already have the packet.
        lookup.last_packet = packet
        return self._confirm_no_owner(lookup, now)

    def _query(
        self, lookup: PendingLookup, agents: list[AgentView], now: Millis
    ) -> None:
        """Query agents that haven't denied the flow of a lookup, in the next round."""
        sent_at = self._queries.add(agents, _make_query(lookup.last_packet), now)
        self._lookups.query(lookup, [view.entry for view in agents], sent_at)

    def _query_others(
        self, lookup: PendingLookup, agents: list[AgentView], now: Millis
    ) -> bool:
        """Query those of `agents` that haven't been; return whether there are any."""
        others = [view for view in agents if view.entry not in lookup.queried_agents]
        if others:
            self._query(lookup, others, now)
        return bool(others)

    def _query_again(
        self, lookup: PendingLookup, packet: FlowPacket, now: Millis
    ) -> list[Action]:
        """Query the agents that haven't denied the flow, now that its client waits.

        These are the ones that didn't reply or may own the flow, as far as they are
        still known, and the ones that weren't known before.
        """
        lookup.release_packets()
        lookup.hold_packet(packet)
        undecided = lookup.pending_agents | lookup.candidates
        agents = [
            view
            for view in self._list_agents(packet, now)
            if view.endpoint in undecided or view.entry not in lookup.queried_agents
        ]
        self._query(lookup, agents, now)
        return [] if agents else self._end_querying(lookup, now)

    def _end_querying(self, lookup: PendingLookup, now: Millis) -> list[Action]:
        """Stop waiting for replies to the owner queries.

        The first held packets are forwarded to the agents that may own the flow.
        """
        self._record_certain_denials(lookup, now)
        fields = {
            "flow": format_flow(lookup.flow),
            "unsure": len(lookup.candidates),
            "silent": len(lookup.pending_agents),
        }
        self._lookups.finish_querying(lookup)
        for endpoint in lookup.pending_agents:
            silent = self._silent_agents.setdefault(endpoint, _SilentAgent(now))
            silent.flows.add(lookup.flow)
            if len(silent.flows) > 2 * MAX_LOOKUPS:
                # The agent may be gone for good, and these lookups have ended.
                found = {flow for flow in silent.flows if self._lookups.find(flow)}
                silent.flows = found
        return [
            LogEvent("owner unknown", fields),
            *self._forward_to_candidates(lookup),
            *self._confirm_no_owner(lookup, now),
        ]

    def _record_certain_denials(self, lookup: PendingLookup, now: Millis) -> None:
        """Record that agents don't own the flow which certainly lost it, if any."""
        for endpoint in lookup.pending_agents | lookup.candidates:
            view = self._find_agent(endpoint)
            if view is None:
                continue
            is_unconfirmed = endpoint in lookup.unconfirmed
            if self._lost_its_flows(view, now) or (
                is_unconfirmed and self._confirms_start(view, now)
            ):
                lookup.record_reply(endpoint, Ownership.NOT_OWNER)

    def _confirm_no_owner(self, lookup: PendingLookup, now: Millis) -> list[Action]:
        """Request a new list of agents if no queried agent may own the flow."""
        if not lookup.is_denied:
            return []
        if lookup.last_packet.kind is PacketKind.ABORT:
            # Its client expects no reset.
            self._lookups.end(lookup.flow)
            return []
        if lookup.stage is not Stage.CONFIRMING:
            self._lookups.start_confirming(lookup)
            if self._check_at is None:
                self._check_at = Millis(now + CHECK_INTERVAL_MS)
            self._on_owner_not_found()
        return []

    def _reset_ownerless(self, lookup: PendingLookup, now: Millis) -> list[Action]:
        """Reset the client of a flow that no agent owns."""
        self._lookups.end(lookup.flow)
        cached = self._flows.find(lookup.flow)
        if cached is not None and cached.is_confirmed:
            # An agent has accepted another flow from the client's port since.
            return []
        self._flows.drop(lookup.flow)
        reset = ResetClient(lookup.flow, lookup.last_packet.acknowledged or 0)
        fields = {
            "flow": format_flow(lookup.flow),
            "asked": len(lookup.queried_agents),
            "ms": now - lookup.began_at,
        }
        return [reset, LogEvent("flow has no owner", fields)]

    def _forward_to_candidates(self, lookup: PendingLookup) -> list[Action]:
        """Forward the next trial packets to the agents that may own the flow."""
        if not lookup.candidates:
            return []
        packets = lookup.next_trial_packets()
        views = [self._find_agent(endpoint) for endpoint in lookup.candidates]
        return [
            make_forward(view, packet)
            for view in views
            if view is not None
            for packet in packets
        ]


def make_forward(agent: AgentView, packet: FlowPacket) -> SendFrame:
    """Return the action that forwards a client's packet to an agent."""
    return SendFrame(agent.endpoint, ForwardFrame(agent.entry.service, packet))


def _make_query(packet: FlowPacket) -> OwnerQuery:
    """Return the query for the owner of a packet's flow."""
    return OwnerQuery(packet.flow, packet.acknowledged)
