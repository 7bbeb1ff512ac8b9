"""What the core decides about a packet."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.endpoint import Endpoint


class DropReason(Enum):
    """Why a packet goes no further; each reason is counted."""

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
    """Send the packet to an agent.

    Attributes
    ----------
    agent : Endpoint
        The agent that takes it.
    """

    agent: Endpoint


@dataclass(frozen=True, slots=True)
class Accept:
    """Take the opening here."""


@dataclass(frozen=True, slots=True)
class Drop:
    """Drop the packet and count it.

    Attributes
    ----------
    reason : DropReason
        Why.
    """

    reason: DropReason


@dataclass(frozen=True, slots=True)
class Reset:
    """Tell the caller that its flow is over, since its agent is gone."""


BalancerDecision = Forward | Drop | Reset
AgentDecision = Accept | Forward | Drop
