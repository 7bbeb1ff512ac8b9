"""Protocol-independent events of the stream between a caller and an agent."""

from dataclasses import dataclass

from papayagw._internal.models.flow import FlowOutcome


@dataclass(frozen=True, slots=True)
class HandshakeDone:
    """The handshake is complete on both sides; bytes may be delivered from now on."""


@dataclass(frozen=True, slots=True)
class BytesArrived:
    """The peer sent bytes, in order and without gaps.

    Attributes
    ----------
    data : bytes
        The bytes; may be empty.
    finished : bool
        Whether the peer has finished sending.
    """

    data: bytes
    finished: bool


@dataclass(frozen=True, slots=True)
class FlowEnded:
    """The flow ended, by a close, a reset or a time-out.

    Attributes
    ----------
    outcome : FlowOutcome
        The outcome sent by the peer, or UNKNOWN if it sent none.
    reason : str
        The reason, for logs.
    """

    outcome: FlowOutcome
    reason: str


StreamEvent = HandshakeDone | BytesArrived | FlowEnded
