"""Flows over QUIC (RFC 9000) without input or output."""

import math
from collections.abc import Callable
from pathlib import Path

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.stream import (
    BytesArrived,
    FlowEnded,
    HandshakeDone,
    StreamEvent,
)
from papayagw._internal.wire.quic_adapter import (
    STREAM_ID,
    WINDOW_BYTES,
    ServerTag,
    TaggedConnection,
)
from papayagw._internal.wire.reset import RESET_TOKEN_BYTES, ResetTokens
from papayagw._internal.wire.tag import TAG_BYTES

ALPN = "papayagw/1"
"""Application protocol that both ends negotiate in the TLS handshake (RFC 7301)."""

CALLER_CONNECTION_ID_BYTES = 8
"""Length of the connection ids of callers, in bytes."""

PREFACE = b"\x01"
"""First bytes from the caller's end, so that the agent may send before a request.

A server can't send on a stream that its client hasn't opened.
"""

_UNLIMITED_BYTES = 1 << 60
"""Flow-control limit of a connection, so that only its stream's limit applies."""

_INITIAL_RTT_SECONDS = 0.05
"""Round-trip time that is assumed before the first measurement."""

_CLOSE_COPIES = 2
"""How often the datagrams of a close are sent at first, since they may be lost."""

_MAX_CLOSE_REPEATS = 3
"""How many datagrams that arrive after a close are answered by repeating it."""

_CODES = {
    FlowOutcome.ANSWERED: 0,
    FlowOutcome.REFUSED: 1,
    FlowOutcome.CANCELLED: 2,
    FlowOutcome.UNKNOWN: 3,
}
"""Application error code of a close for each outcome."""

_OUTCOMES = {code: outcome for outcome, code in _CODES.items()}

DatagramSink = Callable[[bytes, tuple[str, int]], None]
"""Called with a datagram and the address of the peer to send it to."""


class FlowConnection:
    """One flow over QUIC: datagrams and deadlines in, events and datagrams out.

    Parameters
    ----------
    connection : TaggedConnection
        The QUIC connection of the flow.
    local_id : bytes
        The connection id that the peer's packets carry.
    preface : bytes
        Bytes that the peer sends ahead of its data.
    """

    def __init__(
        self, connection: TaggedConnection, local_id: bytes, preface: bytes = b""
    ):
        self._connection = connection
        self._local_id = local_id
        self._preface_left = len(preface)
        self._pending_writes: list[tuple[bytes, bool]] = []
        self._consumed_bytes = len(preface)
        self._close_datagrams: list[tuple[bytes, tuple[str, int]]] = []
        self._close_repeats = 0
        self._is_reset = False
        self._is_end_reported = False
        self._has_stream = False
        self._last_received_at = Millis(0)
        self._pings = 0

    @property
    def local_id(self) -> bytes:
        """The connection id that the peer's packets carry."""
        return self._local_id

    @property
    def buffered_bytes(self) -> int:
        """Bytes written that the peer hasn't acknowledged."""
        return self._connection.buffered_bytes

    @property
    def is_stream_done(self) -> bool:
        """Whether both directions have ended and all bytes are acknowledged."""
        return self._has_stream and not self._connection.has_open_stream

    @property
    def last_received_at(self) -> Millis:
        """When the last datagram of the peer was received."""
        return self._last_received_at

    @property
    def peer_reset_token(self) -> bytes:
        """The token at the end of a stateless reset from the peer."""
        return self._connection.peer_reset_token

    @property
    def is_ending(self) -> bool:
        """Whether nothing more can be sent or received."""
        return self._is_reset or self._connection.is_ending

    @property
    def next_deadline(self) -> Millis | None:
        """When `on_deadline` is due, or None once the flow is over."""
        if self._is_reset:
            return None
        at = self._connection.get_timer()
        return None if at is None else Millis(math.ceil(at * MILLIS_PER_SECOND))

    def receive(self, datagram: bytes, peer: tuple[str, int], now: Millis) -> None:
        """Process a received datagram of the flow."""
        connection = self._connection
        self._last_received_at = now
        if connection.is_ending:
            self._close_repeats += 1
            return
        if self._is_stateless_reset(datagram):
            self._is_reset = True
            return
        connection.receive_datagram(datagram, peer, to_seconds(now))
        if self._pending_writes and connection.has_stream:
            pending, self._pending_writes = self._pending_writes, []
            for data, finished in pending:
                self._send(data, finished)

    def on_deadline(self, now: Millis) -> None:
        """Handle the expiry of `next_deadline`."""
        if not self._is_reset:
            self._connection.handle_timer(to_seconds(now))

    def transmit(self, now: Millis, sink: DatagramSink) -> None:
        """Pass all datagrams that are due to `sink`."""
        connection = self._connection
        was_ending = connection.is_ending
        if was_ending:
            self._repeat_close(sink)
            return
        datagrams = connection.datagrams_to_send(to_seconds(now))
        for datagram, peer in datagrams:
            sink(datagram, peer)
        if connection.is_ending and datagrams:
            self._close_datagrams = datagrams
            for _ in range(_CLOSE_COPIES - 1):
                for datagram, peer in datagrams:
                    sink(datagram, peer)

    def pop_events(self) -> list[StreamEvent]:
        """Return the events since the last call."""
        popped: list[StreamEvent] = []
        event = self._connection.next_event()
        while event is not None:
            if isinstance(event, events.HandshakeCompleted):
                self._connection.release_handshake_state()
                popped.append(HandshakeDone())
            elif isinstance(event, events.StreamDataReceived):
                self._has_stream = True
                popped.append(self._strip_preface(event))
            event = self._connection.next_event()
        end = self._pop_end_event()
        if end is not None:
            popped.append(end)
        return popped

    def write(self, data: bytes) -> None:
        """Send bytes to the peer."""
        self._send(data, finished=False)

    def finish(self) -> None:
        """End the sending direction of the stream."""
        self._send(b"", finished=True)

    def consume(self, count: int) -> bool:
        """Record that `count` received bytes were passed on and need no more memory.

        Returns whether flow-control credit is granted to the peer.
        """
        self._consumed_bytes += count
        return not self.is_ending and self._connection.grant_credit(
            self._consumed_bytes
        )

    def probe(self) -> None:
        """Send a PING frame, which the peer has to acknowledge."""
        if not self.is_ending:
            self._pings += 1
            self._connection.send_ping(self._pings)

    def close(self, outcome: FlowOutcome, reason: str) -> None:
        """Close the flow and send its outcome and the reason to the peer."""
        self._connection.close(error_code=_CODES[outcome], reason_phrase=reason)

    def _send(self, data: bytes, finished: bool) -> None:
        """Send stream data, or keep it until the stream exists."""
        if self.is_ending:
            return
        if not self._connection.has_stream:
            self._pending_writes.append((data, finished))
            return
        self._connection.send_stream_data(STREAM_ID, data, finished)

    def _strip_preface(self, event: events.StreamDataReceived) -> BytesArrived:
        """Return the received bytes without those that belong to the preface."""
        data = event.data[self._preface_left :]
        self._preface_left -= len(event.data) - len(data)
        return BytesArrived(data, event.end_stream)

    def _is_stateless_reset(self, datagram: bytes) -> bool:
        token = self._connection.peer_reset_token
        return bool(token) and datagram[-RESET_TOKEN_BYTES:] == token

    def _repeat_close(self, sink: DatagramSink) -> None:
        """Answer a datagram that arrived after the close by sending the close again."""
        if 0 < self._close_repeats <= _MAX_CLOSE_REPEATS:
            for datagram, peer in self._close_datagrams:
                sink(datagram, peer)

    def _pop_end_event(self) -> FlowEnded | None:
        """Return the event that the flow ended, once, or None."""
        if self._is_end_reported:
            return None
        if self._is_reset:
            self._is_end_reported = True
            return FlowEnded(FlowOutcome.UNKNOWN, "the agent has forgotten the flow")
        event = self._connection.close_event
        if event is None:
            return None
        self._is_end_reported = True
        is_application_close = event.frame_type is None
        outcome = _OUTCOMES.get(event.error_code) if is_application_close else None
        return FlowEnded(outcome or FlowOutcome.UNKNOWN, event.reason_phrase)


