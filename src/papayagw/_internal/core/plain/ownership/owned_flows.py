"""Table of the flows of the agent's local backend server."""

from collections.abc import Iterator

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.packet import (
    MAX_COPY_AGE_MS,
    FlowKey,
    FlowPacket,
    PacketKind,
)

MAX_FLOWS = 20_000
"""Maximum number of tracked flows: ten times what a backend server holds."""

ENDED_FLOW_RETENTION_MS = Millis(5_000)
"""How long a flow that both ends have ended stays in the table, for late packets.

Longer than the sum of the clients' first four retransmission intervals.
"""

SEQUENCE_WINDOW = 1 << 22
"""How far a sequence number may be ahead of an earlier one of the same flow, in bytes.

More than a flow carries in total, and a thousandth of the range from which each
backend server draws its initial sequence number at random.
"""

_MODULUS = 1 << 32
"""Sequence numbers wrap around at this value."""


def is_in_window(position: int, start: int) -> bool:
    """Return whether `position` is in the window that begins at `start`.

    Sequence numbers wrap around at 2**32.
    """
    return (position - start) % _MODULUS < SEQUENCE_WINDOW


class OwnedFlow:
    """State of one flow of the local backend server.

    Attributes
    ----------
    balancer : Endpoint or None
        Balancer that sent the flow's latest packet; None if it isn't known.
    seen_at : Millis
        When the latest packet of either direction passed.
    acknowledged : int
        Latest acknowledgement number of the client, at which it accepts a reset.
    client_sequence_end : int or None
        Sequence number after the last known byte of the client.
    request_started_at : Millis or None
        Start of the request in progress; None if there is none.
    opening_sequence : int or None
        The client's sequence number in the opening; None if it wasn't seen.
    opening_sent_at : Millis or None
        When the opening was passed to the backend server; None once it is accepted.
    pending_opening : FlowPacket or None
        The opening that the backend server hasn't answered yet.
    ended_at : Millis or None
        When the flow was closed; None while it is open.
    is_client_done : bool
        Whether the client has ended its direction, or either end aborted the flow.
        Until then the backend server may hold a flow that it has closed itself.
    """

    __slots__ = (
        "accept_sequence",
        "acknowledged",
        "backend_sequence",
        "began_at",
        "request_started_at",
        "client_sequence_end",
        "ended_at",
        "is_client_done",
        "pending_opening",
        "is_established",
        "opening_sequence",
        "opening_sent_at",
        "balancer",
        "seen_at",
    )

    def __init__(self, balancer: Endpoint | None, now: Millis):
        self.balancer = balancer
        self.began_at = now
        """Time of the accept packet, or of the first packet if that wasn't seen."""
        self.seen_at = now
        self.accept_sequence: int | None = None
        """Sequence number of the accept packet; None if it wasn't seen."""
        self.backend_sequence: int | None = None
        """Sequence number of the backend server's first packet after the accept packet.

        None if there was none. A flow that was adopted has no other.
        """
        self.is_established = False
        """Whether the backend server sent a packet after the accept packet."""
        self.acknowledged = 0
        self.client_sequence_end: int | None = None
        self.request_started_at: Millis | None = None
        self.opening_sequence: int | None = None
        self.opening_sent_at: Millis | None = None
        self.pending_opening: FlowPacket | None = None
        self.ended_at: Millis | None = None
        self.is_client_done = False

    def is_copy(self, opening: FlowPacket, now: Millis) -> bool:
        """Whether an opening is a copy of this flow's.

        Any other begins a new flow, for which the client uses its port again.
        """
        return (
            self.ended_at is None
            and self.opening_sequence in (None, opening.sequence)
            and now - self.began_at <= MAX_COPY_AGE_MS
        )

    def is_lost_by(self, returned: FlowPacket) -> bool:
        """Whether a packet that the backend server returned shows it has lost the flow.

        A packet that doesn't belong to the flow, or that comes after its end, may be of
        another flow from the same port.
        """
        return (
            self.is_established
            and self.ended_at is None
            and self.matches(returned.acknowledged)
        )

    def matches(self, acknowledged: int | None) -> bool:
        """Whether an acknowledgement fits this backend server's sequence numbers.

        Also True if either number isn't known.
        """
        if acknowledged is None:
            return True
        if self.accept_sequence is not None:
            return is_in_window(acknowledged, self.accept_sequence)
        known = self.backend_sequence
        return (
            known is None
            or is_in_window(acknowledged, known)
            or is_in_window(known, acknowledged)
        )

    def record_client_packet(self, packet: FlowPacket) -> bool:
        """Record a client's packet; return whether it carries new bytes."""
        self.is_client_done |= packet.kind.is_closing
        if packet.acknowledged is not None:
            self.acknowledged = packet.acknowledged
        if not packet.payload_bytes or self.ended_at is not None:
            return False
        end = (packet.sequence + packet.payload_bytes) % _MODULUS
        return self._advance_client_sequence(end)

    def record_backend_packet(self, packet: FlowPacket) -> None:
        """Record a backend server's packet: its sequence numbers, and an abort."""
        self.is_client_done |= packet.kind is PacketKind.ABORT
        if self.backend_sequence is None:
            self.backend_sequence = packet.sequence
        if packet.acknowledged is not None:
            self._advance_client_sequence(packet.acknowledged)

    def _advance_client_sequence(self, end: int) -> bool:
        """Set `client_sequence_end` to `end`; return False if `end` isn't beyond it."""
        known = self.client_sequence_end
        if known is not None and not (end != known and is_in_window(end, known)):
            return False
        self.client_sequence_end = end
        return True


class OwnedFlows:
    """Table of the flows of the local backend server, by flow key."""

    def __init__(self) -> None:
        self._flows: dict[FlowKey, OwnedFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[tuple[FlowKey, OwnedFlow]]:
        return iter(list(self._flows.items()))

    def find(self, flow: FlowKey) -> OwnedFlow | None:
        """Return a flow, or None if it isn't tracked."""
        return self._flows.get(flow)

    def add(self, flow: FlowKey, balancer: Endpoint | None, now: Millis) -> OwnedFlow:
        """Add a flow, evicting the oldest entry if the table is full."""
        if len(self._flows) >= MAX_FLOWS:
            del self._flows[next(iter(self._flows))]
        owned = self._flows[flow] = OwnedFlow(balancer, now)
        return owned

    def drop(self, flow: FlowKey) -> None:
        """Remove a flow from the table, if present."""
        self._flows.pop(flow, None)

    def sweep(self, now: Millis, idle_ms: Millis) -> list[OwnedFlow]:
        """Remove and return flows that have been idle for `idle_ms` or have ended.

        Flows that both ends have ended are kept for `ENDED_FLOW_RETENTION_MS` after
        their last packet.
        """
        expired = [
            (key, owned)
            for key, owned in self._flows.items()
            if now - owned.seen_at > idle_ms
            or (
                owned.ended_at is not None
                and owned.is_client_done
                and now - owned.seen_at > ENDED_FLOW_RETENTION_MS
            )
        ]
        for key, _ in expired:
            del self._flows[key]
        return [owned for _, owned in expired]
