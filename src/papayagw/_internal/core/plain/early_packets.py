"""Clients' packets that reach a balancer before it knows routes and agents."""

from collections import deque

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import FlowPacket

MAX_EARLY_PACKETS = 1_024
"""Maximum number of held packets; beyond it the oldest is dropped."""

MAX_EARLY_AGE_MS = Millis(1_000)
"""Age above which a held packet is dropped.

By then the client has sent the packet again or is about to give up.
"""


class EarlyPackets:
    """Holds packets until the balancer can route them.

    After a loss of power clients send to balancers that are still starting. A held
    packet spares its client the wait until it sends the packet again.
    """

    def __init__(self) -> None:
        self._packets: deque[tuple[Millis, FlowPacket]] = deque(
            maxlen=MAX_EARLY_PACKETS
        )

    def hold(self, packet: FlowPacket, now: Millis) -> None:
        """Hold a packet."""
        self._packets.append((now, packet))

    def take(self, now: Millis) -> list[tuple[Millis, FlowPacket]]:
        """Return the recent packets with their times of arrival, and stop holding."""
        packets = [held for held in self._packets if now - held[0] <= MAX_EARLY_AGE_MS]
        self._packets.clear()
        return packets
