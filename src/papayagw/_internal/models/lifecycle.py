"""Events and actions of the state machine of a flow at the agent that owns it.

The payload bytes stay in the I/O layer: events and actions only carry byte counts.
"""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.flow import FlowOutcome


class FlowState(Enum):
    """The state of a flow; the last four are final."""

    OPENING = "opening"
    ACCEPTED = "accepted"
    CONNECTING = "connecting"
    DELIVERING = "delivering"
    FINISHING = "finishing"
    ANSWERED = "answered"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class HandshakeCompleted:
    """The caller completed the handshake, and did so with this agent only."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """Admission control admitted the flow."""


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """Admission control refused the flow."""


@dataclass(frozen=True, slots=True)
class CallerSent:
    """Bytes arrived from the caller, in order.

    Attributes
    ----------
    count : int
        The number of bytes.
    """

    count: int


@dataclass(frozen=True, slots=True)
class CallerFinished:
    """The caller finished its request and sends no more bytes."""


@dataclass(frozen=True, slots=True)
class CallerCancelled:
    """The caller reset its stream or closed the flow before the end of the answer."""


@dataclass(frozen=True, slots=True)
class AnswerAcknowledged:
    """The caller acknowledged the complete answer, including its end."""


@dataclass(frozen=True, slots=True)
class BackendConnected:
    """The connection to the backend server was established.

    Attributes
    ----------
    attempt : int
        The number of the connection attempt.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class BackendConnectFailed:
    """The connection to the backend server could not be established.

    Attributes
    ----------
    attempt : int
        The number of the failed connection attempt.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class BackendWrote:
    """The backend server's socket accepted bytes that were written to it.

    Attributes
    ----------
    attempt : int
        The number of the connection attempt that established the connection.
    count : int
        The number of bytes.
    """

    attempt: int
    count: int


@dataclass(frozen=True, slots=True)
class BackendSent:
    """Bytes arrived from the backend server.

    Attributes
    ----------
    attempt : int
        The number of the connection attempt that established the connection.
    count : int
        The number of bytes.
    """

    attempt: int
    count: int


@dataclass(frozen=True, slots=True)
class BackendClosed:
    """The backend server closed its sending side.

    Attributes
    ----------
    attempt : int
        The number of the connection attempt that established the connection.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class BackendConnectionLost:
    """The connection to the backend server was reset or timed out.

    Attributes
    ----------
    attempt : int
        The number of the connection attempt that established the connection.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The caller's deadline expired."""


@dataclass(frozen=True, slots=True)
class IdleTimedOut:
    """No packet arrived from the caller within the idle timeout."""


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The agent started to drain.

    A flow without a backend connection is refused, so that it moves to another agent.
    """


@dataclass(frozen=True, slots=True)
class StopLimitReached:
    """The time for a graceful stop is over: open flows are cut."""


@dataclass(frozen=True, slots=True)
class ConnectBackend:
    """Open a connection to the backend server.

    Attributes
    ----------
    attempt : int
        The number of the attempt, which events of the connection carry.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class DeliverToBackend:
    """Write the next bytes of the caller to the backend server's socket.

    Attributes
    ----------
    count : int
        The number of bytes.
    """

    count: int


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Shut down the sending side of the backend server's socket."""


@dataclass(frozen=True, slots=True)
class CancelBackend:
    """Reset the connection to the backend server, so that it stops processing."""


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send the next bytes of the backend server to the caller.

    Attributes
    ----------
    count : int
        The number of bytes.
    """

    count: int


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Send the end of the answer to the caller."""


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Close the flow and send its outcome to the caller.

    This is the last action of a flow; its resources are released afterwards.

    Attributes
    ----------
    outcome : FlowOutcome
        How the flow ended.
    """

    outcome: FlowOutcome


FlowEvent = (
    HandshakeCompleted
    | Admitted
    | AdmissionRefused
    | CallerSent
    | CallerFinished
    | CallerCancelled
    | AnswerAcknowledged
    | BackendConnected
    | BackendConnectFailed
    | BackendWrote
    | BackendSent
    | BackendClosed
    | BackendConnectionLost
    | DeadlineReached
    | IdleTimedOut
    | DrainStarted
    | StopLimitReached
)
FlowAction = (
    ConnectBackend
    | DeliverToBackend
    | FinishRequest
    | CancelBackend
    | SendToCaller
    | FinishAnswer
    | CloseFlow
)
FlowActions = tuple[FlowAction, ...]
