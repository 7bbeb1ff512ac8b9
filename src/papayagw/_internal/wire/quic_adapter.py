"""The QUIC library's connection, with flow tags and flow control of our own.

The library makes its connection ids at random and grants the peer flow-control
credit for what has arrived. Here a server's connection id is a flow tag, and
credit is granted for what has been consumed, so that a slow backend server holds
its caller back. This module is the one place that reaches into the library; the
library's version is pinned, and ``tests/unit/test_quic.py`` fails if it changes.
"""

from dataclasses import dataclass

from aioquic._buffer import Buffer
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import (
    END_STATES,
    MAX_STREAM_DATA_FRAME_CAPACITY,
    QuicConnection,
)
from aioquic.quic.packet import QuicFrameType
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketSpace
from aioquic.quic.stream import QuicStream
from aioquic.tls import Epoch

from papayagw._internal.wire.recovery import SprayRecovery

STREAM_ID = 0
"""The one stream of a flow, which carries both directions."""

WINDOW_BYTES = 1 << 20
"""How much a peer may send that hasn't been consumed, in bytes."""

_EMPTY_BUFFER = Buffer(capacity=0)
_SHARED_EPOCH_SETS: dict[frozenset[Epoch], frozenset[Epoch]] = {}


@dataclass(frozen=True, slots=True)
class ServerTag:
    """The connection id that an agent gives to a flow.

    Attributes
    ----------
    tag : bytes of shape (TAG_BYTES,)
        The sealed flow tag.
    reset_token : bytes
        Its stateless reset token.
    """

    tag: bytes
    reset_token: bytes


class TaggedConnection(QuicConnection):
    """The library's connection with our ids and our flow control."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_id: bytes | None = None,
        server_tag: ServerTag | None = None,
    ):
        super().__init__(
            configuration=configuration, original_destination_connection_id=original_id
        )
        self._loss = SprayRecovery(configuration, self._send_probe, self._logger)
        self._share_epoch_sets()
        self._local_max_streams_bidi.value = 1
        self._local_max_streams_bidi.sent = 1
        self._local_max_streams_uni.value = 0
        self._local_max_streams_uni.sent = 0
        if server_tag is not None:
            first = self._host_cids[0]
            first.cid = server_tag.tag
            first.stateless_reset_token = server_tag.reset_token
            self.host_cid = server_tag.tag
            self._local_initial_source_connection_id = server_tag.tag

    @property
    def peer_reset_token(self) -> bytes:
        """The token with which the peer would reset this connection."""
        return self._peer_cid.stateless_reset_token

    @property
    def close_event(self) -> events.ConnectionTerminated | None:
        """How the connection ends, as soon as that is known."""
        return self._close_event

    @property
    def is_ending(self) -> bool:
        """Whether the connection is closing, draining or over."""
        return self._state in END_STATES

    @property
    def has_stream(self) -> bool:
        """Whether the stream may be written to."""
        return self._is_client or STREAM_ID in self._streams

    @property
    def buffered_bytes(self) -> int:
        """Bytes written to the stream that the peer hasn't acknowledged."""
        stream = self._streams.get(STREAM_ID)
        if stream is None:
            return 0
        return int(stream.sender._buffer_stop - stream.sender._buffer_start)

    @property
    def has_open_stream(self) -> bool:
        """Whether the stream exists and one of its directions hasn't ended."""
        stream = self._streams.get(STREAM_ID)
        return stream is not None and not stream.is_finished

    def release_handshake_state(self) -> None:
        """Give back what only the handshake needed, for it is complete.

        The library keeps it for as long as a flow lives: three buffers of 16 KB, the
        peer's certificates and the ephemeral keys. The table of the first packets'
        keys stays, since such a packet may still come, late or twice.
        """
        self._crypto_buffers = dict.fromkeys(self._crypto_buffers, _EMPTY_BUFFER)
        self.tls._peer_certificate = None
        self.tls._peer_certificate_chain = []
        self.tls._ec_private_keys = []
        self.tls._x25519_private_key = None

    def _share_epoch_sets(self) -> None:
        """Let all connections share the sets in the table of frame handlers."""
        handlers = vars(self)["_QuicConnection__frame_handlers"]
        for frame_type, (handler, epochs) in handlers.items():
            handlers[frame_type] = (
                handler,
                _SHARED_EPOCH_SETS.setdefault(epochs, epochs),
            )

    def grant_credit(self, consumed: int) -> bool:
        """Let the peer send up to a window beyond `consumed`; return if it is told.

        Credit is told in steps of half a window, so that it costs few frames.
        """
        stream = self._streams.get(STREAM_ID)
        if stream is None or stream.receiver.is_finished:
            return False
        limit = consumed + WINDOW_BYTES
        if limit - stream.max_stream_data_local < WINDOW_BYTES // 2:
            return False
        stream.max_stream_data_local = limit
        return True

    def _replenish_connection_ids(self) -> None:
        """Issue no further ids: a flow has one tag for life."""

    def _write_stream_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace, stream: QuicStream
    ) -> None:
        """Tell the peer of credit, without the library's doubling of it."""
        if stream.max_stream_data_local_sent == stream.max_stream_data_local:
            return
        assert stream.stream_id is not None, "only the crypto streams have no id"
        buffer = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=MAX_STREAM_DATA_FRAME_CAPACITY,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        buffer.push_uint_var(stream.stream_id)
        buffer.push_uint_var(stream.max_stream_data_local)
        stream.max_stream_data_local_sent = stream.max_stream_data_local
