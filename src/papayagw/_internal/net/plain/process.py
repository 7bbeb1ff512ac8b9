"""Runtime shared by the balancer and agent processes of the plain front end."""

import signal
import traceback
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from papayagw import __version__
from papayagw._internal.exceptions import DecodeError, PapayagwError, SettingsError
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import LogEvent, ResetClient
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    StoreAnswer,
    StoreCall,
    StoreRestored,
    WatchPrefix,
)
from papayagw._internal.models.plain.frame import Frame
from papayagw._internal.models.plain.settings import PlainSettings
from papayagw._internal.net.datagrams import BatchSocket
from papayagw._internal.net.plain.adapter import Platform
from papayagw._internal.net.plain.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from papayagw._internal.net.plain.loop import Loop
from papayagw._internal.observe.exposition import CONTENT_TYPE, MetricsRegistry
from papayagw._internal.observe.json_lines import JsonLinesLog
from papayagw._internal.wire.plain_frames import MAX_FRAME_BYTES, PlainFrameCodec

SETTINGS_CHECK_INTERVAL_MS = Millis(5_000)
"""Interval at which the settings file is checked for changes made without a SIGHUP."""

MAX_INTERNED_ENDPOINTS = 16_384
"""Size at which the cache of `Endpoint` objects, by address and port, is cleared."""


class SettingsLoader(Protocol):
    """Loads the settings file again."""

    def __call__(self) -> PlainSettings:
        """Load and return the settings.

        Raises
        ------
        SettingsError
            If the file can't be read or is invalid.
        """


