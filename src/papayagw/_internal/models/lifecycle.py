"""What happens to a flow at the agent that owns it, and what the agent does.

The bytes stay with the shell: events and actions carry counts.
"""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.models.flow import FlowOutcome


class FlowState(Enum):
    """Where a flow stands; the last four are final."""

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
    """The caller completed the handshake with this agent and no other."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """Admission control let the flow through."""


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """Admission control turned the flow away."""


@dataclass(frozen=True, slots=True)
class CallerSent:
    """Bytes came from the caller, in order.

    Attributes
    ----------
    count : int
        How many.
    """

    count: int


@dataclass(frozen=True, slots=True)
class CallerFinished:
    """The caller will send no more."""


@dataclass(frozen=True, slots=True)
class CallerCancelled:
    """The caller reset its stream or closed the flow before its answer's end."""


@dataclass(frozen=True, slots=True)
class AnswerAcknowledged:
    """The caller has the whole answer, its end included."""


@dataclass(frozen=True, slots=True)
class BackendConnected:
    """The connection to the backend server stands.

    Attributes
    ----------
    attempt : int
        The attempt that it belongs to.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class BackendConnectFailed:
    """The connection to the backend server wasn't made.

    Attributes
    ----------
    attempt : int
        The attempt that failed.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class BackendWrote:
    """The socket of the backend server took bytes that were handed to it.

    Attributes
    ----------
    attempt : int
        The attempt that made the connection.
    count : int
        How many.
    """

    attempt: int
    count: int


@dataclass(frozen=True, slots=True)
class BackendSent:
    """Bytes came from the backend server.

    Attributes
    ----------
    attempt : int
        The attempt that made the connection.
    count : int
        How many.
    """

    attempt: int
    count: int


@dataclass(frozen=True, slots=True)
class BackendClosed:
    """The backend server will send no more.

    Attributes
    ----------
    attempt : int
        The attempt that made the connection.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class BackendConnectionLost:
    """The connection to the backend server was reset or timed out.

    Attributes
    ----------
    attempt : int
        The attempt that made the connection.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The caller's deadline has passed."""


@dataclass(frozen=True, slots=True)
class IdleTimedOut:
    """Nothing was heard from the caller for the idle timeout."""


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The agent drains: a flow without a backend connection goes elsewhere."""


@dataclass(frozen=True, slots=True)
class StopLimitReached:
    """The agent stops now, finished or not."""


@dataclass(frozen=True, slots=True)
class ConnectBackend:
    """Open a connection to the backend server.

    Attributes
    ----------
    attempt : int
        The number that events of this connection carry.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class DeliverToBackend:
    """Hand the next bytes of the caller to the backend server's socket.

    Attributes
    ----------
    count : int
        How many.
    """

    count: int


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Shut down the sending side of the backend server's socket."""


@dataclass(frozen=True, slots=True)
class CancelBackend:
    """Reset the backend server's connection, so that it stops its work."""


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send the next bytes of the backend server to the caller.

    Attributes
    ----------
    count : int
        How many.
    """

    count: int


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Send the end of the answer to the caller."""


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Close the flow with its outcome; the last action, after it comes release.

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
