"""Packet path of the agent: it runs beside a backend server and owns its flows."""

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from papayagw._internal.core.admission import Admission
from papayagw._internal.core.agent import AgentCore
from papayagw._internal.core.backend_health import ConnectHealth
from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.core.lifecycle import FlowLifecycle
from papayagw._internal.core.return_path import ReturnPath
from papayagw._internal.core.service_meter import ServiceMeter
from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.models.admission import ReleaseReason
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.decision import Accept, DropReason, Forward
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.report import Side
from papayagw._internal.models.service import Service
from papayagw._internal.models.settings import AgentSettings
from papayagw._internal.net.admission_gate import AdmissionGate
from papayagw._internal.net.agent_flow import AgentFlow
from papayagw._internal.net.flow_table import FlowHandler, FlowTable
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.observe.logs import Log
from papayagw._internal.wire.envelope import (
    ENVELOPE_BYTES,
    Envelope,
    EnvelopeCodec,
    FrameKind,
)
from papayagw._internal.wire.header import is_opening, read_connection_id
from papayagw._internal.wire.quic import FlowAcceptor
from papayagw._internal.wire.reset import ResetTokens
from papayagw._internal.wire.tag import TagCodec

MAX_BACKEND_CONNECTS = 1
"""Maximum number of attempts per flow to connect to the backend server.

After a failure the caller can open the flow again, most likely at another agent. That
is better than a second attempt here.
"""

HANDSHAKE_TIMEOUT_MS = Millis(3_000)
"""Time limit of a handshake; a duplicated opening starts one that never completes."""

CLOSE_TIMEOUT_MS = Millis(3_000)
"""Time for which the caller of an answered flow may be silent without closing it."""

_SWEEP_INTERVAL_MS = Millis(500)


