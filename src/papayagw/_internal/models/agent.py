"""What the balancers and sibling agents know of an agent."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NewType

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import ServiceId

Incarnation = NewType("Incarnation", int)
"""One run of an agent: its start in ms since 1970; a later run is higher."""

UNIT_WEIGHT = 64
"""The quantised weight of an instance of ordinary strength; 0 takes no openings."""

MAX_WEIGHT = 255


class AgentState(IntEnum):
    """Whether an agent takes openings; a later state outranks an earlier one."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class AgentRecord:
    """An announcement of an agent, which speaks for one backend server.

    Attributes
    ----------
    endpoint : Endpoint
        Where the agent takes envelopes; its identity together with `incarnation`.
    incarnation : Incarnation
        The run of the agent.
    sequence : int
        Rises with each change that one incarnation announces.
    service_id : ServiceId
        The service that its backend server runs.
    zone : str
        Its availability zone.
    state : AgentState
        Whether it takes openings.
    weight : int
        Its strength, quantised, 0 to `MAX_WEIGHT`.
    suspicion : int
        How often its watchers suspected it dead and took that back since its last
        change: odd while it is under suspicion.
    """

    endpoint: Endpoint
    incarnation: Incarnation
    sequence: int
    service_id: ServiceId
    zone: str
    state: AgentState = AgentState.READY
    weight: int = UNIT_WEIGHT
    suspicion: int = 0

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """What decides which of two records of one endpoint is the newer."""
        return (self.incarnation, self.sequence, self.state, self.suspicion)

    @property
    def is_suspected(self) -> bool:
        """Whether its watchers miss its heartbeats."""
        return self.suspicion % 2 == 1
