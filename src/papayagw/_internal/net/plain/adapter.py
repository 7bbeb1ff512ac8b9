"""Protocol types that a platform implements for the processes."""

from typing import Protocol

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    StoreCall,
    UsableAnswer,
)
from papayagw._internal.models.plain.instance import Departure, StatusReport
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket
from papayagw._internal.models.plain.site import SiteVersion

Headers = tuple[tuple[str, str], ...]
"""Names, in lower case, and values of the headers of an HTTP response."""


class PacketCodec(Protocol):
    """Encodes and decodes the packets of clients and backend servers."""

    def decode_client_packet(self, raw: bytes) -> FlowPacket | None:
        """Decode a client's packet; return None if `raw` is malformed."""

    def decode_backend_packet(self, raw: bytes) -> FlowPacket | None:
        """Decode a backend server's packet; return None if `raw` is malformed."""

    def encode_for_backend(self, packet: FlowPacket, token: int) -> bytes:
        """Encode a client's packet for the backend server, with a balancer's token.

        The token identifies the balancer that forwarded the packet. The backend server
        sends it back with a packet that it rejects.
        """

    def encode_client_packet(self, packet: FlowPacket) -> bytes:
        """Encode a packet as its client sent it, without the balancer's token."""

    def encode_reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Encode a reset from the flow's entry to its client, at `sequence`."""

    def client_endpoint(self, flow: FlowKey, port: int) -> Endpoint:
        """Return where the flow's client receives packets, with UDP port `port`."""


class HttpCall(Protocol):
    """The HTTP request that carries a store call."""

    @property
    def method(self) -> str:
        """HTTP method."""

    @property
    def target(self) -> str:
        """Request target: path and query."""

    @property
    def body(self) -> bytes:
        """Request body; empty if there is none."""


class StoreCodec(Protocol):
    """Encodes calls to the key-value service and decodes its answers."""

    def encode_call(self, call: StoreCall) -> HttpCall:
        """Encode a store call as an HTTP request."""

    def decode_answer(
        self, call: StoreCall, status: int, body: bytes
    ) -> UsableAnswer | CallFailed:
        """Decode the HTTP response to a store call."""

    def decode_era(self, headers: Headers) -> int | None:
        """Return the store's era that a response names, or None if it names none."""


class Platform(PacketCodec, StoreCodec, Protocol):
    """Packet formats, store protocol, configuration and reports of a platform."""

    @property
    def site_key(self) -> str:
        """Key of the operators' configuration in the store."""

    @property
    def operator_prefix(self) -> str:
        """Prefix of all keys that operators write, `site_key` included."""

    @property
    def readiness_path(self) -> str:
        """HTTP path of the readiness probe."""

    def decode_site(self, value: bytes) -> SiteVersion:
        """Decode the operators' configuration.

        Raises
        ------
        DecodeError
            If `value` isn't a valid configuration.
        """

    def decode_evacuated_zone(self, key: str) -> str | None:
        """Return the zone that is evacuated while `key` exists; None for other keys."""

    def decode_report(
        self, method: str, path: str, body: bytes
    ) -> StatusReport | Departure | None:
        """Decode a backend server's report; return None if the request is invalid."""