class AgentPackets:
    """The agent's packet path: receives envelopes and sends answers to callers.

    A sibling is another agent of the same service. A tag is the connection id that an
    agent chooses for a flow that it accepts. It names the agent: it holds the agent's
    service, endpoint and incarnation, encrypted with a fleet key.

    Parameters
    ----------
    settings : AgentSettings
        Endpoints of the agent and its backend server, and certificate files.
    configuration : Configuration
        Initial configuration.
    core : AgentCore
        Decides what happens to each packet.
    admission : Admission
        Decides when accepted flows may use the backend server.
    socket : DatagramSocket
        Socket for envelopes to and from balancers and siblings.
    clock : Clock
        Source of the current time.
    log : Log
        Log for dropped packets and for flows that end without a complete
        answer.
    """

    def __init__(
        self,
        settings: AgentSettings,
        configuration: Configuration,
        core: AgentCore,
        admission: Admission,
        socket: DatagramSocket,
        clock: Clock,
        log: Log,
    ):
        self._settings = settings
        self._service_id = core.route.service_id
        self._socket = socket
        self._clock = clock
        self._log = log
        self._core = core
        self._return_path = ReturnPath(random.SystemRandom().randrange)
        self._table = FlowTable(clock, self._on_removed, log)
        self._gate = AdmissionGate(admission, clock)
        self._backend_health = ConnectHealth()
        self._handshake_deadlines: DeadlineQueue[AgentFlow] = DeadlineQueue()
        self._close_deadlines: DeadlineQueue[AgentFlow] = DeadlineQueue()
        self._meter = ServiceMeter(settings.service, Side.AGENT)
        self._counts: dict[str, int] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self.apply(configuration)

    @property
    def core(self) -> AgentCore:
        """Packet decisions of this agent."""
        return self._core

    @property
    def flows(self) -> int:
        """Number of open flows."""
        return len(self._table)

    @property
    def meter(self) -> ServiceMeter:
        """Totals of the flows by outcome, and opening latencies."""
        return self._meter

    @property
    def counts(self) -> dict[str, int]:
        """Number of occurrences of each event, by metric name without the prefix."""
        return self._counts

    def apply(self, configuration: Configuration) -> None:
        """Use the keys and idle timeout of a configuration, and reload the certificate.

        Raises
        ------
        SettingsError
            If the certificate or its private key can't be loaded.
        """
        keys = configuration.site.keys
        service = configuration.site.find_service_by_id(self._service_id)
        self._tag_codec = TagCodec(keys)
        self._envelope_codec = EnvelopeCodec(keys)
        self._reset_tokens = ResetTokens(keys)
        if service is not None:
            self._acceptor = self._make_acceptor(service)

    def _make_acceptor(self, service: Service) -> FlowAcceptor:
        certificate = Path(self._settings.certificate)
        key = Path(self._settings.private_key)
        try:
            return FlowAcceptor(
                certificate, key, service.idle_timeout_ms, self._reset_tokens
            )
        except (OSError, ValueError, LookupError) as error:
            raise SettingsError(
                f"can't load the certificate or its private key: {error}",
                step=Step.SETTINGS,
                peer=str(certificate),
                remedy="provide a PEM certificate and its private key",
            ) from error

    async def run(self) -> None:
        """Run the timers and the admission of the flows until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._gate.run)
            tasks.start_soon(self._sweep)
            await self._table.run()

    def on_frame(self, frame: bytes, source: tuple[str, int]) -> None:
        """Process a received envelope; `flush` must be called afterwards."""
        envelope = self._envelope_codec.read(frame)
        if envelope is None or envelope.kind is not FrameKind.FORWARD:
            self._count_drop(DropReason.UNAUTHENTICATED, Endpoint(*source))
            return
        balancer = envelope.balancer or Endpoint(*source)
        self._return_path.record_packet(balancer, self._clock.now())
        datagram = frame[ENVELOPE_BYTES:]
        connection_id = read_connection_id(datagram)
        if connection_id is None:
            self._count_drop(DropReason.MALFORMED, envelope.client)
            return
        handler = self._table.find(connection_id)
        if handler is None:
            self._on_unknown_connection(envelope, balancer, connection_id, datagram)
        elif envelope.service_id != self._service_id:
            self._count_drop(DropReason.WRONG_SERVICE, envelope.client)
        else:
            self._table.receive(handler, datagram, envelope.client.sockaddr)

    def on_refused(self, frame: bytes, peer: Endpoint, now: Millis) -> None:
        """Stop sending answers through a balancer whose port is closed."""
        self._return_path.remove_unreachable(peer)

    def flush(self) -> None:
        """Process the events of the pending flows and send their datagrams."""
        self._table.flush()

    def drain(self) -> None:
        """Refuse new openings and end the flows that aren't established yet."""
        self._core.drain()
        for flow in self._agent_flows:
            flow.drain()
        self._table.flush()

    def close_flows(self, reason: str) -> None:
        """End all flows for `reason`."""
        for flow in self._agent_flows:
            flow.stop(reason)
        self._table.flush()

    def mark_pending(self, flow: AgentFlow) -> None:
        """Schedule a flow that has something to send."""
        self._table.mark_pending(flow)

    def spawn(self, task: Callable[..., Any]) -> None:
        """Start a coroutine function as a task."""
        assert self._tasks is not None, "run() must be called first"
        self._tasks.start_soon(self._run_isolated, task)

    async def _run_isolated(self, task: Callable[..., Any]) -> None:
        try:
            await task()
        except Exception:
            # An exception in one flow must not end the others; that flow times out.
            self._log.exception("a fault ended a flow's task", step=Step.DELIVER)

    def send(self, datagram: bytes, client: tuple[str, int]) -> None:
        """Send a datagram to a caller through a recently active balancer, if any."""
        balancer = self._return_path.pick(self._clock.now())
        if balancer is None:
            return
        header = self._envelope_codec.write_raw(
            FrameKind.ANSWER, self._service_id, client
        )
        self._socket.send(header + datagram, balancer.sockaddr)

    def on_accepted(self, flow: AgentFlow) -> None:
        """Request the admission of a flow whose handshake is complete."""
        self._handshake_deadlines.set(flow, None)
        self._gate.submit(flow)

    def on_connect_finished(self, succeeded: bool) -> None:
        """Record whether a connection attempt to the backend server succeeded."""
        self._backend_health.record_connect(succeeded, self._clock.now())

    def on_request_started(self, flow: AgentFlow) -> None:
        """Record that the flow begins to send a request to the backend server."""
        self._gate.start_work(flow)

    def on_answer_started(self, flow: AgentFlow) -> None:
        """Record that the first bytes came from the backend server."""
        self._gate.finish_work(flow, ReleaseReason.ANSWERED)

    def on_idle(self, flow: AgentFlow) -> None:
        """Record that a connected flow hasn't sent a request yet."""
        self._gate.finish_work(flow, ReleaseReason.IDLE)

    def on_directions_ended(self, flow: AgentFlow) -> None:
        """Limit the wait for the caller's close once both directions have ended."""
        self._close_deadlines.set(flow, Millis(self._clock.now() + CLOSE_TIMEOUT_MS))

    def on_outcome(self, flow: AgentFlow, outcome: FlowOutcome, reason: str) -> None:
        """Count and log the outcome of a flow, and release its resources."""
        self._count(outcome.value)
        if flow.backend_failed:
            self._gate.finish_work(flow, ReleaseReason.FAILED)
        self._handshake_deadlines.set(flow, None)
        self._close_deadlines.set(flow, None)
        self._gate.close(flow)
        if outcome is not FlowOutcome.ANSWERED:
            self._log.rate_limited_warning(
                f"flow {outcome.value}",
                step=Step.DELIVER,
                peer=flow.client,
                flow=flow.connection.local_id,
                backend=self._settings.backend,
                reason=reason,
            )

    @property
    def _agent_flows(self) -> list[AgentFlow]:
        return [flow for flow in self._table.handlers if isinstance(flow, AgentFlow)]

    def _on_unknown_connection(
        self,
        envelope: Envelope,
        balancer: Endpoint,
        connection_id: bytes,
        datagram: bytes,
    ) -> None:
        route = self._tag_codec.open_route(connection_id)
        if route is None and is_opening(datagram, connection_id):
            self._on_opening(envelope, balancer, connection_id, datagram)
            return
        reason = self._core.check_tagged(envelope.service_id, route)
        self._count_drop(reason or DropReason.UNKNOWN_FLOW, envelope.client)
        if reason in (None, DropReason.STALE_INCARNATION):
            # The flow no longer exists anywhere; the reset tells its caller so.
            reset = self._reset_tokens.make_datagram(connection_id)
            self.send(reset, envelope.client.sockaddr)

    def _on_opening(
        self,
        envelope: Envelope,
        balancer: Endpoint,
        connection_id: bytes,
        datagram: bytes,
    ) -> None:
        decision = self._core.decide_opening(
            envelope.service_id,
            connection_id,
            len(self._table),
            envelope.hops,
            self._backend_health.is_reachable(self._clock.now()),
        )
        match decision:
            case Accept():
                self._accept(envelope, connection_id, datagram)
            case Forward(sibling):
                self._count("passed")
                self._forward_to_sibling(envelope, balancer, datagram, sibling)
            case _:
                self._meter.record_refused()
                self._count_drop(decision.reason, envelope.client)

    def _accept(
        self, envelope: Envelope, connection_id: bytes, datagram: bytes
    ) -> None:
        tag = self._make_tag()
        flow = AgentFlow(
            self._acceptor.accept(connection_id, tag),
            FlowLifecycle(MAX_BACKEND_CONNECTS),
            envelope.client,
            self._settings.backend,
            self,
            self._meter.start_flow(self._clock.now()),
            self._clock,
        )
        self._count("opened")
        self._handshake_deadlines.set(
            flow, Millis(self._clock.now() + HANDSHAKE_TIMEOUT_MS)
        )
        self._table.add(flow, connection_id, tag)
        self._table.receive(flow, datagram, envelope.client.sockaddr)

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(to_seconds(_SWEEP_INTERVAL_MS))
            now = self._clock.now()
            for flow in self._handshake_deadlines.pop_due(now):
                flow.time_out_handshake()
            for flow in self._close_deadlines.pop_due(now):
                flow.try_close(CLOSE_TIMEOUT_MS)
            self._table.flush()

    def _make_tag(self) -> bytes:
        """Return an unused tag: a connection id that holds this agent's route."""
        while True:
            tag = self._tag_codec.seal(self._tag_codec.make(self._core.route))
            if self._table.find(tag) is None:
                return tag

    def _forward_to_sibling(
        self, envelope: Envelope, balancer: Endpoint, datagram: bytes, sibling: Endpoint
    ) -> None:
        """Forward an opening to a sibling, which is another agent of the same service.

        The envelope names the balancer that the opening came from, as the sibling may
        send its answers through that balancer.
        """
        forwarded = Envelope(
            FrameKind.FORWARD,
            envelope.service_id,
            envelope.client,
            balancer,
            envelope.hops + 1,
        )
        self._socket.send(
            self._envelope_codec.write(forwarded) + datagram, sibling.sockaddr
        )

    def _on_removed(self, handler: FlowHandler) -> None:
        self._count("removed")

    def _count_drop(self, reason: DropReason, peer: Endpoint) -> None:
        self._count(f"drop.{reason.value}")
        self._log.rate_limited_warning(
            f"packet dropped: {reason.value}", step=Step.DELIVER, peer=peer
        )

    def _count(self, name: str) -> None:
        self._counts[name] = self._counts.get(name, 0) + 1
