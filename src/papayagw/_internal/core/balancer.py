"""What a balancer decides about a caller's packet.

A tagged packet goes where its tag says, whatever the balancer knows of the
fleet. Only an opening is a choice, and a wrong choice is harmless: nothing
reaches a backend server before the handshake is complete.
"""

from collections.abc import Sequence
from typing import Protocol

from papayagw._internal.core.choice import Chooser
from papayagw._internal.core.directory import Directory
from papayagw._internal.models.agent import AgentRecord
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.decision import (
    BalancerDecision,
    Drop,
    DropReason,
    Forward,
    Reset,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowRoute
from papayagw._internal.models.service import ServiceId

# One object each: the packet path makes none.
DROP_BAD_TAG = Drop(DropReason.BAD_TAG)
DROP_WRONG_SERVICE = Drop(DropReason.WRONG_SERVICE)
DROP_NO_AGENT = Drop(DropReason.NO_AGENT)
RESET = Reset()
DROP_MALFORMED = Drop(DropReason.MALFORMED)


UNREACHABLE_HOLD_OFF_MS = Millis(2_000)
"""How long an agent with a closed port gets no openings."""


class Peers(Protocol):
    """The other balancers, as far as this one needs them for openings."""

    @property
    def caught_up(self) -> bool:
        """Whether this balancer knows nearly all agents that its peers know."""

    @property
    def peers(self) -> tuple[Endpoint, ...]:
        """The inner endpoints of the other balancers."""


class BalancerCore:
    """Routing of callers' packets.

    Parameters
    ----------
    directory : Directory
        The agents that the balancer knows of.
    chooser : Chooser
        The policy for openings.
    peers : Peers
        The other balancers, which know agents that this one hasn't heard of yet.
    """

    def __init__(self, directory: Directory, chooser: Chooser, peers: Peers):
        self._directory = directory
        self._chooser = chooser
        self._peers = peers
        self._unreachable: dict[Endpoint, Millis] = {}

    def route_tagged(
        self, service_id: ServiceId, route: FlowRoute | None
    ) -> BalancerDecision:
        """Decide about a packet that isn't an opening.

        Parameters
        ----------
        service_id : ServiceId
            The service whose address the packet was sent to.
        route : FlowRoute or None
            What its tag says, or None if the tag failed its check.
        """
        if route is None:
            return DROP_BAD_TAG
        if route.service_id != service_id:
            return DROP_WRONG_SERVICE
        if self._directory.is_gone(route):
            return RESET
        return Forward(route.agent)

    def route_opening(
        self, service_id: ServiceId, connection_id: bytes, hops: int = 0
    ) -> BalancerDecision:
        """Choose an agent for an opening, or a peer that knows more agents.

        Parameters
        ----------
        service_id : ServiceId
            The service whose address the packet was sent to.
        connection_id : bytes
            The caller's random connection id, the same in each copy.
        hops : int
            How many balancers have passed it on: one at most.
        """
        candidates = self._find_candidates(service_id)
        is_last = hops > 0 or not self._peers.peers
        if not is_last and not (candidates and self._peers.caught_up):
            return Forward(self._pick_peer(connection_id))
        record = self._chooser.choose(connection_id, candidates)
        if record is None:
            return DROP_NO_AGENT
        return Forward(record.endpoint)

    def mark_unreachable(self, agent: Endpoint, now: Millis) -> None:
        """Note that an agent's host said that no process holds its port."""
        self._unreachable[agent] = now

    def expire_unreachable(self, now: Millis) -> None:
        """Choose agents again whose port was closed a while ago."""
        for agent, marked_at in tuple(self._unreachable.items()):
            if now - marked_at >= UNREACHABLE_HOLD_OFF_MS:
                del self._unreachable[agent]

    def _find_candidates(self, service_id: ServiceId) -> Sequence[AgentRecord]:
        ready = self._directory.find_ready(service_id)
        if not self._unreachable:
            return ready
        return [one for one in ready if one.endpoint not in self._unreachable]

    def _pick_peer(self, connection_id: bytes) -> Endpoint:
        # By the connection id, so that a retransmission meets the same peer.
        peers = self._peers.peers
        return peers[int.from_bytes(connection_id[:4], "big") % len(peers)]
