"""The balancer: a thin process that hands each packet on."""

from papayagw._internal.core.balancer import DROP_MALFORMED, BalancerCore
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.decision import BalancerDecision, DropReason, Forward
from papayagw._internal.models.service import ServiceId
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.wire.envelope import ENVELOPE_BYTES, EnvelopeCodec, FrameKind
from papayagw._internal.wire.header import is_opening, read_connection_id
from papayagw._internal.wire.tag import TagCodec


class BalancerPackets:
    """The balancer's packet path, in both directions.

    Parameters
    ----------
    core : BalancerCore
        The decisions.
    configuration : Configuration
        What is in force.
    inner : DatagramSocket
        The socket towards the agents.
    entries : dict of ServiceId to DatagramSocket
        The sockets that callers' packets come to.
    """

    def __init__(
        self,
        core: BalancerCore,
        configuration: Configuration,
        inner: DatagramSocket,
        entries: dict[ServiceId, DatagramSocket],
    ):
        self._core = core
        self._inner = inner
        self._entries = entries
        self._forwarded = 0
        self._answered = 0
        self._drops: dict[DropReason, int] = dict.fromkeys(DropReason, 0)
        self.apply(configuration)

    @property
    def forwarded(self) -> int:
        """How many packets went to agents."""
        return self._forwarded

    @property
    def answered(self) -> int:
        """How many packets went to callers."""
        return self._answered

    @property
    def drops(self) -> dict[DropReason, int]:
        """How many packets were dropped, by reason."""
        return self._drops

    def apply(self, configuration: Configuration) -> None:
        """Use the keys of a configuration for whatever comes from now on."""
        self._tags = TagCodec(configuration.site.keys)
        self._envelopes = EnvelopeCodec(configuration.site.keys)

    def on_datagram(
        self, service_id: ServiceId, datagram: bytes, client: tuple[str, int]
    ) -> None:
        """Hand a caller's packet to an agent, or drop it."""
        decision = self._decide(service_id, datagram)
        if not isinstance(decision, Forward):
            self._drops[decision.reason] += 1
            return
        self._forwarded += 1
        header = self._envelopes.write_raw(FrameKind.FORWARD, service_id, client)
        self._inner.send(header + datagram, decision.agent.sockaddr)

    def on_frame(self, frame: bytes) -> None:
        """Hand an agent's answer to its caller, or drop it."""
        answer = self._envelopes.read_answer(frame)
        if answer is None:
            self._drops[DropReason.UNAUTHENTICATED] += 1
            return
        service_id, client = answer
        entry = self._entries.get(ServiceId(service_id))
        if entry is None:
            self._drops[DropReason.WRONG_SERVICE] += 1
            return
        self._answered += 1
        entry.send(frame[ENVELOPE_BYTES:], client)

    def _decide(self, service_id: ServiceId, datagram: bytes) -> BalancerDecision:
        connection_id = read_connection_id(datagram)
        if connection_id is None:
            return DROP_MALFORMED
        route = self._tags.open_route(connection_id)
        if route is None and is_opening(datagram, connection_id):
            return self._core.route_opening(service_id, connection_id)
        return self._core.route_tagged(service_id, route)
