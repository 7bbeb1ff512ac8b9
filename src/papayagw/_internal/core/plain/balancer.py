"""Routing decisions of a balancer of the plain front end, per packet and frame.

Agents own the flows. A balancer only caches the owners, and queries the agents about
flows that it doesn't know. It can therefore be stopped, started or added at any time.
"""

from collections.abc import Callable, Iterable

from papayagw._internal.core.plain.early_packets import EarlyPackets
from papayagw._internal.core.plain.membership.evacuation import ZoneEvacuations
from papayagw._internal.core.plain.membership.mass_restart import MassRestart
from papayagw._internal.core.plain.membership.roster import (
    MISSING_GRACE_MS,
    AgentView,
    Roster,
)
from papayagw._internal.core.plain.ownership.flow_cache import FlowCache
from papayagw._internal.core.plain.ownership.owner_lookup import (
    OwnerLookup,
    make_forward,
)
from papayagw._internal.core.plain.placement.choice import (
    FALLBACK_SERVICE_US,
    PlainChooser,
)
from papayagw._internal.core.plain.placement.openings import (
    Opening,
    Openings,
    sort_newest_first,
)
from papayagw._internal.core.plain.placement.waiting import (
    PriorityOrder,
    Selection,
    WaitingOpening,
    WaitingOrder,
    expected_answer_ms,
)
from papayagw._internal.core.plain.routing.route_history import RouteHistory
from papayagw._internal.core.unit_hash import unit_hash
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import (
    Action,
    LogEvent,
    ResetClient,
    SendFrame,
)
from papayagw._internal.models.plain.frame import (
    EntryMissingFrame,
    LoadFrame,
    OpenedFrame,
    OpenFrame,
    OwnerQueryFrame,
    OwnerReplyFrame,
    Ownership,
    ReturnFrame,
    ReturnReason,
    ScopeFrame,
    ServiceLimitsFrame,
    ToBalancer,
)
from papayagw._internal.models.plain.instance import AgentLoad
from papayagw._internal.models.plain.packet import (
    FlowKey,
    FlowPacket,
    PacketKind,
    format_flow,
)
from papayagw._internal.models.plain.site import NO_LIMITS, Route, SiteVersion

RESTART_SPREAD_MS = Millis(1_500)
"""Maximum time from a backend server's start to a balancer's first read of the store.

Holds if both restarted after the same power loss: 0.9 s for the slowest balancer to
start, and one attempt to read the store. In a fleet that started slightly earlier, a
store entry may be missing without a power loss, so the value must not be larger.
"""

MIN_RESTARTED_SHARE = 0.75
"""Share of the agents whose backend servers must have restarted in a loss of power.

The others may be lost for good, or take longer to start.
"""

POWER_LOSS_VALIDITY_MS = Millis(12_000)
"""Time after its start for which a balancer takes a loss of power into account.

By then the leases of the agents that are lost for good have expired.
"""

PROBE_INTERVAL_MS = Millis(500)
"""Interval between probes of agents that have had no report.

Half of `MAX_REQUEST_GAP_MS`, so that one of them may be lost.
"""

SCOPE_INTERVAL_MS = Millis(200)
"""Minimum time between two scope frames sent to one agent."""

LIMITS_INTERVAL_MS = Millis(500)
"""Minimum time between two frames with the rate of a cold server to one agent.

After a loss of power all servers are cold, and each balancer repeats the rate to all
agents that report to it.
"""