class FlowAcceptor:
    """Creates the agent's ends of flows.

    Parameters
    ----------
    certificate, private_key : Path
        PEM files of the certificate that is presented to callers and of its key.
    idle_timeout_ms : Millis
        How long a flow may be idle.
    reset_tokens : ResetTokens
        Source of the flows' stateless reset tokens.
    """

    def __init__(
        self,
        certificate: Path,
        private_key: Path,
        idle_timeout_ms: Millis,
        reset_tokens: ResetTokens,
    ):
        self._configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=[ALPN],
            connection_id_length=TAG_BYTES,
            idle_timeout=to_seconds(idle_timeout_ms),
            max_data=_UNLIMITED_BYTES,
            max_stream_data=WINDOW_BYTES,
            initial_rtt=_INITIAL_RTT_SECONDS,
        )
        self._configuration.load_cert_chain(certificate, private_key)
        self._reset_tokens = reset_tokens

    def accept(self, opening_id: bytes, tag: bytes) -> FlowConnection:
        """Return the flow of an opening; its later packets carry `tag`."""
        server_tag = ServerTag(tag, self._reset_tokens.make_token(tag))
        connection = TaggedConnection(self._configuration, opening_id, server_tag)
        return FlowConnection(connection, tag, PREFACE)


class FlowOpener:
    """Creates the callers' ends of flows.

    Parameters
    ----------
    service : str
        Name of the service, which the certificate must contain.
    entry : Endpoint
        The entry address of the service.
    authority : Path
        PEM file of the certificate authority that signs the agents' certificates.
    idle_timeout_ms : Millis
        How long a flow may be idle.
    """

    def __init__(
        self, service: str, entry: Endpoint, authority: Path, idle_timeout_ms: Millis
    ):
        self._entry = entry
        self._configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=[ALPN],
            connection_id_length=CALLER_CONNECTION_ID_BYTES,
            idle_timeout=to_seconds(idle_timeout_ms),
            max_data=_UNLIMITED_BYTES,
            max_stream_data=WINDOW_BYTES,
            initial_rtt=_INITIAL_RTT_SECONDS,
            server_name=service,
        )
        self._configuration.load_verify_locations(cafile=str(authority))

    def open(self, now: Millis) -> FlowConnection:
        """Return a new flow whose opening is ready to be transmitted."""
        connection = TaggedConnection(self._configuration)
        connection.connect(self._entry.sockaddr, to_seconds(now))
        flow = FlowConnection(connection, connection.host_cid)
        flow.write(PREFACE)
        return flow
