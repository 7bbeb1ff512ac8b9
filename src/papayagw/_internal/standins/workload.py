"""What a backend server's stand-in serves, and what it remembers of it.

The protocol is lines of words. ``ORDER id`` and ``CHECK id`` take a service
time; ``FEED id count interval_ms`` is held open; ``UPLOAD id bytes`` is followed
by that many bytes, and ``ECHO id count`` by that many lines, each of which is sent
back. The rest, such as ``RUNS`` and ``DRAIN``, is for whoever
drives a test.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from papayagw._internal.models.clock import Millis

DEFAULT_SERVICE_MS = Millis(2)
DEFAULT_MAX_CONNECTIONS = 2_000
MAX_UPLOAD_BYTES = 1 << 30


class Verb(Enum):
    """The first word of a request."""

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
    """The service that a backend server runs."""

    ORDER = "order"
    DRAWINGS = "drawings"
    LEDGER = "ledger"
    INTAKE = "intake"


CALLER_VERBS = frozenset((Verb.ORDER, Verb.CHECK, Verb.FEED, Verb.UPLOAD, Verb.ECHO))
"""The requests of callers; the others drive the stand-in."""

VERBS_BY_KIND: Mapping[BackendKind, frozenset[Verb]] = {
    BackendKind.ORDER: frozenset((Verb.ORDER, Verb.FEED, Verb.ECHO)),
    BackendKind.DRAWINGS: frozenset((Verb.UPLOAD,)),
    BackendKind.LEDGER: frozenset((Verb.CHECK, Verb.FEED, Verb.ECHO)),
    BackendKind.INTAKE: frozenset((Verb.UPLOAD,)),
}

# How many numbers follow the id, or stand alone, after each verb.
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
    """One request line.

    Attributes
    ----------
    verb : Verb
        What is asked for.
    request_id : str
        The caller's name for the request; empty for the stand-in's own verbs.
    numbers : tuple of int
        What follows.
    """

    verb: Verb
    request_id: str = ""
    numbers: tuple[int, ...] = ()

    def format_line(self) -> bytes:
        """Return the line that asks for it."""
        words = [self.verb.value, self.request_id, *map(str, self.numbers)]
        return " ".join(word for word in words if word).encode() + b"\n"


def parse_request(line: bytes) -> Result[Request, str]:
    """Read a request line, or say what is wrong with it."""
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
    """How one backend server behaves.

    Attributes
    ----------
    name : str
        What it signs its answers with.
    kind : BackendKind
        The service that it runs.
    speed : float
        1 is ordinary; a server of 0.25 takes four times the service time.
    slots : int
        How many requests it works on at once; the others queue.
    max_connections : int
        Connections beyond these are closed at once.
    service_ms : Millis
        The service time of one request at speed 1.
    """

    name: str
    kind: BackendKind
    speed: float = 1.0
    slots: int = 1
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    service_ms: Millis = DEFAULT_SERVICE_MS

    @property
    def scaled_service_ms(self) -> Millis:
        """The service time of one request on this server."""
        return Millis(round(self.service_ms / self.speed))


class Journal:
    """The requests that a backend server ran, doubled ones counted."""

    def __init__(self) -> None:
        self._runs: Counter[str] = Counter()

    @property
    def runs(self) -> Mapping[str, int]:
        """How often each request was run."""
        return self._runs

    @property
    def doubled(self) -> int:
        """How many requests were run more than once."""
        return sum(1 for times in self._runs.values() if times > 1)

    def record(self, request: Request) -> None:
        """Note that a request is run."""
        self._runs[request.request_id] += 1

    def format_lines(self) -> str:
        """Return one line for each request, and a last one with the totals."""
        lines = [f"RUN {one} {times}" for one, times in self._runs.items()]
        lines.append(f"END {len(self._runs)} {self.doubled}")
        return "\n".join(lines) + "\n"
