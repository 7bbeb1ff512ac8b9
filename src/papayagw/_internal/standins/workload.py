"""Protocol, settings and journal of the stand-in for a backend server.

A request is a line of words separated by spaces. ``ORDER id`` and ``CHECK id`` are
answered after the service time; ``FEED id count interval_ms`` is answered by `count`
lines at that interval; ``UPLOAD id bytes`` is followed by that many bytes, and
``ECHO id count`` by that many lines, each of which is echoed. The other verbs, such as
``RUNS`` and ``DRAIN``, inspect and control the stand-in and are used by tests.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from papayagw._internal.models.clock import Millis

DEFAULT_SERVICE_MS = Millis(2)
"""Default service time of one request at speed 1."""

DEFAULT_MAX_CONNECTIONS = 2_000
"""Default limit of open connections to one backend server."""

MAX_UPLOAD_BYTES = 1 << 30


class Verb(Enum):
    """Verb, the first word of a request line.

    RUNS returns the journal and HEALTH the state and load. DRAIN rejects new requests,
    SHED starts or stops doing so, STALL adds a delay to requests, and LIE sets the
    load that HEALTH reports.
    """

    ORDER = "ORDER"
    CHECK = "CHECK"
    FEED = "FEED"
    UPLOAD = "UPLOAD"
    ECHO = "ECHO"
    RUNS = "RUNS"
    HEALTH = "HEALTH"
    DRAIN = "DRAIN"
    STALL = "STALL"
    SHED = "SHED"
    LIE = "LIE"


class BackendKind(Enum):
    """Kind of service that a backend server provides."""

    ORDER = "order"
    DRAWINGS = "drawings"
    LEDGER = "ledger"
    INTAKE = "intake"


CALLER_VERBS = frozenset((Verb.ORDER, Verb.CHECK, Verb.FEED, Verb.UPLOAD, Verb.ECHO))
"""Verbs that callers use; the others inspect and control the stand-in."""

VERBS_BY_KIND: Mapping[BackendKind, frozenset[Verb]] = {
    BackendKind.ORDER: frozenset((Verb.ORDER, Verb.FEED, Verb.ECHO)),
    BackendKind.DRAWINGS: frozenset((Verb.UPLOAD,)),
    BackendKind.LEDGER: frozenset((Verb.CHECK, Verb.FEED, Verb.ECHO)),
    BackendKind.INTAKE: frozenset((Verb.UPLOAD,)),
}

# Number of integers after the request id, or after the verb if it has no id.
_NUMBER_COUNTS = {
    Verb.FEED: 2,
    Verb.UPLOAD: 1,
    Verb.ECHO: 1,
    Verb.STALL: 1,
    Verb.SHED: 1,
    Verb.LIE: 1,
}


@dataclass(frozen=True, slots=True)
class Request:
    """Parsed request line.

    Attributes
    ----------
    verb : Verb
        Requested operation.
    request_id : str
        Id that the caller chose; empty for verbs that control the stand-in.
    numbers : tuple of int
        Integers that follow the id.
    """

    verb: Verb
    request_id: str = ""
    numbers: tuple[int, ...] = ()

    def format_line(self) -> bytes:
        """Return the encoded request line, including the newline."""
        words = [self.verb.value, self.request_id, *map(str, self.numbers)]
        return " ".join(word for word in words if word).encode() + b"\n"


def parse_request(line: bytes) -> Result[Request, str]:
    """Parse a request line; a failure holds the description of the error."""
    words = line.decode("ascii", "replace").split()
    try:
        verb = Verb(words[0] if words else "")
    except ValueError:
        return Failure(f"unknown request {line[:40]!r}")
    request_id = words[1] if verb in CALLER_VERBS and len(words) > 1 else ""
    rest = words[2:] if verb in CALLER_VERBS else words[1:]
    if verb in CALLER_VERBS and not request_id:
        return Failure(f"{verb.value} needs an id")
    if len(rest) != _NUMBER_COUNTS.get(verb, 0) or not all(
        one.isdigit() for one in rest
    ):
        return Failure(f"{verb.value} needs {_NUMBER_COUNTS.get(verb, 0)} numbers")
    return Success(Request(verb, request_id, tuple(int(one) for one in rest)))


@dataclass(frozen=True, slots=True)
class BackendPlan:
    """Service, speed and limits of one backend server.

    Attributes
    ----------
    name : str
        Name of the server, the last word of each response.
    kind : BackendKind
        Kind of service that the server provides.
    speed : float
        Relative speed: 1 is nominal, 0.25 takes four times the service time.
    slots : int
        Maximum number of concurrent requests; further requests are queued.
    max_connections : int
        Maximum number of connections; further connections are closed immediately.
    service_ms : Millis
        Service time of one request at speed 1, in milliseconds.
    """

    name: str
    kind: BackendKind
    speed: float = 1.0
    slots: int = 1
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    service_ms: Millis = DEFAULT_SERVICE_MS

    @property
    def scaled_service_ms(self) -> Millis:
        """Service time of one request at the speed of this server, in milliseconds."""
        return Millis(round(self.service_ms / self.speed))


class Journal:
    """Journal of the requests that a backend server executed, with their counts."""

    def __init__(self) -> None:
        self._runs: Counter[str] = Counter()

    @property
    def runs(self) -> Mapping[str, int]:
        """Number of executions of each request, by request id."""
        return self._runs

    @property
    def doubled(self) -> int:
        """Number of requests that were executed more than once."""
        return sum(1 for times in self._runs.values() if times > 1)

    def record(self, request: Request) -> None:
        """Record one execution of a request."""
        self._runs[request.request_id] += 1

    def format_lines(self) -> str:
        """Return one RUN line for each request, then an END line with the totals."""
        lines = [f"RUN {one} {times}" for one, times in self._runs.items()]
        lines.append(f"END {len(self._runs)} {self.doubled}")
        return "\n".join(lines) + "\n"
