"""Transport of a caller's flows: one UDP socket to an entry address."""

import anyio

from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.net.caller_flow import OpeningAttempt
from papayagw._internal.net.flow_table import FlowHandler, FlowTable
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.observe.logs import Log
from papayagw._internal.wire.header import read_connection_id
from papayagw._internal.wire.quic import (
    CALLER_CONNECTION_ID_BYTES,
    FlowConnection,
    FlowOpener,
)
from papayagw._internal.wire.reset import RESET_TOKEN_BYTES


class FlowTransport:
    """Opens the flows to one service, and sends and receives their packets.

    Parameters
    ----------
    opener : FlowOpener
        Creates the connections of the flows.
    clock : Clock
        Source of the current time.
    log : Log
        Log for exceptions that end a flow.
    probe_interval_ms : Millis
        Time without a datagram after which the agent of a flow is probed.
    """

    def __init__(
        self, opener: FlowOpener, clock: Clock, log: Log, probe_interval_ms: Millis
    ):
        self._probe_interval_ms = probe_interval_ms
        self._opener = opener
        self._clock = clock
        self._socket = DatagramSocket(None)
        self._table = FlowTable(clock, self._on_removed, log)
        self._last_received: dict[FlowHandler, Millis] = {}

    def start(self) -> None:
        """Bind the socket to a free UDP port."""
        self._socket.start()

    def close(self) -> None:
        """Send the datagrams that are due, and close the socket."""
        self._table.flush()
        self._socket.close()

    async def run(self) -> None:
        """Receive packets, serve timers and probe silent flows until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._table.run)
            tasks.start_soon(self._probe_silent_flows)

    def open(self) -> FlowConnection:
        """Return a new connection, whose opening is ready to be transmitted."""
        return self._opener.open(self._clock.now())

    def add(self, attempt: OpeningAttempt) -> None:
        """Register an attempt, so that it receives the packets of its connection."""
        self._table.add(attempt, attempt.connection.local_id)
        self._last_received[attempt] = self._clock.now()

    def on_handshake(self, attempt: OpeningAttempt) -> None:
        """Register the agent's reset token, which marks its stateless resets."""
        token = attempt.connection.peer_reset_token
        if token:
            self._table.add_id(attempt, token)

    def mark_pending(self, attempt: OpeningAttempt) -> None:
        """Schedule an attempt that has something to send."""
        self._table.mark_pending(attempt)

    def send(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram to the entry address."""
        self._socket.send(datagram, peer)

    async def _receive(self) -> None:
        while True:
            await self._socket.wait_readable()
            now = self._clock.now()
            for datagram, peer in self._socket.receive_batch():
                handler = self._find_handler(datagram)
                if handler is not None:
                    self._last_received[handler] = now
                    self._table.receive(handler, datagram, peer)
            self._table.flush()

    def _find_handler(self, datagram: bytes) -> FlowHandler | None:
        connection_id = read_connection_id(datagram, CALLER_CONNECTION_ID_BYTES)
        handler = self._table.find(connection_id or b"")
        if handler is None:
            handler = self._table.find(datagram[-RESET_TOKEN_BYTES:])
        return handler

    async def _probe_silent_flows(self) -> None:
        while True:
            await anyio.sleep(to_seconds(self._probe_interval_ms) / 2)
            now = self._clock.now()
            for handler, received_at in self._last_received.items():
                if now - received_at >= self._probe_interval_ms:
                    handler.connection.probe()
                    self._table.mark_pending(handler)

    def _on_removed(self, handler: FlowHandler) -> None:
        self._last_received.pop(handler, None)
