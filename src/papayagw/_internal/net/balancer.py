"""Packet path of a balancer: forwards packets between callers and agents."""

from collections.abc import Sequence
from dataclasses import replace

from papayagw._internal.core.balancer import DROP_MALFORMED, BalancerCore
from papayagw._internal.exceptions import Step
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.decision import (
    BalancerDecision,
    DropReason,
    Forward,
    Reset,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import ServiceId
from papayagw._internal.net.datagrams import AddressedDatagram
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.observe.logs import Log
from papayagw._internal.wire.envelope import ENVELOPE_BYTES, EnvelopeCodec, FrameKind
from papayagw._internal.wire.header import is_opening, read_connection_id
from papayagw._internal.wire.reset import ResetTokens
from papayagw._internal.wire.tag import TagCodec


class BalancerPackets:
    """Packet path of a balancer, in both directions.

    The packets of an established flow carry a tag, which names the flow's agent: the
    connection id that the agent chose when it accepted the flow.

    Parameters
    ----------
    core : BalancerCore
        Routes each packet.
    configuration : Configuration
        Configuration in force, which gives the fleet keys.
    inner : DatagramSocket
        Socket for packets to and from agents and other balancers.
    entries : dict of ServiceId to DatagramSocket
        Sockets that receive packets from callers, by service.
    log : Log
        Receives a rate-limited warning for each kind of dropped packet.
    """

    def __init__(
        self,
        core: BalancerCore,
        configuration: Configuration,
        inner: DatagramSocket,
        entries: dict[ServiceId, DatagramSocket],
        log: Log,
    ):
        self._core = core
        self._inner = inner
        self._entries = entries
        self._log = log
        self._outgoing: list[tuple[DatagramSocket, bytes, tuple[str, int]]] = []
        self._forwarded = 0
        self._answered = 0
        self._peer_openings = 0
        self._reset_count = 0
        self._drops: dict[DropReason, int] = dict.fromkeys(DropReason, 0)
        self.apply(configuration)

    @property
    def forwarded(self) -> int:
        """Number of callers' packets forwarded to agents or other balancers."""
        return self._forwarded

    @property
    def answered(self) -> int:
        """Number of packets sent to callers, apart from resets."""
        return self._answered

    @property
    def peer_openings(self) -> int:
        """Number of openings received from other balancers and forwarded to agents."""
        return self._peer_openings

    @property
    def resets(self) -> int:
        """Number of stateless resets sent because the agent of the flow is gone."""
        return self._reset_count

    @property
    def drops(self) -> dict[DropReason, int]:
        """Number of dropped packets by reason."""
        return self._drops

    def apply(self, configuration: Configuration) -> None:
        """Use the keys of `configuration` for all later packets."""
        keys = configuration.site.keys
        self._tag_codec = TagCodec(keys)
        self._envelope_codec = EnvelopeCodec(keys)
        self._reset_tokens = ResetTokens(keys)

    def on_batch(
        self, service_id: ServiceId, batch: Sequence[AddressedDatagram]
    ) -> None:
        """Forward packets from callers to agents, answer with a reset, or drop them.

        The forwarded packets are sent together, after the whole batch is routed.
        """
        write_raw = self._envelope_codec.write_raw
        frames: list[AddressedDatagram] = []
        for datagram, client in batch:
            decision = self._decide(service_id, datagram)
            if isinstance(decision, Forward):
                header = write_raw(_FORWARD, service_id, client)
                frames.append((header + datagram, decision.agent.sockaddr))
            elif isinstance(decision, Reset):
                self._send_reset(service_id, datagram, client)
            else:
                self._drop(decision.reason, client)
        self._forwarded += len(frames)
        self._inner.send_all(frames)

    def on_frame(self, frame: bytes, source: tuple[str, int]) -> None:
        """Queue an agent's packet for its caller, or forward a peer's opening.

        A peer is another balancer.
        """
        if frame[:1] == _FORWARD_BYTE:
            self._on_peer_opening(frame, source)
            return
        destination = self._envelope_codec.read_answer(frame)
        if destination is None:
            self._drop(DropReason.UNAUTHENTICATED, source)
            return
        service_id, client = destination
        entry = self._entries.get(ServiceId(service_id))
        if entry is None:
            self._drop(DropReason.WRONG_SERVICE, source)
            return
        self._outgoing.append((entry, frame[ENVELOPE_BYTES:], client))

    def flush(self) -> None:
        """Send the packets to callers that the last batch of frames queued."""
        self._answered += len(self._outgoing)
        for entry, datagram, client in self._outgoing:
            entry.send(datagram, client)
        self._outgoing.clear()

    def on_refused(self, frame: bytes, peer: Endpoint, now: Millis) -> None:
        """Handle the refusal of a forwarded packet: the port of its agent is closed.

        If the packet belongs to an established flow, the flow is lost and its caller
        receives a reset. An opening needs no action: the caller retransmits it soon,
        and it is then routed to another agent.

        Parameters
        ----------
        frame : bytes
            The frame that this balancer sent, as returned by the agent's host.
        peer : Endpoint
            The agent to which it was sent.
        now : Millis
            The current time.
        """
        envelope = self._envelope_codec.read(frame)
        if envelope is None or envelope.kind is not FrameKind.FORWARD:
            return
        self._core.mark_unreachable(peer, now)
        datagram = frame[ENVELOPE_BYTES:]
        tag = read_connection_id(datagram)
        if tag is not None and self._tag_codec.open_route(tag) is not None:
            self._send_reset(envelope.service_id, datagram, envelope.client.sockaddr)

    def _on_peer_opening(self, frame: bytes, source: tuple[str, int]) -> None:
        envelope = self._envelope_codec.read(frame)
        if envelope is None:
            self._drop(DropReason.UNAUTHENTICATED, source)
            return
        datagram = frame[ENVELOPE_BYTES:]
        connection_id = read_connection_id(datagram)
        if connection_id is None or not is_opening(datagram, connection_id):
            self._drop(DropReason.MALFORMED, source)
            return
        decision = self._core.route_opening(envelope.service_id, connection_id, hops=1)
        if not isinstance(decision, Forward):
            self._drop(DropReason.NO_AGENT, source)
            return
        self._peer_openings += 1
        readdressed = replace(envelope, balancer=Endpoint(*source))
        header = self._envelope_codec.write(readdressed)
        self._inner.send(header + datagram, decision.agent.sockaddr)

    def _send_reset(
        self, service_id: ServiceId, datagram: bytes, client: tuple[str, int]
    ) -> None:
        tag = read_connection_id(datagram)
        if tag is not None:
            self._reset_count += 1
            self._entries[service_id].send(
                self._reset_tokens.make_datagram(tag), client
            )

    def _drop(self, reason: DropReason, source: tuple[str, int]) -> None:
        self._drops[reason] += 1
        peer = f"{source[0]}:{source[1]}"
        self._log.rate_limited_warning(
            f"packet dropped: {reason.value}", step=Step.FORWARD, peer=peer
        )

    def _decide(self, service_id: ServiceId, datagram: bytes) -> BalancerDecision:
        connection_id = read_connection_id(datagram)
        if connection_id is None:
            return DROP_MALFORMED
        route = self._tag_codec.open_route(connection_id)
        if route is None and is_opening(datagram, connection_id):
            return self._core.route_opening(service_id, connection_id)
        return self._core.route_tagged(service_id, route)


_FORWARD = int(FrameKind.FORWARD)
_FORWARD_BYTE = bytes((_FORWARD,))
