"""What admission control at an agent takes in and decides."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from papayagw._internal.models.clock import Millis

FlowNumber = NewType("FlowNumber", int)
"""The number that an agent gives to a flow; never reused within one run."""


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Bounds of the work that an agent lets through.

    Attributes
    ----------
    initial_limit : int
        The concurrency limit at the start, low so that a cold start is eased in.
    min_limit : int
        The lowest concurrency limit.
    max_limit : int
        The highest concurrency limit.
    max_flows : int
        The most flows held at once, feeds included.
    max_client_share : float
        The share of the limit that one client may use, 0 to 1.
    queue_limit : int
        The most openings that wait.
    queue_timeout_ms : Millis
        The longest that an opening waits.
    """

    initial_limit: int = 64
    min_limit: int = 8
    max_limit: int = 1_000
    max_flows: int = 2_000
    max_client_share: float = 0.75
    queue_limit: int = 1_000
    queue_timeout_ms: Millis = Millis(1_000)


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """An accepted flow that asks to be let through.

    Attributes
    ----------
    flow : FlowNumber
        The flow.
    client : str
        Whose flow it is; fairness is between clients.
    deadline : Millis or None
        After this time nobody waits for the answer.
    """

    flow: FlowNumber
    client: str
    deadline: Millis | None = None


class AdmissionDecision(Enum):
    """What is done with an admission request at once."""

    ADMIT = "admit"
    QUEUE = "queue"
    REFUSE = "refuse"


class ReleaseReason(Enum):
    """Why a flow no longer counts against the concurrency limit."""

    ANSWERED = "answered"
    IDLE = "idle"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class AdmissionResults:
    """What became of openings that were waiting.

    Attributes
    ----------
    admitted : tuple of FlowNumber
        Let through now.
    refused : tuple of FlowNumber
        Turned away now.
    """

    admitted: tuple[FlowNumber, ...] = ()
    refused: tuple[FlowNumber, ...] = ()
