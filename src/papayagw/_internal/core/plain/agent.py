"""What an agent of the plain front end does with each packet, frame and report.

The agent owns the flows of the backend server beside it. It alone decides whether
an opening goes there, since only it sees the server's reports without delay.
"""

from papayagw._internal.core.plain.backend_state import (
    REPORT_INTERVAL_MS,
    BackendState,
)
from papayagw._internal.core.plain.intake import Intake
from papayagw._internal.core.plain.owned_flows import OwnedFlow, OwnedFlows
from papayagw._internal.core.plain.ownership import OwnershipJudge
from papayagw._internal.core.plain.peers import BalancerPeers
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import (
    Action,
    Note,
    ResetClient,
    RestoreEntry,
    SendFrame,
    SendToBackend,
    SendToClient,
)
from papayagw._internal.models.plain.frame import (
    EntryMissingFrame,
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
    ToAgent,
)
from papayagw._internal.models.plain.instance import (
    Departure,
    LoadWord,
    StatusReport,
)
from papayagw._internal.models.plain.packet import (
    FlowKey,
    FlowPacket,
    PacketKind,
    show_flow,
)

BACKEND_PATIENCE_MS = Millis(40)
"""How long the backend server may take to answer an opening.

Both are on one machine, and the server's part takes under a millisecond.
"""

COLD_FACTOR = 1.5
"""By how much a backend server's time for a request is raised while it is cold."""

STUCK_MS = Millis(3_000)
"""After how long a request counts as in progress no more.

Many times what a backend server needs for the requests that it is given.
"""

RUN_START_SLACK_MS = Millis(20)
"""How much earlier than it says a run may have accepted flows: rounding of clocks."""

SWEEP_INTERVAL_MS = Millis(1_000)
"""How often old flows are forgotten."""


