"""All exceptions that papayagw raises or returns.

An exception carries the step that failed, the peer involved in that step, and a remedy
for the user.
"""

from enum import Enum

MALFORMED_JSON_ERRORS = (
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions that parsing JSON with an unexpected structure may raise."""


class Step(Enum):
    """The operation that failed, as shown in error messages and logs."""

    SETTINGS = "settings"
    START = "start"
    BIND = "bind"
    FORWARD = "forward"
    OPEN_FLOW = "open-flow"
    HANDSHAKE = "handshake"
    CONNECT_BACKEND = "connect-backend"
    DELIVER = "deliver"
    DECODE = "decode"
    PLATFORM = "platform"
    SUBMIT = "submit"
    STATUS = "status"
    REPORT = "report"
    CLOSE = "close"


class PapayagwError(Exception):
    """Base class of all papayagw exceptions.

    Parameters
    ----------
    what : str
        A description of the problem, as one clause.
    step : Step
        The step that failed.
    peer : str
        The peer of that step: an endpoint, a file or a service. Empty if there is
        none.
    remedy : str
        What the user should do next.
    """

    def __init__(self, what: str, *, step: Step, peer: str = "", remedy: str = ""):
        super().__init__(what)
        self.what = what
        self.step = step
        self.peer = peer
        self.remedy = remedy

    def __str__(self) -> str:
        at = f" (peer {self.peer})" if self.peer else ""
        then = f"; {self.remedy}" if self.remedy else ""
        return f"{self.step.value}: {self.what}{at}{then}"


class SettingsError(PapayagwError):
    """A settings file is missing or invalid."""


class BindError(PapayagwError):
    """A socket can't be bound to its endpoint."""

    @classmethod
    def from_os(cls, action: str, peer: str, error: OSError) -> "BindError":
        """Create the exception for an `action` that failed at the endpoint `peer`."""
        return cls(
            f"can't {action}: {error.strerror}",
            step=Step.BIND,
            peer=peer,
            remedy="choose an address of this machine that is not in use",
        )


class FlowRefusedError(PapayagwError):
    """The flow failed before any byte reached a backend server; a retry is safe."""


class FlowUnknownError(PapayagwError):
    """The flow broke after bytes may have reached a backend server."""


class DecodeError(PapayagwError):
    """A peer sent bytes that aren't a valid message."""


class PlatformError(PapayagwError):
    """The platform's service refused a request or sent an invalid response."""


class PlatformUnreachableError(PlatformError):
    """The platform's service sent no response; a write may have taken effect."""


class StatusError(PapayagwError):
    """A node answered a status query with no valid report, or not at all."""


class ReportError(PapayagwError):
    """No report can be created from the given records."""
