"""What the processes need of the platform that they run on, as protocol types."""

from typing import Protocol

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.entry_store import StoreAnswer, StoreCall
from papayagw._internal.models.plain.instance import Departure, StatusReport
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket
from papayagw._internal.models.plain.site import SiteVersion


class PacketCodec(Protocol):
    """The packets of clients and backend servers."""

    def decode_client_packet(self, raw: bytes) -> FlowPacket | None:
        """Return a client's packet, or None if it isn't one."""

    def decode_backend_packet(self, raw: bytes) -> FlowPacket | None:
        """Return a backend server's packet, or None if it isn't one."""

    def encode_for_backend(self, packet: FlowPacket, token: int) -> bytes:
        """Return a client's packet with the agent's number in it."""

    def encode_client_packet(self, packet: FlowPacket) -> bytes:
        """Return a client's packet as the client sent it."""

    def encode_reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a reset from the flow's entry to its client."""

    def client_endpoint(self, flow: FlowKey, port: int) -> Endpoint:
        """Return where the flow's client takes packets."""


class HttpCall(Protocol):
    """A call as HTTP carries it."""

    @property
    def method(self) -> str:
        """The method."""

    @property
    def target(self) -> str:
        """Path and query."""

    @property
    def body(self) -> bytes:
        """The body; empty if there is none."""


class StoreCodec(Protocol):
    """The calls of the key-value service."""

    def encode_call(self, call: StoreCall) -> HttpCall:
        """Return the HTTP form of a call."""

    def decode_answer(self, call: StoreCall, status: int, body: bytes) -> StoreAnswer:
        """Return what an answer says."""


class Platform(PacketCodec, StoreCodec, Protocol):
    """All that is particular to a platform."""

    @property
    def site_key(self) -> str:
        """The key of the operators' configuration."""

    @property
    def readiness_path(self) -> str:
        """The path at which readiness is asked for."""

    def decode_site(self, value: bytes) -> SiteVersion:
        """Return the operators' configuration.

        Raises
        ------
        DecodeError
            If the bytes aren't one.
        """

    def decode_report(
        self, method: str, path: str, body: bytes
    ) -> StatusReport | Departure | None:
        """Return what a backend server reports, or None if it is of no use."""
