"""The caller's side: TCP connections in, flows over the entry address out."""

from collections.abc import Callable

import anyio
import anyio.abc

from papayagw._internal.core.retry import OpeningRetry
from papayagw._internal.core.service_meter import ServiceMeter
from papayagw._internal.exceptions import Step
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.node import Listener
from papayagw._internal.models.report import Side
from papayagw._internal.net.caller_flow import (
    CallerFlow,
    OpeningAttempt,
)
from papayagw._internal.net.flow_table import FlowHandler, FlowTable
from papayagw._internal.net.tcp import TcpListener, TcpStream
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.observe.logs import Log
from papayagw._internal.wire.header import read_connection_id
from papayagw._internal.wire.quic import (
    CALLER_ID_BYTES,
    FlowConnection,
    FlowOpener,
)
from papayagw._internal.wire.reset import RESET_TOKEN_BYTES

PROBE_MS = Millis(1_000)
"""How long a flow may be silent before its agent is probed."""


class ServiceConnector:
    """Carries the TCP connections of one listener to one service.

    Parameters
    ----------
    listener : Listener
        Where callers connect, and the service behind.
    opener : FlowOpener
        Makes the callers' ends of flows.
    make_retry : callable
        Returns what decides about further attempts of one flow.
    clock : Clock
        The time.
    log : Log
        Where flows that don't end well are logged.
    """

    def __init__(
        self,
        listener: Listener,
        opener: FlowOpener,
        make_retry: Callable[[], OpeningRetry],
        clock: Clock,
        log: Log,
    ):
        self._service = listener.service
        self._listener = TcpListener(listener.listen)
        self._entry = listener.entry
        self._opener = opener
        self._make_retry = make_retry
        self._clock = clock
        self._log = log
        self._socket = DatagramSocket(None)
        self._meter = ServiceMeter(listener.service, Side.CALLER)
        self._table = FlowTable(clock, self._on_removed, log)
        self._outcomes: dict[FlowOutcome, int] = dict.fromkeys(FlowOutcome, 0)
        self._open_streams = 0
        self._heard: dict[FlowHandler, Millis] = {}

    @property
    def outcomes(self) -> dict[FlowOutcome, int]:
        """How many flows ended in each way."""
        return self._outcomes

    @property
    def meter(self) -> ServiceMeter:
        """What became of the flows."""
        return self._meter

    @property
    def flows(self) -> int:
        """How many TCP connections are open."""
        return self._open_streams

    def start(self) -> None:
        """Take the addresses."""
        self._socket.start()
        self._listener.start()

    def close(self) -> None:
        """Give the addresses back."""
        self._listener.close()
        self._socket.close()

    def stop_listening(self) -> None:
        """Take no new TCP connections."""
        self._listener.close()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._table.run)
            tasks.start_soon(self._probe)
            await self._listener.serve(self._carry, tasks)

    def open(self) -> FlowConnection:
        """Return a new connection."""
        return self._opener.open(self._clock.now())

    def add(self, attempt: OpeningAttempt) -> None:
        """Send the packets of an attempt's connection to it from now on."""
        self._table.add(attempt, attempt.connection.local_id)
        self._heard[attempt] = self._clock.now()

    def on_handshake(self, attempt: OpeningAttempt) -> None:
        """Let a stateless reset by the agent find the attempt."""
        token = attempt.connection.peer_reset_token
        if token:
            self._table.add_id(attempt, token)

    def touch(self, attempt: OpeningAttempt) -> None:
        """Note that an attempt has something to send."""
        self._table.touch(attempt)

    def send(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram to the entry address."""
        self._socket.send(datagram, peer)

    async def _carry(self, stream: TcpStream) -> None:
        retry = self._make_retry()
        meter = self._meter.start_flow(self._clock.now())
        flow = CallerFlow(stream, self, retry, self._clock, meter)
        self._open_streams += 1
        try:
            outcome = await flow.run()
            self._outcomes[outcome] += 1
            if outcome is not FlowOutcome.ANSWERED:
                self._log_end(outcome, flow.reason)
        finally:
            self._open_streams -= 1

    def _log_end(self, outcome: FlowOutcome, reason: str) -> None:
        self._log.limited(
            f"flow {outcome.value}",
            step=Step.OPEN_FLOW if outcome is FlowOutcome.REFUSED else Step.DELIVER,
            peer=self._entry,
            service=self._service,
            reason=reason,
        )

    async def _receive(self) -> None:
        while True:
            await self._socket.wait_readable()
            now = self._clock.now()
            for datagram, peer in self._socket.receive_batch():
                handler = self._find(datagram)
                if handler is not None:
                    self._heard[handler] = now
                    self._table.receive(handler, datagram, peer)
            self._table.flush()

    def _find(self, datagram: bytes) -> FlowHandler | None:
        connection_id = read_connection_id(datagram, CALLER_ID_BYTES)
        handler = self._table.find(connection_id or b"")
        if handler is None:
            handler = self._table.find(datagram[-RESET_TOKEN_BYTES:])
        return handler

    async def _probe(self) -> None:
        while True:
            await anyio.sleep(to_seconds(PROBE_MS) / 2)
            now = self._clock.now()
            for handler, heard_at in self._heard.items():
                if now - heard_at >= PROBE_MS:
                    handler.connection.probe()
                    self._table.touch(handler)

    def _on_removed(self, handler: FlowHandler) -> None:
        self._heard.pop(handler, None)
