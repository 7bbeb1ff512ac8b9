"""Process of the plain front end's agent: sockets, HTTP servers and store client."""

from collections.abc import Sequence
from http import HTTPStatus
from random import Random

from papayagw._internal.core.plain.admission.cold_start import ColdStartRule
from papayagw._internal.core.plain.agent import PlainAgent
from papayagw._internal.core.plain.membership.entry_registrar import EntryRegistrar
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
from papayagw._internal.models.plain.entry_store import StoreAnswer, StoreCall
from papayagw._internal.models.plain.frame import Frame, ToAgent
from papayagw._internal.models.plain.instance import AgentEntry, StatusReport
from papayagw._internal.models.plain.packet import FlowPacket
from papayagw._internal.models.plain.settings import PlainAgentSettings
from papayagw._internal.net.clock import WallClock
from papayagw._internal.net.datagrams import BatchSocket
from papayagw._internal.net.plain.adapter import Platform
from papayagw._internal.net.plain.http_server import HttpRequest, HttpResponse
from papayagw._internal.net.plain.loop import Alarm
from papayagw._internal.net.plain.process import ProcessRuntime, SettingsLoader
from papayagw._internal.net.plain.store_driver import StoreDriver
from papayagw._internal.wire.plain_entries import agent_key, encode_entry

ENTRY_REMOVAL_TIMEOUT_MS = Millis(800)
"""How long a stopping agent waits for the store to remove its entry."""


