"""What happens on the caller's side of a flow, in terms of no protocol."""

from dataclasses import dataclass

from papayagw._internal.models.flow import FlowOutcome


@dataclass(frozen=True, slots=True)
class HandshakeDone:
    """Both ends hold the flow's keys; bytes may be delivered from now on."""


@dataclass(frozen=True, slots=True)
class BytesArrived:
    """The peer sent bytes, in order and without gaps.

    Attributes
    ----------
    data : bytes
        The bytes; may be empty.
    finished : bool
        Whether the peer sends no more.
    """

    data: bytes
    finished: bool


@dataclass(frozen=True, slots=True)
class FlowEnded:
    """The flow is over.

    Attributes
    ----------
    outcome : FlowOutcome
        What the peer told, or UNKNOWN if it told nothing.
    reason : str
        A word for the logs.
    """

    outcome: FlowOutcome
    reason: str


StreamEvent = HandshakeDone | BytesArrived | FlowEnded
