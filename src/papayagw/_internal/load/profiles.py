"""Workload profiles of the two customers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from papayagw._internal.core.arrivals import Share
from papayagw._internal.models.clock import Millis
from papayagw._internal.standins.workload import BackendKind, Request, Verb

DEFAULT_FEED_LINES = 50
FEED_INTERVAL_MS = 200
DRAWING_BYTES = 256 << 10
SPREADSHEET_BYTES = 128 << 10


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Kind of request in a workload.

    Attributes
    ----------
    name : str
        Name in reports.
    service : BackendKind
        Service to which requests of this kind are sent.
    verb : Verb
        Requested operation.
    numbers : tuple of int
        Integers that follow the request id, such as a number of lines or bytes.
    pause : Millis
        Time between two lines of an echo, in milliseconds.
    """

    name: str
    service: BackendKind
    verb: Verb
    numbers: tuple[int, ...] = ()
    pause: Millis = Millis(0)

    @property
    def duration(self) -> Millis:
        """Scheduled duration of a feed or echo, in milliseconds; 0 for other verbs."""
        if self.verb is Verb.FEED:
            count, interval = self.numbers
            return Millis(count * interval)
        if self.verb is Verb.ECHO:
            return Millis(self.numbers[0] * self.pause)
        return Millis(0)

    def make_request(self, request_id: str) -> Request:
        """Return a request of this kind with the id `request_id`."""
        return Request(self.verb, request_id, self.numbers)


Workload = tuple[Share[RequestKind], ...]

_ORDER = RequestKind("order", BackendKind.ORDER, Verb.ORDER)
_DRAWING = RequestKind(
    "drawing upload", BackendKind.DRAWINGS, Verb.UPLOAD, (DRAWING_BYTES,)
)
_RATE_CHECK = RequestKind("rate check", BackendKind.LEDGER, Verb.CHECK)
_SPREADSHEET = RequestKind(
    "intake upload", BackendKind.INTAKE, Verb.UPLOAD, (SPREADSHEET_BYTES,)
)


def make_valukoja(feed_lines: int) -> Workload:
    """Return the workload of Valukoja: order feeds, orders and drawing uploads."""
    return (
        Share(_make_feed("order feed", BackendKind.ORDER, feed_lines), 0.1),
        Share(_ORDER, 0.8),
        Share(_DRAWING, 0.1),
    )


def make_norrbo(feed_lines: int) -> Workload:
    """Return the workload of Norrbo: ledger streams, rate checks, intake uploads."""
    return (
        Share(_make_feed("ledger stream", BackendKind.LEDGER, feed_lines), 0.1),
        Share(_RATE_CHECK, 0.8),
        Share(_SPREADSHEET, 0.1),
    )


def _make_feed(name: str, service: BackendKind, lines: int) -> RequestKind:
    return RequestKind(name, service, Verb.FEED, (lines, FEED_INTERVAL_MS))


PROFILES: Mapping[str, Callable[[int], Workload]] = {
    "valukoja": make_valukoja,
    "norrbo": make_norrbo,
}
