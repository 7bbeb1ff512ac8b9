"""Decisions of an agent on the packets that balancers and other agents send it."""

from papayagw._internal.core.choice import Chooser
from papayagw._internal.core.directory import Directory
from papayagw._internal.models.agent import AgentState
from papayagw._internal.models.decision import (
    Accept,
    AgentDecision,
    Drop,
    DropReason,
    Forward,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowRoute
from papayagw._internal.models.service import ServiceId

MAX_HOPS = 2
"""Maximum number of times that agents forward one opening."""

ACCEPT = Accept()


class AgentCore:
    """Decides which openings an agent accepts and which packets belong to it.

    Parameters
    ----------
    route : FlowRoute
        Service, endpoint and incarnation of this agent.
    siblings : Directory
        Other agents known to this one.
    chooser : Chooser
        Policy that selects the sibling for a forwarded opening.
    max_flows : int
        Maximum number of open flows.
    """

    def __init__(
        self, route: FlowRoute, siblings: Directory, chooser: Chooser, max_flows: int
    ):
        self._route = route
        self._siblings = siblings
        self._chooser = chooser
        self._max_flows = max_flows
        self._state = AgentState.READY

    @property
    def state(self) -> AgentState:
        """Whether this agent accepts openings."""
        return self._state

    @property
    def route(self) -> FlowRoute:
        """Service, endpoint and incarnation of this agent."""
        return self._route

    def set_max_flows(self, max_flows: int) -> None:
        """Set the maximum number of open flows."""
        self._max_flows = max_flows

    def drain(self) -> None:
        """Stop accepting openings."""
        self._state = AgentState.DRAINING

    def decide_opening(
        self,
        service_id: ServiceId,
        connection_id: bytes,
        flows: int,
        hops: int,
        reachable: bool = True,
    ) -> AgentDecision:
        """Accept, forward or drop an opening.

        Parameters
        ----------
        service_id : ServiceId
            Service that the caller addressed.
        connection_id : bytes
            Random connection id chosen by the caller.
        flows : int
            Number of open flows of this agent.
        hops : int
            Number of agents that have already forwarded the opening.
        reachable : bool
            Whether the backend server is believed to be reachable. If not, the
            opening is accepted only if no sibling can accept it.
        """
        is_own_service = service_id == self._route.service_id
        can_accept = (
            is_own_service
            and self._state is AgentState.READY
            and flows < self._max_flows
        )
        if can_accept and (reachable or hops >= MAX_HOPS):
            return ACCEPT
        if hops >= MAX_HOPS:
            return Drop(DropReason.TOO_MANY_HOPS)
        sibling = self._pick_sibling(service_id, connection_id)
        if sibling is not None:
            return Forward(sibling)
        if can_accept:
            return ACCEPT
        return Drop(
            DropReason.OVERLOADED if is_own_service else DropReason.WRONG_SERVICE
        )

    def check_tagged(
        self, service_id: ServiceId, route: FlowRoute | None
    ) -> DropReason | None:
        """Return why a tagged packet isn't for this agent, or None if it is."""
        if route is None:
            return DropReason.BAD_TAG
        if route.service_id != service_id or service_id != self._route.service_id:
            return DropReason.WRONG_SERVICE
        if route != self._route:
            return DropReason.STALE_INCARNATION
        return None

    def _pick_sibling(
        self, service_id: ServiceId, connection_id: bytes
    ) -> Endpoint | None:
        """Return a ready sibling agent of the service, or None if there is none."""
        others = [
            record
            for record in self._siblings.find_ready(service_id)
            if record.endpoint != self._route.agent
        ]
        sibling = self._chooser.choose(connection_id, others)
        return None if sibling is None else sibling.endpoint
