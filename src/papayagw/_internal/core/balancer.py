"""What a balancer decides about a caller's packet.

A tagged packet goes where its tag says, whatever the balancer knows of the
fleet. Only an opening is a choice, and a wrong choice is harmless: nothing
reaches a backend server before the handshake is complete.
"""

from papayagw._internal.core.choice import Chooser
from papayagw._internal.core.directory import Directory
from papayagw._internal.models.decision import (
    BalancerDecision,
    Drop,
    DropReason,
    Forward,
)
from papayagw._internal.models.flow import FlowRoute
from papayagw._internal.models.service import ServiceId

# One object each: the packet path makes none.
DROP_BAD_TAG = Drop(DropReason.BAD_TAG)
DROP_WRONG_SERVICE = Drop(DropReason.WRONG_SERVICE)
DROP_NO_AGENT = Drop(DropReason.NO_AGENT)
DROP_MALFORMED = Drop(DropReason.MALFORMED)


class BalancerCore:
    """Routing of callers' packets.

    Parameters
    ----------
    directory : Directory
        The agents that the balancer knows of.
    chooser : Chooser
        The policy for openings.
    """

    def __init__(self, directory: Directory, chooser: Chooser):
        self._directory = directory
        self._chooser = chooser
        self._forwards: dict[FlowRoute, Forward] = {}

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
        forward = self._forwards.get(route)
        if forward is None:
            forward = self._forwards[route] = Forward(route.agent)
        return forward

    def route_opening(
        self, service_id: ServiceId, connection_id: bytes
    ) -> BalancerDecision:
        """Choose an agent for an opening.

        Parameters
        ----------
        service_id : ServiceId
            The service whose address the packet was sent to.
        connection_id : bytes
            The caller's random connection id, the same in each copy.
        """
        candidates = self._directory.find_ready(service_id)
        record = self._chooser.choose(connection_id, candidates)
        if record is None:
            return DROP_NO_AGENT
        return Forward(record.endpoint)