class PlainAgentProcess:
    """Process of one agent: `PlainAgent` with sockets, HTTP servers and store client.

    `PlainAgent` does no I/O: it decides on each packet, frame, report and timer, and
    returns the actions that this class performs.

    Parameters
    ----------
    settings : PlainAgentSettings
        Settings of the process.
    platform : Platform
        Packet formats, store protocol and reports of the platform.
    load_settings : callable
        Reads the settings file again.
    """

    def __init__(
        self,
        settings: PlainAgentSettings,
        platform: Platform,
        load_settings: SettingsLoader,
    ):
        runtime = self._runtime = ProcessRuntime(
            "agent", settings, platform, load_settings
        )
        self._settings = settings
        self._platform = platform
        self._core = PlainAgent(
            settings.service,
            settings.flow_limit_ms,
            runtime.loop.now(),
            settings.report_interval_ms,
            follows_evacuations=settings.evacuation_ms is not None,
            cold_rule=_make_cold_rule(settings),
        )
        self._outbound = BatchSocket(settings.outbound)
        entry = AgentEntry(settings.inner, settings.service, settings.zone)
        self._registrar = EntryRegistrar(
            agent_key(settings.name), encode_entry(entry), Random()
        )
        self._driver = StoreDriver(
            runtime.loop,
            settings.store,
            platform,
            self._registrar,
            self._on_store_answer,
        )
        self._alarm = Alarm(runtime.loop, self._on_timer)
        self._wall_clock = WallClock()
        self._is_stopping = False

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        runtime = self._runtime
        runtime.start()
        self._outbound.start()
        runtime.loop.watch(self._outbound, self._receive_backend_packets)
        runtime.watch_frames(self._on_frame)
        runtime.serve(self._settings.readiness, self._handle_probe)
        runtime.serve(self._settings.reports, self._handle_report)
        runtime.add_stop_handler(self._stop)
        runtime.metrics.gauge("flows remembered", lambda: self._core.flow_count)
        self._driver.start()
        try:
            runtime.loop.run()
        finally:
            self._driver.close()
            self._outbound.close()
            runtime.close()

    # Packets and frames

    def _receive_backend_packets(self) -> None:
        """Handle the packets that the backend server has sent."""
        now = self._runtime.loop.now()
        for raw, _ in self._outbound.receive_batch():
            packet = self._platform.decode_backend_packet(raw)
            if packet is None:
                self._runtime.metrics.count("malformed packets")
                continue
            self._perform(self._core.on_backend_packet(packet, now))

    def _on_frame(self, frame: Frame, source: Endpoint) -> None:
        """Let `PlainAgent` handle a balancer's frame; count and drop other frames."""
        if not isinstance(frame, ToAgent):
            self._runtime.metrics.count("frames of the wrong kind")
            return
        now = self._runtime.loop.now()
        self._registrar.on_frame(frame, now)
        self._perform(self._core.on_frame(frame, source, now))

    def _on_timer(self) -> None:
        """Let `PlainAgent` handle its expired timers."""
        self._perform(self._core.on_timer(self._runtime.loop.now()))

    def _perform(self, actions: Sequence[Action]) -> None:
        """Perform actions of `PlainAgent` and set the timer to its next deadline."""
        for action in actions:
            match action:
                case SendToBackend(packet, token):
                    self._send_to_backend(packet, token)
                case SendToClient(packet):
                    self._send_to_client(packet)
                case SendFrame(peer, frame):
                    self._runtime.send_frame(peer, frame)
                case ResetClient():
                    self._runtime.send_reset(action)
                case RestoreEntry():
                    self._registrar.restore(self._runtime.loop.now())
                    self._driver.reschedule()
                case LogEvent():
                    self._runtime.record_event(action)
        self._alarm.set(self._core.due_at)

    def _send_to_backend(self, packet: FlowPacket, token: int) -> None:
        raw = self._platform.encode_for_backend(packet, token)
        self._outbound.send(raw, self._settings.backend.sockaddr)

    def _send_to_client(self, packet: FlowPacket) -> None:
        client = self._platform.client_endpoint(packet.flow, self._settings.client_port)
        self._outbound.send(packet.raw, client.sockaddr)

    # The store

    def _on_store_answer(
        self, call: StoreCall, answer: StoreAnswer, took_ms: int
    ) -> None:
        """Record the answer, and stop once a stopping agent's entry is removed."""
        self._runtime.record_store_call(call, answer, took_ms)
        if self._is_stopping and self._registrar.is_ended:
            self._runtime.loop.stop()

    # Reports, readiness and shutdown

    def _handle_report(self, request: HttpRequest) -> HttpResponse:
        """Answer a backend server's report or announcement of its end."""
        report = self._platform.decode_report(
            request.method, request.target, request.body
        )
        if report is None:
            fields = {"method": request.method, "target": request.target[:200]}
            self._runtime.record_event(LogEvent("report refused", fields))
            return HttpResponse(HTTPStatus.BAD_REQUEST)
        now = self._runtime.loop.now()
        if isinstance(report, StatusReport):
            age_ms = Millis(self._wall_clock.now() - report.started_at)
            self._perform(self._core.on_report(report, age_ms, now))
        else:
            self._perform(self._core.on_departure(report, now))
        # A backend server may rely on what is acknowledged, such as its draining.
        if not self._core.is_in_force(report):
            return HttpResponse(HTTPStatus.CONFLICT)
        return HttpResponse(HTTPStatus.OK, b"{}")

    def _handle_probe(self, request: HttpRequest) -> HttpResponse:
        """Answer the readiness probe."""
        is_ready = request.target == self._platform.readiness_path
        is_ready = is_ready and self._core.is_ready and not self._is_stopping
        return HttpResponse(
            HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        )

    def _stop(self) -> None:
        """Stop the process, after removing the store entry.

        If the backend server keeps running, the entry is kept.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        fields = {"flows": self._core.flow_count, "backend_lives": self._core.is_ready}
        self._runtime.record_event(LogEvent("stopping", fields))
        self._perform(self._core.begin_shutdown(self._runtime.loop.now()))
        if self._core.is_ready:
            # The backend server keeps running. The agent keeps its entry and exits at
            # once, so that it can be restarted as soon as possible.
            self._runtime.loop.stop()
            return
        self._registrar.end(self._runtime.loop.now())
        self._driver.restart()
        self._runtime.loop.call_after(ENTRY_REMOVAL_TIMEOUT_MS, self._runtime.loop.stop)


def _make_cold_rule(settings: PlainAgentSettings) -> ColdStartRule | None:
    """Return the limit on cold servers, or None if a setting of it is absent."""
    if settings.cold_overage is None or settings.cold_slack is None:
        return None
    return ColdStartRule(settings.cold_overage, settings.cold_slack)