class PlainAgent:
    """The decisions of one agent.

    Parameters
    ----------
    service : str
        The service of its backend server.
    flow_limit_ms : Millis
        The age after which a flow may be forgotten.
    now : Millis
        When the agent started.
    report_interval_ms : Millis
        Time between acknowledged reports of the backend server.
    """

    def __init__(
        self,
        service: str,
        flow_limit_ms: Millis,
        now: Millis,
        report_interval_ms: Millis = REPORT_INTERVAL_MS,
    ):
        self._service = service
        self._flow_limit_ms = flow_limit_ms
        backend = BackendState(service, report_interval_ms)
        self._intake = Intake(backend, now)
        self._flows = OwnedFlows()
        self._judge = OwnershipJudge(self._flows, backend, flow_limit_ms, now)
        self._peers = BalancerPeers()
        self._scope: ScopeFrame | None = None
        self._offered: dict[FlowKey, OwnedFlow] = {}
        self._swept_at = now

    @property
    def is_ready(self) -> bool:
        """Whether the backend server has reported since the agent's start."""
        return self._intake.backend.is_known

    @property
    def flow_count(self) -> int:
        """How many flows are remembered."""
        return len(self._flows)

    @property
    def due_at(self) -> Millis | None:
        """When `on_timer` is to be called next."""
        offers = (one.offered_at for one in self._offered.values())
        dues = [at + BACKEND_PATIENCE_MS for at in offers if at is not None]
        others = (self._peers.due_at, self._intake.due_at)
        dues += [at for at in others if at is not None]
        return Millis(min(dues)) if dues else None

    def load_word(self, now: Millis) -> LoadWord:
        """Return what balancers are told."""
        meter = self._intake.meter
        service_us = meter.service_us(now)
        if self._intake.backend.is_cold(now):
            service_us = round(service_us * COLD_FACTOR)
        return LoadWord(
            availability=self._intake.availability(now),
            slots=meter.slots,
            busy=self._intake.count_busy(len(self._offered), now),
            flows=len(self._flows),
            utilization=meter.utilization(now),
            service_us=service_us,
            site_version=self._scope.site_version if self._scope is not None else 0,
            run_age_ms=self._intake.backend.age_ms(now),
        )

    # Frames of balancers

    def on_frame(self, frame: ToAgent, source: Endpoint, now: Millis) -> list[Action]:
        """Return what to do about a frame of a balancer."""
        self._peers.hear(source, now)
        if frame.service != self._service:
            return self._refuse_service(frame, source, now)
        return self._take_frame(frame, source, now)

    def _take_frame(
        self, frame: ToAgent, source: Endpoint, now: Millis
    ) -> list[Action]:
        match frame:
            case OpenFrame():
                return self._on_opening(frame, source, now)
            case ForwardFrame():
                return self._on_carried(frame, source, now)
            case OwnerQueryFrame():
                return self._on_questions(frame, source, now)
            case ScopeFrame():
                return self._on_scope(frame, source)
            case EntryMissingFrame():
                fields = {"peer": source}
                return [RestoreEntry(), Note("entry missing in the store", fields)]

    def _on_opening(
        self, frame: OpenFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        packet = frame.packet
        owned = self._flows.find(packet.flow)
        if owned is not None and owned.ended_at is not None:
            self._forget(packet.flow, owned, now)
            owned = None
        if owned is None or owned.accepted_at is None:
            reason = self._find_objection(frame, source, now)
            if reason is not None:
                return self._return(packet, reason, source, now)
        if owned is None:
            owned = self._flows.add(packet.flow, source, now)
        owned.origin = source
        owned.seen_at = now
        if owned.accepted_at is None:
            owned.offered_at = now
            owned.held = packet
            self._offered[packet.flow] = owned
        return [SendToBackend(packet, self._peers.token_of(source))]

    def _on_carried(
        self, frame: ForwardFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        packet = frame.packet
        owned = self._flows.find(packet.flow)
        if owned is not None and not owned.matches(packet.acknowledged):
            return self._return(packet, ReturnReason.NOT_OWNER, source, now)
        if owned is not None:
            owned.origin = source
            self._note_client(owned, packet, now)
        # A flow that isn't remembered may be known to the backend server, which
        # hands back what isn't its own.
        return [SendToBackend(packet, self._peers.token_of(source))]

    def _on_questions(
        self, frame: OwnerQueryFrame, source: Endpoint, now: Millis
    ) -> list[Action]:
        claims = tuple(
            OwnerReply(question.flow, self._judge.judge(question, now))
            for question in frame.queries
        )
        return [SendFrame(source, OwnerReplyFrame(claims, self.load_word(now)))]

    def _on_scope(self, frame: ScopeFrame, source: Endpoint) -> list[Action]:
        if self._scope is not None and frame.site_version <= self._scope.site_version:
            return []
        self._scope = frame
        fields = {
            "version": frame.site_version,
            "entries": len(frame.entries),
            "peer": source,
        }
        return [Note("scope in force", fields)]

    def _find_objection(
        self, frame: OpenFrame, source: Endpoint, now: Millis
    ) -> ReturnReason | None:
        """Return why an opening isn't given to the backend server, or None."""
        scope = self._scope
        if (
            scope is not None
            and frame.site_version < scope.site_version
            and frame.packet.entry not in scope.entries
        ):
            return ReturnReason.OLD_VERSION
        return self._intake.find_objection(source, len(self._offered), now)

    def _refuse_service(
        self, frame: ToAgent, source: Endpoint, now: Millis
    ) -> list[Action]:
        if isinstance(frame, OpenFrame | ForwardFrame):
            reason = ReturnReason.WRONG_SERVICE
            return self._return(frame.packet, reason, source, now)
        if isinstance(frame, OwnerQueryFrame):
            claims = tuple(
                OwnerReply(question.flow, Ownership.NOT_OWNER)
                for question in frame.queries
            )
            return [SendFrame(source, OwnerReplyFrame(claims, self.load_word(now)))]
        return []

    def _return(
        self, packet: FlowPacket, reason: ReturnReason, peer: Endpoint, now: Millis
    ) -> list[Action]:
        fields = {
            "flow": show_flow(packet.flow),
            "reason": reason.name.lower(),
            "peer": peer,
        }
        frame = ReturnFrame(reason, packet, self.load_word(now))
        return [SendFrame(peer, frame), Note("packet returned", fields)]

    # Packets of the backend server

    def on_backend_packet(self, packet: FlowPacket, now: Millis) -> list[Action]:
        """Return what to do with a packet that the backend server sent."""
        self._intake.note_life()
        return [*self._take_packet(packet, now), *self._invite(now)]

    def _take_packet(self, packet: FlowPacket, now: Millis) -> list[Action]:
        if packet.bounced:
            return self._on_bounced(packet, now)
        owned = self._flows.find(packet.flow)
        if packet.kind is PacketKind.ACCEPT:
            return self._on_accept(packet, owned, now)
        return self._on_answer(packet, owned, now)

    def _on_answer(
        self, packet: FlowPacket, owned: OwnedFlow | None, now: Millis
    ) -> list[Action]:
        actions: list[Action] = [SendToClient(packet)]
        if owned is None:
            owned = self._flows.add(packet.flow, None, now)
            claim = OwnerReply(packet.flow, Ownership.OWNER)
            frame = OwnerReplyFrame((claim,), self.load_word(now))
            actions += [SendFrame(one, frame) for one in self._peers.list_recent(now)]
            fields = {"flow": show_flow(packet.flow)}
            actions.append(Note("flow adopted", fields))
        owned.seen_at = now
        owned.is_open = True
        owned.note_received(packet)
        if packet.payload_bytes:
            self._end_request(owned, now, answered=True)
        if packet.kind.is_closing:
            self._end_request(owned, now, answered=False)
            owned.ended_at = now
        return actions

    def _on_accept(
        self, packet: FlowPacket, owned: OwnedFlow | None, now: Millis
    ) -> list[Action]:
        if owned is None:
            owned = self._flows.add(packet.flow, None, now)
        offered_at, owned.offered_at, owned.held = owned.offered_at, None, None
        self._offered.pop(packet.flow, None)
        if offered_at is not None:
            self._intake.expect(packet.flow, now)
        owned.accepted_at = packet.sequence
        owned.began_at = owned.seen_at = now
        actions: list[Action] = [SendToClient(packet)]
        if owned.origin is not None:
            frame = OpenedFrame(packet.flow, self.load_word(now))
            actions.append(SendFrame(owned.origin, frame))
        if offered_at is not None:
            fields = {"flow": show_flow(packet.flow), "ms": now - offered_at}
            actions.append(Note("flow accepted", fields))
        return actions

    def _on_bounced(self, packet: FlowPacket, now: Millis) -> list[Action]:
        owned = self._flows.find(packet.flow)
        origin = self._peers.find(packet.token)
        if packet.kind is PacketKind.OPEN:
            if owned is not None and owned.accepted_at is None:
                self._forget(packet.flow, owned, now)
            if origin is None:
                return []
            return self._return(packet, self._intake.note_declined(), origin, now)
        if owned is not None and owned.is_open:
            # The backend server itself says that it no longer holds the flow.
            self._forget(packet.flow, owned, now)
            reset = ResetClient(packet.flow, packet.acknowledged or 0)
            return [reset, Note("flow lost", {"flow": show_flow(packet.flow)})]
        if owned is not None:
            self._forget(packet.flow, owned, now)
        if origin is None:
            return []
        return self._return(packet, ReturnReason.NOT_OWNER, origin, now)

    # Reports of the backend server

    def on_report(
        self, report: StatusReport, age_ms: Millis, now: Millis
    ) -> list[Action]:
        """Return what to do about a report, before it is acknowledged.

        Parameters
        ----------
        report : StatusReport
            The report.
        age_ms : Millis
            How long ago the reporting run began, by the machine's time of day.
        now : Millis
            The present time.
        """
        actions: list[Action] = []
        backend = self._intake.backend
        before = backend.report
        is_new_run = backend.is_new_run(report)
        if is_new_run:
            actions = self._end_earlier_run(age_ms, now)
        if not self._intake.take(report, now):
            fields = {"instance": report.instance, "number": report.number}
            return [*actions, Note("report not used", fields)]
        if before is None or is_new_run:
            self._judge.begin_run(report, age_ms, now)
        if before is None or before.state is not report.state or actions:
            fields = {
                "instance": report.instance,
                "run": report.started_at,
                "number": report.number,
                "state": report.state.value,
                "cold_ms": report.cold_left_ms,
            }
            actions.append(Note("backend state", fields))
            actions += self._tell(self._peers.list_known(), now)
        return actions

    def on_departure(self, departure: Departure, now: Millis) -> list[Action]:
        """Return what to do about the end of the backend server."""
        if not self._intake.backend.leave(departure):
            return []
        note = Note("backend left", {"instance": departure.instance})
        return [note, *self._tell(self._peers.list_known(), now)]

    def leave(self, now: Millis) -> list[Action]:
        """Return what to do as the agent stops."""
        self._intake.leave()
        return self._tell(self._peers.list_known(), now)

    def _end_earlier_run(self, age_ms: Millis, now: Millis) -> list[Action]:
        """Tell the clients of the earlier run that their flows are over.

        Where the machine's time of day was set back, no flow is surely older than the
        run; the backend server then hands back what it doesn't know.
        """
        start = now - age_ms - RUN_START_SLACK_MS if age_ms >= 0 else 0
        ended = [(flow, owned) for flow, owned in self._flows if owned.began_at < start]
        actions: list[Action] = []
        for flow, owned in ended:
            self._forget(flow, owned, now)
            # A flow that was only accepted may be open at another backend server.
            if owned.is_open and owned.ended_at is None:
                actions.append(ResetClient(flow, owned.acknowledged))
        fields = {"flows": len(ended), "reset": len(actions), "age_ms": age_ms}
        return [*actions, Note("backend restarted", fields)]

    # Timers

    def on_timer(self, now: Millis) -> list[Action]:
        """Return what is due."""
        actions: list[Action] = []
        limit = now - BACKEND_PATIENCE_MS
        overdue = [
            (flow, owned)
            for flow, owned in self._offered.items()
            if owned.offered_at is not None and owned.offered_at <= limit
        ]
        for flow, owned in overdue:
            actions += self._on_silence(flow, owned, now)
        if self._peers.take_due(now):
            actions += self._tell(self._peers.list_recent(now), now)
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._sweep(now)
        return [*actions, *self._invite(now)]

    def _on_silence(self, flow: FlowKey, owned: OwnedFlow, now: Millis) -> list[Action]:
        """Hand an opening on that the backend server left unanswered."""
        packet, origin = owned.held, owned.origin
        self._forget(flow, owned, now)
        wait = self._intake.note_silence(now)
        if packet is None or origin is None:
            return []
        note = Note("backend silent", {"flow": show_flow(flow), "wait_ms": wait})
        return [note, *self._return(packet, ReturnReason.SILENT, origin, now)]

    def _sweep(self, now: Millis) -> None:
        self._swept_at = now
        for owned in self._flows.sweep(now, self._flow_limit_ms):
            self._end_request(owned, now, answered=False)
        for _, owned in self._flows:
            if owned.busy_since is not None and now - owned.busy_since > STUCK_MS:
                self._end_request(owned, now, answered=False)

    def _invite(self, now: Millis) -> list[Action]:
        """Tell balancers that were turned away of room for an opening."""
        return self._tell(self._intake.take_invited(len(self._offered), now), now)

    def _tell(self, peers: list[Endpoint], now: Millis) -> list[Action]:
        """Tell balancers the load."""
        if not peers:
            return []
        word = LoadFrame(self.load_word(now))
        return [SendFrame(peer, word) for peer in peers]

    # Requests

    def _note_client(self, owned: OwnedFlow, packet: FlowPacket, now: Millis) -> None:
        owned.seen_at = now
        is_new = owned.advance(packet)
        if is_new:
            self._intake.stop_expecting(packet.flow)
        if is_new and owned.busy_since is None:
            owned.busy_since = now
            self._intake.meter.begin(now)
            self._peers.note_change(now)
        if packet.kind is PacketKind.ABORT:
            self._end_request(owned, now, answered=False)
            owned.ended_at = now

    def _end_request(self, owned: OwnedFlow, now: Millis, *, answered: bool) -> None:
        if owned.busy_since is None:
            return
        owned.busy_since = None
        self._intake.meter.end(now, answered=answered)
        self._peers.note_change(now)

    def _forget(self, flow: FlowKey, owned: OwnedFlow, now: Millis) -> None:
        self._end_request(owned, now, answered=False)
        self._offered.pop(flow, None)
        self._intake.stop_expecting(flow)
        self._flows.drop(flow)
