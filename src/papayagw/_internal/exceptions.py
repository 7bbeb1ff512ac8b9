"""Every error that papayagw raises or returns.

An error carries the step at which it arose, the peer that the step was dealing
with, and the remedy: what the reader should do next.
"""

from enum import Enum

MALFORMED_JSON_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)
"""What reading the fields of JSON that has another form than expected may raise."""


class Step(Enum):
    """The step at which an error arose."""

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
    """Base class of all errors of papayagw.

    Parameters
    ----------
    what : str
        What went wrong, as one clause.
    step : Step
        The step at which it arose.
    peer : str
        The peer of that step: an endpoint, a file or a service. Empty when there
        is none.
    remedy : str
        What to do next.
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
    """A settings file that can't be used."""


class BindError(PapayagwError):
    """A socket that can't be bound to its endpoint."""

    @classmethod
    def from_os(cls, action: str, peer: str, error: OSError) -> "BindError":
        """Return the error for an endpoint at which `action` failed."""
        return cls(
            f"can't {action}: {error.strerror}",
            step=Step.BIND,
            peer=peer,
            remedy="choose an address of this machine that no process uses",
        )


class FlowRefusedError(PapayagwError):
    """A flow of which no byte reached a backend server; opening again is safe."""


class FlowUnknownError(PapayagwError):
    """A flow that broke after bytes may have reached a backend server."""


class DecodeError(PapayagwError):
    """Bytes from a peer that aren't a valid message."""


class PlatformError(PapayagwError):
    """The platform's service refused a call or gave no usable answer."""


class PlatformUnreachableError(PlatformError):
    """The platform's service gave no answer; a write may have taken effect."""


class StatusError(PapayagwError):
    """A node that gave no usable account of itself."""


class ReportError(PapayagwError):
    """Records from which no report can be made."""
