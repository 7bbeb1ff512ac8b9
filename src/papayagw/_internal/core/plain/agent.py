"""Agent of the plain front end: handles packets, frames and status reports.

The agent owns the flows of its local backend server. It alone decides whether the
server receives an opening, since only the agent sees the server's reports without
delay.
"""

from papayagw._internal.core.plain.admission.admission_control import AdmissionControl
from papayagw._internal.core.plain.admission.backend_state import (
    REPORT_INTERVAL_MS,
    BackendState,
)
from papayagw._internal.core.plain.admission.cold_start import ColdStartRule
from papayagw._internal.core.plain.admission.run_order import ReportUse
from papayagw._internal.core.plain.membership.agent_evacuation import AgentEvacuation
from papayagw._internal.core.plain.membership.peers import BalancerPeers
from papayagw._internal.core.plain.ownership.owned_flows import OwnedFlow, OwnedFlows
from papayagw._internal.core.plain.ownership.ownership import OwnershipResolver
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import (
    Action,
    LogEvent,
    ResetClient,
    RestoreEntry,
    SendFrame,
    SendToBackend,
    SendToClient,
)
from papayagw._internal.models.plain.frame import (
    EntryMissingFrame,
    EvacuationFrame,
    ForwardFrame,
    LoadFrame,
    OpenedFrame,
    OpenFrame,
    OwnerQueryFrame,
    OwnerReply,
    OwnerReplyFrame,
    Ownership,
    ReturnFrame,
    ReturnReason,
    ScopeFrame,
    ServiceLimitsFrame,
    ToAgent,
)
from papayagw._internal.models.plain.instance import (
    AgentLoad,
    Departure,
    StatusReport,
)
from papayagw._internal.models.plain.packet import (
    FlowKey,
    FlowPacket,
    PacketKind,
    format_flow,
)

BACKEND_ACCEPT_TIMEOUT_MS = Millis(40)
"""Time within which the backend server must accept or reject an opening.

Agent and server share a machine, and the server needs less than 1 ms to answer.
"""

COLD_START_FACTOR = 1.5
"""Factor by which reported service times are raised while the backend server is cold.

A backend server is cold, which means slow, for some time after its start.
"""

STALLED_REQUEST_TIMEOUT_MS = Millis(3_000)
"""Age after which a request no longer counts as in progress.

Many times longer than a backend server needs for a request.
"""

RUN_START_SLACK_MS = Millis(20)
"""How far a flow's start may lie before the reported start of its run.

Allows for clock rounding.
"""

SWEEP_INTERVAL_MS = Millis(1_000)
"""Interval between removals of expired flows."""


