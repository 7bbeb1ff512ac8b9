"""Routing decisions of a balancer on packets from callers.

A tagged packet is forwarded to the agent in its tag, regardless of what the
balancer knows about the fleet. The balancer selects an agent only for an opening,
where a wrong selection does no harm: nothing reaches a backend server before the
handshake is complete.
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

# Preallocated: the packet path creates no decision objects for these cases.
DROP_BAD_TAG = Drop(DropReason.BAD_TAG)
DROP_WRONG_SERVICE = Drop(DropReason.WRONG_SERVICE)
DROP_NO_AGENT = Drop(DropReason.NO_AGENT)
RESET = Reset()
DROP_MALFORMED = Drop(DropReason.MALFORMED)


UNREACHABLE_HOLD_OFF_MS = Millis(2_000)
"""Time for which an agent with a closed port receives no openings."""


class Peers(Protocol):
    """What routing has to know about the other balancers."""

    @property
    def caught_up(self) -> bool:
        """Whether this balancer knows nearly all agents known to its peers."""

    @property
    def peers(self) -> tuple[Endpoint, ...]:
        """Inner endpoints of the other balancers."""


class BalancerCore:
    """Decides where to forward packets from callers.

    Parameters
    ----------
    directory : Directory
        Agents known to the balancer.
    chooser : Chooser
        Policy that selects the agent for an opening.
    peers : Peers
        Other balancers, which may know agents that are still unknown here.
    """

    def __init__(self, directory: Directory, chooser: Chooser, peers: Peers):
        self._directory = directory
        self._chooser = chooser
        self._peers = peers
        self._unreachable: dict[Endpoint, Millis] = {}

    def route_tagged(
        self, service_id: ServiceId, route: FlowRoute | None
    ) -> BalancerDecision:
        """Return the decision on a packet that isn't an opening.

        Parameters
        ----------
        service_id : ServiceId
            Service whose address the packet was sent to.
        route : FlowRoute or None
            Route in the tag, or None if the tag is invalid.
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
        """Select an agent for an opening, or a peer that knows more agents.

        Parameters
        ----------
        service_id : ServiceId
            Service whose address the packet was sent to.
        connection_id : bytes
            Random connection id chosen by the caller, the same in each
            retransmission.
        hops : int
            Number of balancers that have forwarded the opening, at most 1.
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
        """Record that the port of an agent is closed (ICMP port unreachable)."""
        self._unreachable[agent] = now

    def expire_unreachable(self, now: Millis) -> None:
        """Make agents eligible again after `UNREACHABLE_HOLD_OFF_MS`."""
        for agent, marked_at in tuple(self._unreachable.items()):
            if now - marked_at >= UNREACHABLE_HOLD_OFF_MS:
                del self._unreachable[agent]

    def _find_candidates(self, service_id: ServiceId) -> Sequence[AgentRecord]:
        """Return the ready agents of a service whose port isn't known to be closed."""
        ready = self._directory.find_ready(service_id)
        if not self._unreachable:
            return ready
        return [one for one in ready if one.endpoint not in self._unreachable]

    def _pick_peer(self, connection_id: bytes) -> Endpoint:
        """Return the balancer to which an opening is forwarded."""
        # Keyed by the connection id, so that retransmissions reach the same peer.
        peers = self._peers.peers
        return peers[int.from_bytes(connection_id[:4], "big") % len(peers)]
