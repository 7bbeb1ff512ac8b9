"""What balancers and agents may decide to do with a packet."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.endpoint import Endpoint


class DropReason(Enum):
    """Why a packet is dropped; drops are counted by reason."""

    MALFORMED = "malformed"
    BAD_TAG = "bad-tag"
    WRONG_SERVICE = "wrong-service"
    STALE_INCARNATION = "stale-incarnation"
    NO_AGENT = "no-agent"
    UNKNOWN_FLOW = "unknown-flow"
    UNAUTHENTICATED = "unauthenticated"
    TOO_MANY_HOPS = "too-many-hops"
    OVERLOADED = "overloaded"


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the packet to an agent, or an opening to another balancer.

    Attributes
    ----------
    agent : Endpoint
        The endpoint of the agent or balancer.
    """

    agent: Endpoint


@dataclass(frozen=True, slots=True)
class Accept:
    """Accept the opening at this agent."""


@dataclass(frozen=True, slots=True)
class Drop:
    """Drop the packet and count it.

    Attributes
    ----------
    reason : DropReason
        Why the packet is dropped.
    """

    reason: DropReason


@dataclass(frozen=True, slots=True)
class Reset:
    """Send the caller a stateless reset, since the agent of its flow is gone."""


BalancerDecision = Forward | Drop | Reset
AgentDecision = Accept | Forward | Drop