class PlainAgent:
    """State machine of one agent; performs no I/O.

    Parameters
    ----------
    service : str
        Service of the local backend server.
    flow_limit_ms : Millis
        Idle time after which a flow may be removed.
    now : Millis
        Time at which the agent started.
    report_interval_ms : Millis
        Interval between acknowledged reports of the backend server.
    follows_evacuations : bool
        Whether openings are refused while the agent's zone is evacuated.
    cold_rule : ColdStartRule or None
        Limit on the openings to a cold backend server; None for no limit.
    """

    def __init__(
        self,
        service: str,
        flow_limit_ms: Millis,
        now: Millis,
        report_interval_ms: Millis = REPORT_INTERVAL_MS,
        follows_evacuations: bool = False,
        cold_rule: ColdStartRule | None = None,
    ):
        self._service = service
        self._flow_limit_ms = flow_limit_ms
        backend = BackendState(service, report_interval_ms)
        self._admission = AdmissionControl(backend, now, cold_rule)
        self._flows = OwnedFlows()
        self._ownership = OwnershipResolver(self._flows, backend, flow_limit_ms, now)
        self._peers = BalancerPeers()
        self._evacuation = AgentEvacuation(follows_evacuations)
        self._scope: ScopeFrame | None = None
        self._pending_openings: dict[FlowKey, OwnedFlow] = {}
        self._last_sweep_at = now

    @property
    def is_ready(self) -> bool:
        """Whether the backend server has reported and hasn't announced its end."""
        return self._admission.backend.is_known

    @property
    def flow_count(self) -> int:
        """Number of tracked flows."""
        return len(self._flows)

    @property
    def due_at(self) -> Millis | None:
        """Time at which `on_timer` must be called next; None if no timer is pending.

        Excludes the removal of expired flows, which any later call makes up for.
        """
        sent_at = (owned.opening_sent_at for owned in self._pending_openings.values())
        due_at = [at + BACKEND_ACCEPT_TIMEOUT_MS for at in sent_at if at is not None]
        other_due_at = (self._peers.due_at, self._admission.due_at)
        due_at += [at for at in other_due_at if at is not None]
        return Millis(min(due_at)) if due_at else None

    def current_load(self, now: Millis) -> AgentLoad:
        """Return the current load and availability, as reported to balancers."""
        meter = self._admission.meter
        service_us = meter.service_us(now)
        if self._admission.backend.is_cold(now):
            service_us = round(service_us * COLD_START_FACTOR)
        return AgentLoad(
            availability=self._evacuation.limit(self._admission.availability(now)),
            slots=meter.slots,
            busy=self._admission.count_reported_requests(
                len(self._pending_openings), now
            ),
            flows=len(self._flows),
            utilization=meter.utilization(now),
            service_us=service_us,
            site_version=self._scope.site_version if self._scope is not None else 0,
            run_age_ms=self._admission.backend.age_ms(now),
        )

    # Frames from balancers

    def on_frame(self, frame: ToAgent, source: Endpoint, now: Millis) -> list[Action]:
        """Handle a frame from a balancer and return the resulting actions."""
        if not isinstance(frame, EvacuationFrame | ServiceLimitsFrame):
            # All balancers send these frames at the same moment. If they counted as
            # active, the rounds of load frames would be seconds apart.
            self._peers.record_frame(source, now)
        if frame.service != self._service:
            return self._reject_wrong_service(frame, source, now)
        return self._handle_frame(frame, source, now)

    def _handle_frame(
        self, frame: ToAgent, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Handle a frame for this agent's service."""
        match frame:
            case OpenFrame():
                return self._on_opening(frame, source, now)
            case ForwardFrame():
                return self._on_forwarded_packet(frame, source, now)
            case OwnerQueryFrame():
                return self._on_owner_queries(frame, source, now)
            case ScopeFrame():
                return self._on_scope(frame, source, now)
            case ServiceLimitsFrame():
                return self._on_service_limits(frame, source, now)
            case EntryMissingFrame():
                fields = {"peer": source}
                return [RestoreEntry(), LogEvent("entry missing in the store", fields)]
            case EvacuationFrame():
                return self._on_evacuation(frame, source, now)

    def _on_opening(
        self, frame: OpenFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Pass an opening to the backend server, or return it to the balancer."""
        packet = frame.packet
        known = self._flows.find(packet.flow)
        is_copy = known is not None and known.is_copy(packet, now)
        owned = known if is_copy else None
        if owned is None or owned.accept_sequence is None:
            reason = self._find_rejection_reason(frame, source, now)
            if reason is ReturnReason.BUSY:
                return [
                    *self._return_packet(packet, reason, source, now),
                    *self._log_cold_limit(packet, now),
                ]
            if reason is not None:
                return self._return_packet(packet, reason, source, now)
        if owned is None:
            if known is not None:
                # The earlier flow from this port is over, seen or not.
                self._remove_flow(packet.flow, known, now)
            owned = self._flows.add(packet.flow, source, now)
            owned.opening_sequence = packet.sequence
        owned.balancer = source
        owned.seen_at = now
        if owned.accept_sequence is None:
            owned.opening_sent_at = now
            owned.pending_opening = packet
            self._admission.record_opening(now)
            self._pending_openings[packet.flow] = owned
        return [SendToBackend(packet, self._peers.token_of(source))]

    def _on_forwarded_packet(
        self, frame: ForwardFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Pass a client's packet to the backend server.

        The packet is returned to the balancer if it acknowledges bytes that another
        backend server sent, since that server then owns the flow.
        """
        packet = frame.packet
        owned = self._flows.find(packet.flow)
        if owned is not None and not owned.matches(packet.acknowledged):
            return self._return_packet(packet, ReturnReason.NOT_OWNER, source, now)
        if owned is not None:
            owned.balancer = source
            self._record_client_packet(owned, packet, now)
        # The backend server may hold a flow that isn't tracked here; it returns
        # packets of flows that it doesn't hold.
        return [SendToBackend(packet, self._peers.token_of(source))]

    def _on_owner_queries(
        self, frame: OwnerQueryFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Reply to a balancer's owner queries."""
        replies = tuple(
            OwnerReply(query.flow, self._ownership.resolve(query, now))
            for query in frame.queries
        )
        return [SendFrame(source, OwnerReplyFrame(replies, self.current_load(now)))]

    def _on_scope(
        self, frame: ScopeFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Record the entries routed to the service if their version is newer."""
        if self._scope is not None and frame.site_version <= self._scope.site_version:
            return []
        self._scope = frame
        has_new_rate = self._admission.apply_cold_rate(0.0, frame.site_version)
        fields = {
            "version": frame.site_version,
            "entries": len(frame.entries),
            "peer": source,
        }
        notified = self._notify_of_capacity(now) if has_new_rate else []
        return [LogEvent("scope in force", fields), *notified]

    def _on_service_limits(
        self, frame: ServiceLimitsFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Apply the rate of a cold backend server if its version is newer."""
        if not self._admission.apply_cold_rate(frame.cold_per_s, frame.site_version):
            return []
        fields = {
            "version": frame.site_version,
            "cold_per_s": frame.cold_per_s,
            "peer": source,
        }
        log_event = LogEvent("cold limit in force", fields)
        return [log_event, *self._notify_of_capacity(now)]

    def _log_cold_limit(self, packet: FlowPacket, now: Millis) -> list[Action]:
        """Return the log event of an opening over the limit on a cold server."""
        fields = self._admission.describe_cold_limit(now)
        if not fields:
            return []
        flow = {"flow": format_flow(packet.flow)}
        return [LogEvent("cold limit reached", flow | fields)]

    def _on_evacuation(
        self, frame: EvacuationFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Begin or end the refusal of openings, and notify the active balancers."""
        if not self._evacuation.apply(frame):
            return []
        self._admission.forget_waiting_balancers()
        fields = {
            "evacuated": frame.is_evacuated,
            "era": frame.revision.era,
            "revision": frame.revision.number,
            "peer": source,
        }
        peers = dict.fromkeys((source, *self._peers.list_active(now)))
        log_event = LogEvent("evacuation changed", fields)
        return [log_event, *self._send_load(list(peers), now)]

    def _find_rejection_reason(
        self, frame: OpenFrame, source: Endpoint, now: Millis
    ) -> ReturnReason | None:
        """Return why an opening must be rejected, or None if it is admitted."""
        scope = self._scope
        if (
            scope is not None
            and frame.site_version < scope.site_version
            and frame.packet.entry not in scope.entries
        ):
            return ReturnReason.OLD_VERSION
        if self._evacuation.is_evacuated:
            return ReturnReason.EVACUATED
        return self._admission.find_rejection_reason(
            source, len(self._pending_openings), now
        )

    def _reject_wrong_service(
        self, frame: ToAgent, source: Endpoint, now: Millis
    ) -> list[Action]:
        """Reject a frame that is for another service than this agent's."""
        if isinstance(frame, OpenFrame | ForwardFrame):
            reason = ReturnReason.WRONG_SERVICE
            return self._return_packet(frame.packet, reason, source, now)
        if isinstance(frame, OwnerQueryFrame):
            replies = tuple(
                OwnerReply(query.flow, Ownership.NOT_OWNER) for query in frame.queries
            )
            return [SendFrame(source, OwnerReplyFrame(replies, self.current_load(now)))]
        return []

    def _return_packet(
        self, packet: FlowPacket, reason: ReturnReason, peer: Endpoint, now: Millis
    ) -> list[Action]:
        """Return the actions that send a packet back to a balancer and log it."""
        fields = {
            "flow": format_flow(packet.flow),
            "reason": reason.name.lower(),
            "peer": peer,
        }
        frame = ReturnFrame(reason, packet, self.current_load(now))
        return [SendFrame(peer, frame), LogEvent("packet returned", fields)]

    # Packets from the backend server

    def on_backend_packet(self, packet: FlowPacket, now: Millis) -> list[Action]:
        """Handle a packet from the backend server and return the resulting actions."""
        self._admission.record_activity()
        return [
            *self._handle_backend_packet(packet, now),
            *self._notify_of_capacity(now),
        ]

    def _handle_backend_packet(self, packet: FlowPacket, now: Millis) -> list[Action]:
        """Handle a rejection, an acceptance or another packet of the backend server."""
        if packet.rejected_by_backend:
            return self._on_backend_rejection(packet, now)
        owned = self._flows.find(packet.flow)
        if packet.kind is PacketKind.ACCEPT:
            return self._on_accept(packet, owned, now)
        return self._on_flow_packet(packet, owned, now)

    def _on_flow_packet(
        self, packet: FlowPacket, owned: OwnedFlow | None, now: Millis
    ) -> list[Action]:
        """Pass a packet of an accepted flow to the client and update the flow's state.

        If the flow isn't tracked, as after a restart of the agent, it is added, and the
        active balancers are notified that this agent owns it.
        """
        actions: list[Action] = [SendToClient(packet)]
        if owned is None:
            owned = self._flows.add(packet.flow, None, now)
            reply = OwnerReply(packet.flow, Ownership.OWNER)
            frame = OwnerReplyFrame((reply,), self.current_load(now))
            actions += [SendFrame(peer, frame) for peer in self._peers.list_active(now)]
            fields = {"flow": format_flow(packet.flow)}
            actions.append(LogEvent("flow adopted", fields))
        owned.seen_at = now
        owned.is_established = True
        owned.record_backend_packet(packet)
        if packet.payload_bytes:
            self._end_request(owned, now, answered=True)
        if packet.kind.is_closing:
            self._end_request(owned, now, answered=False)
            owned.ended_at = now
        return actions

    def _on_accept(
        self, packet: FlowPacket, owned: OwnedFlow | None, now: Millis
    ) -> list[Action]:
        """Pass an accept packet to the client and notify the flow's balancer."""
        if owned is None:
            owned = self._flows.add(packet.flow, None, now)
        opening_sent_at, owned.opening_sent_at, owned.pending_opening = (
            owned.opening_sent_at,
            None,
            None,
        )
        self._pending_openings.pop(packet.flow, None)
        if opening_sent_at is not None:
            self._admission.expect_first_request(packet.flow, now)
        owned.accept_sequence = packet.sequence
        owned.began_at = owned.seen_at = now
        actions: list[Action] = [SendToClient(packet)]
        if owned.balancer is not None:
            frame = OpenedFrame(packet.flow, self.current_load(now))
            actions.append(SendFrame(owned.balancer, frame))
        if opening_sent_at is not None:
            fields = {"flow": format_flow(packet.flow), "ms": now - opening_sent_at}
            actions.append(LogEvent("flow accepted", fields))
        return actions

    def _on_backend_rejection(self, packet: FlowPacket, now: Millis) -> list[Action]:
        """Handle a client's packet that the backend server sent back.

        An established flow is reset. The packet of any other flow is returned to its
        balancer.
        """
        owned = self._flows.find(packet.flow)
        balancer = self._peers.find(packet.token)
        if packet.kind is PacketKind.OPEN:
            if owned is not None and owned.accept_sequence is None:
                self._remove_flow(packet.flow, owned, now)
            if balancer is None:
                return []
            return self._return_packet(
                packet, self._admission.record_rejection(), balancer, now
            )
        if owned is not None and owned.is_lost_by(packet):
            self._remove_flow(packet.flow, owned, now)
            reset = ResetClient(packet.flow, packet.acknowledged or 0)
            return [reset, LogEvent("flow lost", {"flow": format_flow(packet.flow)})]
        if owned is not None and not owned.is_established:
            self._remove_flow(packet.flow, owned, now)
        if balancer is None:
            return []
        return self._return_packet(packet, ReturnReason.NOT_OWNER, balancer, now)

    # Reports from the backend server

    def on_report(
        self, report: StatusReport, age_ms: Millis, now: Millis
    ) -> list[Action]:
        """Handle a status report and return the resulting actions.

        The actions must be performed before the report is acknowledged.

        Parameters
        ----------
        report : StatusReport
            The report.
        age_ms : Millis
            Age of the reporting run by the machine's wall clock; negative if the
            clock was set back.
        now : Millis
            Current time.
        """
        backend = self._admission.backend
        before = backend.report
        use = self._admission.record_report(report, age_ms, now)
        if use is ReportUse.REFUSED:
            fields = {
                "instance": report.instance,
                "service": report.service,
                "run": report.started_at,
                "number": report.number,
                "state": report.state.value,
                "age_ms": age_ms,
            }
            return [LogEvent("report not used", fields)]
        actions: list[Action] = []
        is_later = use is ReportUse.LATER_RUN
        if is_later:
            actions += self._end_earlier_run(age_ms, now)
        if use.is_other_run:
            self._ownership.begin_run(report, use, age_ms, now)
            self._admission.record_run_start(now, is_later=is_later)
        if before is None or before.state is not report.state or use.is_other_run:
            fields = {
                "instance": report.instance,
                "run": report.started_at,
                "number": report.number,
                "state": report.state.value,
                "cold_ms": report.cold_left_ms,
            }
            actions.append(LogEvent("backend state", fields))
            actions += self._send_load(self._peers.list_known(), now)
        return actions

    def is_in_force(self, message: StatusReport | Departure) -> bool:
        """Whether a report or departure may be acknowledged; any other wasn't used."""
        return self._admission.backend.is_in_force(message)

    def on_departure(self, departure: Departure, now: Millis) -> list[Action]:
        """Handle the backend server's departure and return the resulting actions."""
        if not self._admission.backend.record_departure(departure):
            return []
        log_event = LogEvent("backend left", {"instance": departure.instance})
        return [log_event, *self._send_load(self._peers.list_known(), now)]

    def begin_shutdown(self, now: Millis) -> list[Action]:
        """Stop admitting openings and return the notifications to send."""
        self._admission.begin_shutdown()
        return self._send_load(self._peers.list_known(), now)

    def _end_earlier_run(self, age_ms: Millis, now: Millis) -> list[Action]:
        """Remove flows of the earlier run and reset those that were established.

        If the machine's wall clock was set back, no flow is certain to be older than
        the run. Flows are then kept, and the backend server returns the packets of
        flows that it doesn't hold.
        """
        start = now - age_ms - RUN_START_SLACK_MS if age_ms >= 0 else 0
        ended = [(flow, owned) for flow, owned in self._flows if owned.began_at < start]
        actions: list[Action] = []
        for flow, owned in ended:
            self._remove_flow(flow, owned, now)
            # A flow that was only accepted may be established at another backend
            # server, so it isn't reset.
            if owned.is_established and owned.ended_at is None:
                actions.append(ResetClient(flow, owned.acknowledged))
        fields = {"flows": len(ended), "reset": len(actions), "age_ms": age_ms}
        return [*actions, LogEvent("backend restarted", fields)]

    # Timers

    def on_timer(self, now: Millis) -> list[Action]:
        """Handle expired timers and return the resulting actions."""
        actions: list[Action] = []
        limit = now - BACKEND_ACCEPT_TIMEOUT_MS
        overdue = [
            (flow, owned)
            for flow, owned in self._pending_openings.items()
            if owned.opening_sent_at is not None and owned.opening_sent_at <= limit
        ]
        for flow, owned in overdue:
            actions += self._on_accept_timeout(flow, owned, now)
        if self._peers.start_round_if_due(now):
            actions += self._send_load(self._peers.list_active(now), now)
        if now - self._last_sweep_at >= SWEEP_INTERVAL_MS:
            self._remove_expired_flows(now)
        return [*actions, *self._notify_of_capacity(now)]

    def _on_accept_timeout(
        self, flow: FlowKey, owned: OwnedFlow, now: Millis
    ) -> list[Action]:
        """Return an opening to its balancer after the accept timeout."""
        packet, balancer = owned.pending_opening, owned.balancer
        self._remove_flow(flow, owned, now)
        wait = self._admission.record_accept_timeout(now)
        if packet is None or balancer is None:
            return []
        log_event = LogEvent(
            "backend silent", {"flow": format_flow(flow), "wait_ms": wait}
        )
        return [
            log_event,
            *self._return_packet(packet, ReturnReason.SILENT, balancer, now),
        ]

    def _remove_expired_flows(self, now: Millis) -> None:
        """Remove expired flows, and stop counting stalled requests."""
        self._last_sweep_at = now
        for owned in self._flows.sweep(now, self._flow_limit_ms):
            self._end_request(owned, now, answered=False)
        for _, owned in self._flows:
            if (
                owned.request_started_at is not None
                and now - owned.request_started_at > STALLED_REQUEST_TIMEOUT_MS
            ):
                self._end_request(owned, now, answered=False)

    def _notify_of_capacity(self, now: Millis) -> list[Action]:
        """Send the load to balancers with rejected openings if there is capacity."""
        return self._send_load(
            self._admission.reserve_capacity(len(self._pending_openings), now), now
        )

    def _send_load(self, peers: list[Endpoint], now: Millis) -> list[Action]:
        """Return load frames for the given balancers."""
        if not peers:
            return []
        frame = LoadFrame(self.current_load(now))
        return [SendFrame(peer, frame) for peer in peers]

    # Requests

    def _record_client_packet(
        self, owned: OwnedFlow, packet: FlowPacket, now: Millis
    ) -> None:
        """Update a flow from a client's packet, which may begin a request."""
        owned.seen_at = now
        is_new = owned.record_client_packet(packet)
        if is_new:
            self._admission.clear_first_request(packet.flow)
        if is_new and owned.request_started_at is None:
            owned.request_started_at = now
            self._admission.meter.begin_request(now)
            self._peers.mark_load_changed(now)
        if packet.kind is PacketKind.ABORT:
            self._end_request(owned, now, answered=False)
            owned.ended_at = now

    def _end_request(self, owned: OwnedFlow, now: Millis, *, answered: bool) -> None:
        """End the flow's request in progress, if there is one."""
        if owned.request_started_at is None:
            return
        owned.request_started_at = None
        self._admission.meter.end_request(now, answered=answered)
        self._peers.mark_load_changed(now)

    def _remove_flow(self, flow: FlowKey, owned: OwnedFlow, now: Millis) -> None:
        """Stop tracking a flow and end its request."""
        self._end_request(owned, now, answered=False)
        self._pending_openings.pop(flow, None)
        self._admission.clear_first_request(flow)
        self._flows.drop(flow)
