"""Membership records of agents."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NewType

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import ServiceId

Incarnation = NewType("Incarnation", int)
"""Identifies one process of a node by its start, in ms since the Unix epoch.

After a restart, the incarnation at the same endpoint is higher.
"""

UNIT_WEIGHT = 64
"""The quantised weight of an instance of nominal capacity; 0 receives no openings."""

MAX_WEIGHT = 255
"""Maximum of the quantised weight, see `UNIT_WEIGHT`."""


class AgentState(IntEnum):
    """Whether an agent accepts openings; a higher state takes precedence."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class AgentRecord:
    """Membership record of an agent, which represents one backend server.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint that receives envelopes; identifies the agent together with
        `incarnation`.
    incarnation : Incarnation
        The incarnation of the agent's process.
    sequence : int
        Incremented with each change that the same incarnation announces.
    service_id : ServiceId
        The service that the backend server runs.
    zone : str
        The availability zone of the agent.
    state : AgentState
        Whether the agent accepts openings.
    weight : int
        The quantised capacity of the instance, 0 to `MAX_WEIGHT`.
    suspicion : int
        Incremented when the balancers that watch the agent suspect that it has
        failed and again when they withdraw that, counted since the last change.
        Odd while the agent is suspected.
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
        """Sort key by which the newer of two records of one endpoint is found."""
        return (self.incarnation, self.sequence, self.state, self.suspicion)

    @property
    def is_suspected(self) -> bool:
        """Whether the agent is suspected because its heartbeats are missing."""
        return self.suspicion % 2 == 1
