"""Input and results of admission control at an agent."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from papayagw._internal.models.clock import Millis

FlowNumber = NewType("FlowNumber", int)
"""The number that an agent assigns to a flow; never reused within an incarnation."""


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Limits on the flows that an agent admits.

    Attributes
    ----------
    initial_limit : int
        The concurrency limit at startup; low, so that load rises gradually after a
        cold start.
    min_limit : int
        The lowest concurrency limit.
    max_limit : int
        The highest concurrency limit.
    max_flows : int
        The maximum number of open flows, including long-lived feeds.
    max_client_share : float
        The share of the concurrency limit that one client may use, 0 to 1.
    queue_limit : int
        The maximum number of queued openings.
    queue_timeout_ms : Millis
        The longest time in ms that an opening is queued.
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
    """A request to admit an accepted flow.

    Attributes
    ----------
    flow : FlowNumber
        The flow.
    client : str
        The client that opened the flow; admission is fair between clients.
    deadline : Millis or None
        The time after which the client no longer waits for the answer.
    """

    flow: FlowNumber
    client: str
    deadline: Millis | None = None


class AdmissionDecision(Enum):
    """The immediate decision on an admission request."""

    ADMIT = "admit"
    QUEUE = "queue"
    REFUSE = "refuse"


class ReleaseReason(Enum):
    """Why a flow no longer counts as work in progress."""

    ANSWERED = "answered"
    IDLE = "idle"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class AdmissionResults:
    """Decisions on queued openings.

    Attributes
    ----------
    admitted : tuple of FlowNumber
        The flows that are admitted.
    refused : tuple of FlowNumber
        The flows that are refused.
    """

    admitted: tuple[FlowNumber, ...] = ()
    refused: tuple[FlowNumber, ...] = ()