class ProcessRuntime:
    """Event loop, inner socket, HTTP servers, log and metrics of one process.

    The inner socket is the UDP socket for frames between balancers and agents. Resets
    to clients are sent from it too.

    Parameters
    ----------
    role : str
        Role of the process, for logs.
    settings : PlainSettings
        Settings of the process.
    platform : Platform
        Packet formats of the platform.
    load_settings : callable
        Reads the settings file again.
    """

    def __init__(
        self,
        role: str,
        settings: PlainSettings,
        platform: Platform,
        load_settings: SettingsLoader,
    ):
        self._role = role
        self._settings = settings
        self._platform = platform
        self._load_settings_file = load_settings
        self.loop = Loop(self._record_fault)
        self.log = JsonLinesLog(settings.name, self.loop)
        self.metrics = MetricsRegistry()
        self._inner = BatchSocket(settings.inner, max_bytes=MAX_FRAME_BYTES)
        self._frames = PlainFrameCodec(platform)
        self._servers: list[HttpServer] = []
        self._peers: dict[tuple[str, int], Endpoint] = {}
        self._is_store_lost = False

    @property
    def settings(self) -> PlainSettings:
        """Settings in force."""
        return self._settings

    def start(self) -> None:
        """Install the signal handlers, bind the inner socket and serve metrics."""
        self.log.start()
        self.loop.start()
        self.loop.add_signal_handler(
            signal.SIGHUP, lambda: self._reload_settings("signal")
        )
        self._inner.start()
        self.serve(self._settings.metrics, self._handle_metrics_request)
        self.loop.call_after(SETTINGS_CHECK_INTERVAL_MS, self._check_settings)
        fields = {"role": self._role, "version": __version__}
        self.log.write("started", {**fields, "inner": self._settings.inner})

    def close(self) -> None:
        """Close the servers, sockets, log and loop."""
        for server in self._servers:
            server.close()
        self._inner.close()
        self.log.write("stopped", {"role": self._role})
        self.log.close()
        self.loop.close()

    def serve(
        self, endpoint: Endpoint, handler: Callable[[HttpRequest], HttpResponse]
    ) -> None:
        """Serve HTTP requests at an endpoint with `handler`."""
        server = HttpServer(self.loop, endpoint, handler)
        server.start()
        self._servers.append(server)

    def watch_frames(self, on_frame: Callable[[Frame, Endpoint], None]) -> None:
        """Call `on_frame` with each frame received on the inner socket."""

        def read() -> None:
            """Decode the received frames and pass them on."""
            for data, source in self._inner.receive_batch():
                try:
                    frame = self._frames.decode(data)
                except DecodeError as error:
                    self.record_event(
                        LogEvent(
                            "frame dropped", {"peer": source, "reason": error.what}
                        )
                    )
                    continue
                on_frame(frame, self._intern_endpoint(source))

        self.loop.watch(self._inner, read)

    def send_frame(self, peer: Endpoint, frame: Frame) -> None:
        """Encode a frame and send it to a peer."""
        self._inner.send(self._frames.encode(frame), peer.sockaddr)

    def send_reset(self, reset: ResetClient) -> None:
        """Send a reset to a flow's client."""
        client = self._platform.client_endpoint(reset.flow, self._settings.client_port)
        raw = self._platform.encode_reset(reset.flow, reset.sequence)
        self._inner.send(raw, client.sockaddr)
        self.metrics.count("resets")

    def record_event(self, log_event: LogEvent) -> None:
        """Log an event and count it in the metrics.

        A field `ms` is recorded as the event's duration.
        """
        self.metrics.count(log_event.event)
        took_ms = log_event.fields.get("ms")
        if took_ms is not None:
            self.metrics.observe(log_event.event, took_ms)
        self.log.write(log_event.event, log_event.fields)

    def record_store_call(
        self, call: StoreCall, answer: StoreAnswer, took_ms: int
    ) -> None:
        """Count a store call and record its duration in the metrics.

        Logs when the store becomes unreachable or reachable again, or was restored.
        """
        name = type(call).__name__
        if isinstance(answer, StoreRestored):
            self.record_event(
                LogEvent("store restored", {"call": name, "era": answer.era})
            )
        self.metrics.count(f"store {name}")
        if not isinstance(call, WatchPrefix):
            self.metrics.observe(f"store {name}", took_ms)
        is_lost = isinstance(answer, CallFailed)
        if is_lost:
            self.metrics.count(f"store {name} failed")
        if is_lost != self._is_store_lost:
            self._is_store_lost = is_lost
            event = "store lost" if is_lost else "store regained"
            reason = {"reason": answer.reason} if isinstance(answer, CallFailed) else {}
            self.record_event(
                LogEvent(event, {"call": name, "took_ms": took_ms, **reason})
            )

    def add_stop_handler(self, stop: Callable[[], None]) -> None:
        """Call `stop` on SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, stop)

    def _record_fault(self, error: Exception) -> None:
        """Log an exception that a callback didn't handle."""
        frames = traceback.format_tb(error.__traceback__)
        fields = {"error": repr(error), "traceback": "".join(frames[-3:])}
        self.record_event(LogEvent("fault", fields))

    def _intern_endpoint(self, source: tuple[str, int]) -> Endpoint:
        """Return the `Endpoint` of an address and port, from the cache if present."""
        peer = self._peers.get(source)
        if peer is None:
            if len(self._peers) >= MAX_INTERNED_ENDPOINTS:
                self._peers.clear()
            peer = self._peers[source] = Endpoint(*source)
        return peer

    def _handle_metrics_request(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics in text form."""
        body = self.metrics.render().encode()
        return HttpResponse(HTTPStatus.OK, body, CONTENT_TYPE)

    def _check_settings(self) -> None:
        """Reload the settings and schedule the next check."""
        self._reload_settings("file")
        self.loop.call_after(SETTINGS_CHECK_INTERVAL_MS, self._check_settings)

    def _reload_settings(self, cause: str) -> None:
        """Load the settings file and put changed settings in force."""
        try:
            settings = self._load_settings_file()
        except SettingsError as error:
            self.record_event(
                LogEvent("settings refused", {"cause": cause, "reason": error})
            )
            return
        if settings != self._settings:
            self._settings = settings
            self.record_event(LogEvent("settings reloaded", {"cause": cause}))
        elif cause == "signal":
            self.record_event(LogEvent("settings unchanged", {"cause": cause}))


def error_fields(error: PapayagwError) -> dict[str, object]:
    """Return the fields that describe an error in a log line."""
    return {"step": error.step, "peer": error.peer, "reason": error.what}
