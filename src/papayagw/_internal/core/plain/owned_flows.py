"""The flows of the backend server beside an agent."""

from collections.abc import Iterator

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket

MAX_FLOWS = 20_000
"""The most flows that are remembered: ten times what a backend server holds."""

ENDED_MS = Millis(5_000)
"""How long a flow that has ended is remembered, for packets that come late.

Longer than the sum of the clients' first four times between retransmissions.
"""

SEQUENCE_WINDOW = 1 << 22
"""How far a client's acknowledgement may be ahead of the accepting packet, in bytes.

More than a flow carries in its life, and a thousandth of the range from which each
backend server draws its first number at random.
"""

_MODULUS = 1 << 32


def is_ahead(position: int, start: int) -> bool:
    """Return whether `position` is at or a little after `start`, modulo 2**32."""
    return (position - start) % _MODULUS < SEQUENCE_WINDOW


class OwnedFlow:
    """One flow."""

    __slots__ = (
        "accepted_at",
        "acknowledged",
        "began_at",
        "busy_since",
        "client_end",
        "ended_at",
        "held",
        "is_open",
        "offered_at",
        "origin",
        "seen_at",
    )

    def __init__(self, origin: Endpoint | None, now: Millis):
        self.origin = origin
        self.began_at = now
        """When it was accepted, or first seen where that wasn't seen."""
        self.seen_at = now
        self.accepted_at: int | None = None
        """Sequence number of the accepting packet; None if it wasn't seen."""
        self.is_open = False
        """Whether the backend server has spoken on it after it accepted."""
        self.acknowledged = 0
        self.client_end: int | None = None
        self.busy_since: Millis | None = None
        self.offered_at: Millis | None = None
        self.held: FlowPacket | None = None
        self.ended_at: Millis | None = None

    def matches(self, acknowledged: int | None) -> bool:
        """Whether a client that acknowledges this talks to this backend server."""
        if self.accepted_at is None or acknowledged is None:
            return True
        return is_ahead(acknowledged, self.accepted_at)

    def advance(self, packet: FlowPacket) -> bool:
        """Note a client's packet; return whether it carries bytes not seen before."""
        if packet.acknowledged is not None:
            self.acknowledged = packet.acknowledged
        if not packet.payload_bytes or self.ended_at is not None:
            return False
        end = (packet.sequence + packet.payload_bytes) % _MODULUS
        return self._move_client_end(end)

    def note_received(self, packet: FlowPacket) -> None:
        """Note what the backend server's packet says that it has of the client."""
        if packet.acknowledged is not None:
            self._move_client_end(packet.acknowledged)

    def _move_client_end(self, end: int) -> bool:
        known = self.client_end
        if known is not None and not (end != known and is_ahead(end, known)):
            return False
        self.client_end = end
        return True


class OwnedFlows:
    """The flows of one backend server, by key."""

    def __init__(self) -> None:
        self._flows: dict[FlowKey, OwnedFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[tuple[FlowKey, OwnedFlow]]:
        return iter(list(self._flows.items()))

    def find(self, flow: FlowKey) -> OwnedFlow | None:
        """Return a flow, or None."""
        return self._flows.get(flow)

    def add(self, flow: FlowKey, origin: Endpoint | None, now: Millis) -> OwnedFlow:
        """Remember a flow anew."""
        if len(self._flows) >= MAX_FLOWS:
            del self._flows[next(iter(self._flows))]
        owned = self._flows[flow] = OwnedFlow(origin, now)
        return owned

    def drop(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self._flows.pop(flow, None)

    def sweep(self, now: Millis, idle_ms: Millis) -> list[OwnedFlow]:
        """Forget flows that ended or fell silent, and return them."""
        old = [
            (key, one)
            for key, one in self._flows.items()
            if now - one.seen_at > idle_ms
            or (one.ended_at is not None and now - one.ended_at > ENDED_MS)
        ]
        for key, _ in old:
            del self._flows[key]
        return [one for _, one in old]
