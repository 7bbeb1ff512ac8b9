"""The identity of a flow and how it ended."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.agent import Incarnation
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import ServiceId


@dataclass(frozen=True, slots=True)
class FlowKey:
    """What a balancer sees of a flow without reading its tag.

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
    """The part of a flow tag that is the same for all flows of an agent's run.

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
        """Return the route of an agent's run."""
        return cls(service_id, agent, incarnation & INCARNATION_MASK)


INCARNATION_MASK = 0xFFFF
"""The bits of an incarnation that a flow tag carries."""


@dataclass(frozen=True, slots=True)
class FlowTag:
    """What the agent that accepted a flow puts into each packet of it.

    Attributes
    ----------
    key_id : int
        The fleet key that seals the tag.
    route : FlowRoute
        Where packets of the flow go.
    nonce : bytes of shape (3,)
        Tells flows of one route apart.
    """

    key_id: int
    route: FlowRoute
    nonce: bytes


class FlowOutcome(Enum):
    """How a flow ended, as its caller is told.

    REFUSED is told only where no byte reached a backend server.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