class PlainBalancer:
    """State machine of one balancer; performs no I/O.

    Parameters
    ----------
    roster : Roster
        The known agents.
    route_history : RouteHistory
        Services that routes have lost.
    chooser : PlainChooser
        Selects the agent for an opening.
    on_newer_version : callable
        Called when an agent reports a newer configuration version than the one in
        force here.
    on_owner_not_found : callable
        Called when all known agents have replied that they don't own a flow. It
        causes the list of agents to be read again.
    evacuations : ZoneEvacuations or None
        The evacuated zones; None if zones aren't evacuated in this deployment.
    order : WaitingOrder or None
        Selects which waiting opening is offered next; None for the higher priority
        and then the newest.
    """

    _lookup_type = OwnerLookup

    def __init__(
        self,
        roster: Roster,
        route_history: RouteHistory,
        chooser: PlainChooser,
        on_newer_version: Callable[[], None] = lambda: None,
        on_owner_not_found: Callable[[], None] = lambda: None,
        evacuations: ZoneEvacuations | None = None,
        order: WaitingOrder | None = None,
    ):
        self._roster = roster
        self._route_history = route_history
        self._chooser = chooser
        self._evacuations = evacuations or ZoneEvacuations(roster)
        self._order: WaitingOrder = order or PriorityOrder()
        self._on_newer_version = on_newer_version
        self._site: SiteVersion | None = None
        self._flows = FlowCache()
        self._openings = Openings()
        self._early_packets = EarlyPackets()
        self._lookup = self._lookup_type(
            self._list_possible_owners,
            roster.find,
            self._flows,
            on_owner_not_found,
            self._knows_all_agents,
            self._lost_its_flows,
            MassRestart(roster).includes,
        )
        self._first_listed_at: Millis | None = None
        self._last_listed_at = Millis(0)
        self._is_after_power_loss = False
        self._next_probe_at: Millis | None = None
        self._scope_sent_at: dict[Endpoint, Millis] = {}

    @property
    def site(self) -> SiteVersion | None:
        """The configuration in force."""
        return self._site

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force and at least one agent is known."""
        return self._site is not None and len(self._roster) > 0

    @property
    def _can_route(self) -> bool:
        """Whether a configuration is in force and the agents have been read."""
        return self._site is not None and self._first_listed_at is not None

    @property
    def flow_count(self) -> int:
        """Number of flows whose owner is cached."""
        return len(self._flows)

    @property
    def due_at(self) -> Millis | None:
        """Time at which `on_timer` must be called next; None if no timer is pending."""
        due = (
            self._openings.due_at,
            self._lookup.due_at,
            self._next_probe_at,
            self._evacuations.due_at,
        )
        return min((at for at in due if at is not None), default=None)

    def apply_site(self, site: SiteVersion, now: Millis) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if self._site is not None:
            if site.version <= self._site.version:
                return False
            self._route_history.record(self._site, site, now)
        self._site = site
        return True

    def on_agents_listed(self, now: Millis) -> list[Action]:
        """Handle the completion of a full read of the agents' store entries.

        Continues the owner lookups that waited for it.
        """
        self._last_listed_at = now
        if self._first_listed_at is None:
            self._first_listed_at = now
            self._next_probe_at = Millis(now + PROBE_INTERVAL_MS)
        return [
            *self._lookup.on_agents_listed(now),
            *self.handle_early_packets(now),
        ]

    def handle_early_packets(self, now: Millis) -> list[Action]:
        """Handle the packets that arrived before routes and agents were known.

        Of the openings the higher priority and the newest go first, since they can
        still meet the latency objective.
        """
        if not self._can_route:
            return []
        actions: list[Action] = []
        openings: dict[FlowKey, Opening] = {}
        for arrived_at, packet in self._early_packets.take(now):
            if packet.kind is PacketKind.OPEN and self._find_route(packet) is not None:
                openings[packet.flow] = self._openings.begin(packet, arrived_at)
            else:
                actions += self.on_client_packet(packet, now)
        newest_first = sort_newest_first(list(openings.values()))
        for opening in sorted(newest_first, key=lambda one: self._rank_of(one, now)):
            actions += self._on_offer_due(opening, now)
        return actions

    def notify_missing_agents(self) -> list[Action]:
        """Return frames that ask agents to restore missing store entries."""
        return [
            SendFrame(view.endpoint, EntryMissingFrame(view.entry.service))
            for view in self._roster.list_missing()
        ]

    def on_client_packet(self, packet: FlowPacket, now: Millis) -> list[Action]:
        """Handle a packet from a client and return the resulting actions."""
        if packet.rejected_by_backend:
            return []
        if not self._can_route:
            self._early_packets.hold(packet, now)
            return []
        route = self._find_route(packet)
        if route is None:
            return self._reset_unrouted(packet)
        if packet.kind is PacketKind.OPEN:
            return self._on_opening(packet, route, now)
        if packet.kind is PacketKind.ACCEPT:
            return [
                LogEvent("forged packet dropped", {"flow": format_flow(packet.flow)})
            ]
        cached = self._flows.find(packet.flow)
        if cached is None:
            return self._lookup.find_owner(packet, now)
        cached.seen_at = now
        return [make_forward(cached.agent, packet)]

    def on_frame(
        self, frame: ToBalancer, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Handle a frame from an agent and return the resulting actions."""
        view = self._roster.find(source)
        if view is None:
            # The agent's store entry hasn't reached this balancer yet; a later frame
            # will be accepted once it has.
            return []
        view.record_load(frame.load, now)
        actions = [
            *self._handle_version_mismatch(view, frame.load, now),
            *self._evacuations.on_load(view, frame.load, now),
            *self._handle_frame(frame, view, now),
            *self._offer_waiting_openings(view, now),
        ]
        self._lookup.on_agent_heard(view, now)
        return actions

    def on_timer(self, now: Millis) -> list[Action]:
        """Handle timeouts and due retries, and remove idle flows from the cache."""
        actions: list[Action] = []
        overdue = self._openings.take_due(now)
        for opening in sorted(overdue, key=lambda one: self._rank_of(one, now)):
            actions += self._on_offer_due(opening, now)
        actions += self._lookup.on_timer(now)
        actions += self._evacuations.on_timer(now)
        if self._next_probe_at is not None and now >= self._next_probe_at:
            actions += self._probe_agents(now)
        if self._site is not None:
            self._flows.sweep(now, self._site.idle_timeout_ms)
        return actions

    # Openings

    def _on_opening(
        self, packet: FlowPacket, route: Route, now: Millis
    ) -> list[Action]:
        """Offer an opening to an agent, or resend it to the agent that accepted it."""
        cached = self._flows.find(packet.flow)
        if cached is not None and cached.is_copy(packet, now):
            # The acceptance was lost on the way to the client. The backend server
            # answers the retransmitted opening again.
            cached.seen_at = now
            return [self._make_open_frame(cached.agent, packet)]
        self._lookup.forget(packet.flow)
        if cached is not None and cached.is_confirmed:
            # The earlier flow from this port is over, whether its end was seen or not.
            self._flows.drop(packet.flow)
        opening = self._openings.begin(packet, now)
        return self._offer(opening, route, now)

    def _offer(self, opening: Opening, route: Route, now: Millis) -> list[Action]:
        """Offer an opening to an agent that hasn't been tried yet.

        If there is none, another round of offers is scheduled. The opening ends if it
        would be too old by then, or at once if a backend server has rejected it, or all
        agents are in evacuated zones, and none can have accepted it.
        """
        packet = opening.packet
        service = _pick_service(route, packet)
        agent = self._choose_agent(service, opening, now)
        if agent is None or opening.is_exhausted:
            is_hopeless = opening.is_declined or self._evacuations.has_emptied(
                service, now
            )
            is_settled = is_hopeless and opening.is_known_unopened(now)
            if not is_settled and self._openings.schedule_retry(opening, service, now):
                return []
            return self._end_unserved_opening(opening, service, now)
        return self._offer_to(agent, opening, route, now)

    def _offer_to(
        self, agent: AgentView, opening: Opening, route: Route, now: Millis
    ) -> list[Action]:
        """Offer an opening to `agent` and record the offer."""
        packet = opening.packet
        self._openings.record_offer(opening, agent, now)
        agent.record_request(now)
        agent.pending_offers += 1
        self._flows.put_offer(packet, agent, now)
        log_event = LogEvent(
            "opening offered", self._describe_offer(opening, agent, route)
        )
        return [self._make_open_frame(agent, packet), log_event]

    def _offer_waiting_openings(self, agent: AgentView, now: Millis) -> list[Action]:
        """Offer waiting openings to an agent that has free capacity."""
        if agent.free_capacity <= 0 or not self._evacuations.is_in_service(agent):
            return []
        service = agent.entry.service
        waiting = self._openings.list_waiting(service)
        if not waiting or not agent.accepts_openings(now):
            return []
        # The route may have changed while an opening waited.
        routed = [
            (opening, route)
            for opening in waiting
            if (route := self._find_route(opening.packet)) is not None
            and _pick_service(route, opening.packet) == service
        ]
        service_us = agent.load.service_us if agent.load is not None else 0
        selections = self._order.select(
            service,
            [_describe_waiting(opening, route, now) for opening, route in routed],
            agent.free_capacity,
            expected_answer_ms(service_us or FALLBACK_SERVICE_US),
            now,
        )
        actions: list[Action] = []
        for selection in selections:
            opening, route = routed[selection.index]
            opening.was_selected = True
            actions += self._offer_to(agent, opening, route, now)
            if self._order.is_logged:
                fields = _describe_selection(selection, opening, route, now)
                actions.append(
                    LogEvent("opening waited", fields | {"waiting": len(routed)})
                )
        return actions

    def _choose_agent(
        self, service: str, opening: Opening, now: Millis
    ) -> AgentView | None:
        """Return the agent that gets an opening next, or None if there is none."""
        views = self._evacuations.list_in_service(self._roster.list_service(service))
        untried = [
            view
            for view in views
            if view.endpoint not in opening.tried_agents and not view.is_gone(now)
        ]
        available = [view for view in untried if view.accepts_openings(now)]
        # A suspect agent may still answer, whereas an opening that isn't offered to
        # any agent certainly fails.
        candidates = available or [view for view in untried if view.is_suspect(now)]
        if not candidates:
            return None
        return self._chooser.choose(opening.packet.flow, candidates, now)

    def _make_open_frame(self, agent: AgentView, packet: FlowPacket) -> SendFrame:
        """Return the action that sends an opening to an agent."""
        version = self._site.version if self._site is not None else 0
        frame = OpenFrame(agent.entry.service, version, packet)
        return SendFrame(agent.endpoint, frame)

    def _end_unserved_opening(
        self, opening: Opening, service: str, now: Millis
    ) -> list[Action]:
        """Discard an opening, and reset its client if no agent can have accepted it.

        Otherwise the client may already use the flow.
        """
        packet = opening.packet
        self._openings.end(packet.flow)
        self._flows.drop(packet.flow)
        fields: dict[str, object] = {
            "flow": format_flow(packet.flow),
            "service": service,
            "declined": opening.is_declined,
        }
        if self._evacuations.zones:
            fields["evacuated"] = " ".join(sorted(self._evacuations.zones))
        if not opening.is_known_unopened(now):
            fields["unanswered"] = len(opening.unanswered_agents)
            fields["copies"] = len(opening.seen_copies)
            return [LogEvent("opening dropped", fields)]
        fields["outcome"] = "not run"
        return [ResetClient(packet.flow, 0), LogEvent("opening refused", fields)]

    def _rank_of(self, opening: Opening, now: Millis) -> tuple[int, int]:
        """Return the sort key of an opening; the least is served first."""
        route = self._find_route(opening.packet)
        if route is None:
            return (0, 0)
        return self._order.rank(_describe_waiting(opening, route, now))

    def _on_offer_due(self, opening: Opening, now: Millis) -> list[Action]:
        """Offer an opening again after an offer timeout or a retry delay.

        An agent that left its offer unanswered becomes suspect.
        """
        agent = opening.agent
        route = self._find_route(opening.packet)
        if route is None:
            self._openings.end(opening.packet.flow)
            return []
        if agent is None:
            return self._offer(opening, route, now)
        suspected_ms = agent.mark_suspect(now)
        opening.unanswered_agents.add(agent.endpoint)
        fields = {
            "agent": agent.endpoint,
            "flow": format_flow(opening.packet.flow),
            "suspected_ms": suspected_ms,
        }
        return [
            LogEvent("opening unanswered", fields),
            *self._offer(opening, route, now),
        ]

    def _describe_offer(
        self, opening: Opening, agent: AgentView, route: Route
    ) -> dict[str, object]:
        """Return the log fields of an offer."""
        load = agent.load
        return {
            "flow": format_flow(opening.packet.flow),
            "route": route.name,
            "version": self._site.version if self._site is not None else 0,
            "agent": agent.endpoint,
            "offer": len(opening.tried_agents),
            "copy": opening.packet.copy,
            "busy": load.busy if load is not None else None,
            "pending": agent.pending_offers,
        }

    # Frames from agents

    def _handle_frame(
        self, frame: ToBalancer, view: AgentView, now: Millis
    ) -> list[Action]:
        """Handle a frame whose load report has been recorded."""
        match frame:
            case OpenedFrame():
                return self._on_opened(frame, view, now)
            case ReturnFrame():
                return self._on_returned(frame, view, now)
            case OwnerReplyFrame():
                return self._on_owner_replies(frame, view, now)
            case LoadFrame():
                return []

    def _on_opened(
        self, frame: OpenedFrame, view: AgentView, now: Millis
    ) -> list[Action]:
        """Record that an agent's backend server has accepted an opening."""
        opening = self._openings.end(frame.flow)
        self._flows.put_owner(frame.flow, view, now)
        if opening is None:
            return []
        self._record_accepted(opening, view.entry.service, now)
        fields = {
            "flow": format_flow(frame.flow),
            "agent": view.endpoint,
            "ms": now - opening.started_at,
            "offers": len(opening.tried_agents),
        }
        return [LogEvent("opening accepted", fields)]

    def _record_accepted(self, opening: Opening, service: str, now: Millis) -> None:
        """Record an accepted opening for the order of the waiting ones."""
        route = self._find_route(opening.packet)
        if route is not None:
            self._order.record_accepted(
                service, route.type, now, was_selected=opening.was_selected
            )

    def _on_returned(
        self, frame: ReturnFrame, view: AgentView, now: Millis
    ) -> list[Action]:
        """Find the right agent for a packet that an agent sent back."""
        packet = frame.packet
        route = self._find_route(packet)
        if route is None:
            return []
        if frame.reason in (ReturnReason.SILENT, ReturnReason.WRONG_SERVICE):
            view.mark_suspect(now)
        if packet.kind is PacketKind.OPEN:
            return self._on_returned_opening(frame, view, route, now)
        cached = self._flows.find(packet.flow)
        # The cached view is outdated if the endpoint serves another service by now.
        if cached is not None and cached.agent.endpoint == view.endpoint:
            self._flows.drop(packet.flow)
        elif cached is not None:
            return [make_forward(cached.agent, packet)]
        return self._lookup.find_owner(packet, now, excluded=view)

    def _on_returned_opening(
        self, frame: ReturnFrame, view: AgentView, route: Route, now: Millis
    ) -> list[Action]:
        """Offer a returned opening to another agent.

        It isn't offered if it has ended, waits for a retry or has been offered to
        another agent since. With the reason `OLD_VERSION` the opening is dropped: the
        agent knows a newer configuration, which doesn't route the opening's entry to
        the agent's service.
        """
        packet = frame.packet
        fields = {
            "flow": format_flow(packet.flow),
            "agent": view.endpoint,
            "reason": frame.reason.name.lower(),
        }
        log_event = LogEvent("opening returned", fields)
        if frame.reason is ReturnReason.BUSY:
            view.start_backoff(now)
        opening = self._openings.find(packet.flow)
        if opening is not None:
            opening.unanswered_agents.discard(view.endpoint)
        if opening is None or opening.agent is not view:
            # The opening has been offered to another agent since, waits for a retry or
            # has ended.
            return [log_event]
        if frame.reason is ReturnReason.OLD_VERSION:
            self._openings.end(packet.flow)
            self._flows.drop(packet.flow)
            return [log_event]
        opening.is_declined |= frame.reason is ReturnReason.FULL
        return [log_event, *self._offer(opening, route, now)]

    def _on_owner_replies(
        self, frame: OwnerReplyFrame, view: AgentView, now: Millis
    ) -> list[Action]:
        """Handle replies to owner queries; an owner's reply also ends its opening."""
        actions: list[Action] = []
        for reply in frame.replies:
            if reply.ownership is Ownership.OWNER:
                self._openings.end(reply.flow)
            actions += self._lookup.on_reply(reply, view, now)
        return actions

    def _handle_version_mismatch(
        self, view: AgentView, load: AgentLoad, now: Millis
    ) -> Iterable[Action]:
        """Bring the side with the older configuration version up to date.

        Calls `on_newer_version` if the agent's version is newer. Yields a scope frame
        for the agent if its version is older, at most every `SCOPE_INTERVAL_MS`. A
        scope frame lists the entries (addresses and ports that clients send to) that
        one configuration version routes to one service.

        Before it goes the rate of the service's cold servers, if one is stated. While
        the agent's server is cold, the rate is repeated, since a frame may be lost.
        """
        if self._site is None:
            return
        if load.site_version > self._site.version:
            self._on_newer_version()
            return
        service = view.entry.service
        limits = self._site.limits.get(service, NO_LIMITS)
        is_older = load.site_version < self._site.version
        if not is_older and not limits.is_cold_at(load.run_age_ms):
            return
        sent_at = self._scope_sent_at.get(view.endpoint)
        interval_ms = SCOPE_INTERVAL_MS if is_older else LIMITS_INTERVAL_MS
        if sent_at is not None and now - sent_at < interval_ms:
            return
        self._scope_sent_at[view.endpoint] = now
        if limits.cold_per_s > 0:
            yield SendFrame(
                view.endpoint,
                ServiceLimitsFrame(service, self._site.version, limits.cold_per_s),
            )
        if is_older:
            yield SendFrame(view.endpoint, _make_scope_frame(self._site, service))

    def _knows_all_agents(self, agents: list[AgentView], now: Millis) -> bool:
        """Return whether `agents` includes every agent that may own a flow.

        At the first read of the store, the entry of a running agent may be missing; it
        is restored within `MISSING_GRACE_MS`, and a later read shows it. If all backend
        servers have started recently, no earlier flow can exist and there is no need to
        wait.
        """
        first_listed_at = self._first_listed_at
        if first_listed_at is None:
            return False
        if self._last_listed_at - first_listed_at > MISSING_GRACE_MS:
            return True
        start = Millis(first_listed_at - RESTART_SPREAD_MS)
        return all(
            view.backend_started_after(start) or self._lost_its_flows(view, now)
            for view in agents
        )

    def _lost_its_flows(self, agent: AgentView, now: Millis) -> bool:
        """Return whether an agent's backend server lost all its flows with the power.

        That is so if the fleet has lost power and the agent has had no report of its
        server since, as far as it was asked from the start. Otherwise it may have
        accepted flows since by way of another balancer, even if it is silent now.
        """
        started_at = self._first_listed_at
        return (
            started_at is not None
            and agent.had_no_report_since(Millis(started_at + RESTART_SPREAD_MS), now)
            and self._detect_power_loss(now)
        )

    def _probe_agents(self, now: Millis) -> list[Action]:
        """Ask the agents again that have had no report since they were first asked.

        Only then their silence shows that they have accepted nothing meanwhile.
        """
        started_at = self._first_listed_at
        if started_at is None or now - started_at > POWER_LOSS_VALIDITY_MS:
            self._next_probe_at = None
            return []
        self._next_probe_at = Millis(now + PROBE_INTERVAL_MS)
        latest_start = Millis(started_at + RESTART_SPREAD_MS)
        probed = [
            view for view in self._roster if view.had_no_report_since(latest_start, now)
        ]
        for view in probed:
            view.record_request(now)
        return [
            SendFrame(view.endpoint, OwnerQueryFrame(view.entry.service, ()))
            for view in probed
        ]

    def _detect_power_loss(self, now: Millis) -> bool:
        """Return whether the whole fleet lost power shortly before this balancer."""
        started_at = self._first_listed_at
        if started_at is None or now - started_at > POWER_LOSS_VALIDITY_MS:
            return False
        if not self._is_after_power_loss:
            start = Millis(started_at - RESTART_SPREAD_MS)
            heard = [view for view in self._roster if view.has_report]
            is_most = len(heard) >= MIN_RESTARTED_SHARE * len(self._roster)
            self._is_after_power_loss = is_most and all(
                view.backend_started_after(start) for view in heard
            )
        return self._is_after_power_loss

    # Routes

    def _list_possible_owners(self, packet: FlowPacket, now: Millis) -> list[AgentView]:
        """Return the agents that may own a flow of the packet's entry.

        These are the agents of the services that the entry is routed to, or was within
        the life of a flow.
        """
        route = self._find_route(packet)
        if route is None:
            return []
        former = self._route_history.list_former_services(packet.entry, now)
        names = dict.fromkeys([*(one.name for one in route.services), *former])
        return [view for name in names for view in self._roster.list_service(name)]

    def _find_route(self, packet: FlowPacket) -> Route | None:
        """Return the route of the entry that a packet was sent to, or None."""
        if self._site is None:
            return None
        return self._site.routes.get(packet.entry)

    def _reset_unrouted(self, packet: FlowPacket) -> list[Action]:
        """Reset the flow of a packet whose entry has no route."""
        self._flows.drop(packet.flow)
        if packet.kind is PacketKind.ABORT:
            return []
        fields = {
            "flow": format_flow(packet.flow),
            "version": self._site.version if self._site is not None else 0,
        }
        reset = ResetClient(packet.flow, packet.acknowledged or 0)
        return [reset, LogEvent("entry not routed", fields)]


