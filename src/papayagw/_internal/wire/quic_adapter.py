"""The QUIC library's connection, extended by flow tags and different flow control.

The library generates random connection ids and grants the peer flow-control credit
for received bytes. Here a server's connection id is a flow tag, and credit is granted
for consumed bytes, so that a slow backend server throttles its caller. Among the
modules of the package, only this one and ``recovery.py`` use private attributes of
the library. The library's version is pinned, and ``tests/unit/test_quic.py`` fails if
these attributes change.
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
"""The only stream of a flow, which carries both directions."""

WINDOW_BYTES = 1 << 20
"""How many bytes a peer may send beyond those consumed."""

_EMPTY_BUFFER = Buffer(capacity=0)
_SHARED_EPOCH_SETS: dict[frozenset[Epoch], frozenset[Epoch]] = {}


@dataclass(frozen=True, slots=True)
class ServerTag:
    """The connection id that an agent assigns to a flow.

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
    """QUIC connection with a flow tag as server id and credit for consumed bytes.

    Parameters
    ----------
    configuration : QuicConfiguration
        The configuration of the connection.
    original_id : bytes or None
        The destination connection id of the opening, on the agent's side.
    server_tag : ServerTag or None
        The connection id that the agent assigns; None on the caller's side.
    """

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
        """The token of a stateless reset of this connection by the peer."""
        return self._peer_cid.stateless_reset_token

    @property
    def close_event(self) -> events.ConnectionTerminated | None:
        """The event that ends the connection, or None before it is known."""
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
        """Release the state that only the handshake needs, after its completion.

        The library keeps it for the lifetime of a flow: three buffers of 16 KB, the
        peer's certificates and the ephemeral keys. The table of the first packets'
        keys is kept, since such a packet may still arrive late or duplicated.
        """
        self._crypto_buffers = dict.fromkeys(self._crypto_buffers, _EMPTY_BUFFER)
        self.tls._peer_certificate = None
        self.tls._peer_certificate_chain = []
        self.tls._ec_private_keys = []
        self.tls._x25519_private_key = None

    def _share_epoch_sets(self) -> None:
        """Share the epoch sets of the frame handler tables among all connections."""
        handlers = vars(self)["_QuicConnection__frame_handlers"]
        for frame_type, (handler, epochs) in handlers.items():
            handlers[frame_type] = (
                handler,
                _SHARED_EPOCH_SETS.setdefault(epochs, epochs),
            )

    def grant_credit(self, consumed: int) -> bool:
        """Allow the peer a window beyond `consumed`; return whether its limit rose.

        The limit is raised by at least half a window at a time, so that few frames
        are sent for it.
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
        """Issue no further connection ids: a flow keeps one tag for its lifetime."""

    def _write_stream_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace, stream: QuicStream
    ) -> None:
        """Send the peer its new limit, without doubling it as the library does."""
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
