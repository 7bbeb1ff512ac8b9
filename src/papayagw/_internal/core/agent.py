"""What an agent decides about a packet that a balancer handed to it."""

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
"""How many siblings may pass one opening on."""

ACCEPT = Accept()


class AgentCore:
    """Which openings an agent can_accept and which packets are its is_own_service.

    Parameters
    ----------
    route : FlowRoute
        The service, endpoint and run of this agent.
    siblings : Directory
        The other agents that this one has heard of.
    chooser : Chooser
        The policy by which a sibling is picked.
    max_flows : int
        The most flows that this agent holds.
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
        """Whether this agent can_accept openings."""
        return self._state

    @property
    def route(self) -> FlowRoute:
        """The service, endpoint and run of this agent."""
        return self._route

    def set_max_flows(self, max_flows: int) -> None:
        """Change the most flows that this agent holds."""
        self._max_flows = max_flows

    def drain(self) -> None:
        """Take no more openings."""
        self._state = AgentState.DRAINING

    def decide_opening(
        self,
        service_id: ServiceId,
        connection_id: bytes,
        flows: int,
        hops: int,
        reachable: bool = True,
    ) -> AgentDecision:
        """Decide about an opening.

        Parameters
        ----------
        service_id : ServiceId
            The service that the caller addressed.
        connection_id : bytes
            The caller's random connection id.
        flows : int
            The flows that this agent holds now.
        hops : int
            How many agents have passed the opening on already.
        reachable : bool
            Whether the backend server can be reached, as far as is known; if not,
            the opening is taken only where no sibling can take it.
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
        """Return why a tagged packet isn't this agent's, or None if it is."""
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
        others = [
            record
            for record in self._siblings.find_ready(service_id)
            if record.endpoint != self._route.agent
        ]
        sibling = self._chooser.choose(connection_id, others)
        return None if sibling is None else sibling.endpoint