def _pick_service(route: Route, packet: FlowPacket) -> str:
    """Return the service for a new flow.

    The choice is a hash of the flow, so that all copies of an opening, at any balancer,
    get the same service.
    """
    if len(route.services) == 1:
        return route.services[0].name
    total = sum(service.weight for service in route.services)
    point = unit_hash(packet.flow, b"service") * total
    for service in route.services:
        point -= service.weight
        if point <= 0:
            return service.name
    return route.services[-1].name


def _describe_waiting(opening: Opening, route: Route, now: Millis) -> WaitingOpening:
    """Return what the order of a waiting opening depends on."""
    return WaitingOpening(
        route.type,
        route.priority,
        Millis(now - opening.started_at),
        route.objective_ms,
        route.timeout_ms,
    )


def _describe_selection(
    selection: Selection, opening: Opening, route: Route, now: Millis
) -> dict[str, object]:
    """Return the log fields of an opening that is offered after it waited."""
    return {
        "flow": format_flow(opening.packet.flow),
        "ms": now - opening.started_at,
        "kind": route.type,
        "rule": selection.rule,
    }


def _make_scope_frame(site: SiteVersion, service: str) -> ScopeFrame:
    """Return a frame that lists the entries routed to a service."""
    entries = frozenset(
        entry
        for entry, route in site.routes.items()
        if any(candidate.name == service for candidate in route.services)
    )
    return ScopeFrame(service, site.version, entries)
