"""The identity of a flow and how it ended."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.agent import Incarnation
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import ServiceId


@dataclass(frozen=True, slots=True)
class FlowKey:
    """The identity of a flow as a balancer sees it without reading its tag.

    Attributes
    ----------
    service_id : ServiceId
        The service whose address the packet was sent to.
    client : Endpoint
        The caller's endpoint.
    """

    service_id: ServiceId
    client: Endpoint


@dataclass(frozen=True, slots=True)
class FlowRoute:
    """The part of a flow tag that all flows of an agent's incarnation share.

    Attributes
    ----------
    service_id : ServiceId
        The service of the flow.
    agent : Endpoint
        The agent that owns the flow.
    incarnation : int
        The low 16 bits of the agent's incarnation.
    """

    service_id: ServiceId
    agent: Endpoint
    incarnation: int

    @classmethod
    def of(
        cls, service_id: ServiceId, agent: Endpoint, incarnation: Incarnation
    ) -> "FlowRoute":
        """Return the route to an agent, with its incarnation cut to 16 bits."""
        return cls(service_id, agent, incarnation & INCARNATION_MASK)


INCARNATION_MASK = 0xFFFF
"""The bits of an incarnation that a flow tag carries."""


@dataclass(frozen=True, slots=True)
class FlowTag:
    """The tag that the accepting agent gives a flow as its connection id.

    The caller's packets carry it once the caller has learned it from the agent.

    Attributes
    ----------
    key_id : int
        The id of the fleet key that encrypts the tag.
    route : FlowRoute
        The service and agent to which packets of the flow are routed.
    nonce : bytes of shape (3,)
        Distinguishes flows of one route.
    """

    key_id: int
    route: FlowRoute
    nonce: bytes


class FlowOutcome(Enum):
    """The outcome of a flow, as reported to its caller.

    REFUSED is only reported if no byte reached a backend server.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
