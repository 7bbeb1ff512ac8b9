"""Whether the backend server beside an agent is given another opening."""

from papayagw._internal.core.plain.backend_state import BackendState
from papayagw._internal.core.plain.load_meter import LoadMeter
from papayagw._internal.core.plain.request_limit import request_limit
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import ReturnReason
from papayagw._internal.models.plain.instance import Availability, StatusReport
from papayagw._internal.models.plain.packet import FlowKey

INITIAL_PAUSE_MS = Millis(300)
"""How long a silent backend server gets no other opening; doubles each time."""

MAX_PAUSE_MS = Millis(2_400)
"""Limit of the doubling of `FIRST_SILENCE_MS`: two intervals between reports."""

MAX_TIMEOUT_COUNT = 8
"""How often silence is counted: enough for `LONGEST_SILENCE_MS`."""

RESERVATION_MS = Millis(15)
"""How long room is kept in mind for a balancer that was told of it.

Two crossings between zones and a turn of the balancer's loop.
"""

FIRST_REQUEST_TIMEOUT_MS = Millis(40)
"""How long an accepted flow counts as a request until its first one comes.

A round trip to the client, 2 to 6 ms, and the client's turn.
"""

MAX_WAITING_BALANCERS = 4_096
"""The most balancers that are remembered as waiting for room."""


class AdmissionControl:
    """What speaks for and against another opening.

    Parameters
    ----------
    backend : BackendState
        What the backend server says of itself.
    now : Millis
        When the agent started.
    """

    def __init__(self, backend: BackendState, now: Millis):
        self._started_at = now
        self.backend = backend
        self.meter = LoadMeter()
        self._paused_until = Millis(0)
        self._timeout_count = 0
        self._has_refused = False
        self._is_leaving = False
        self._waiting: dict[Endpoint, None] = {}
        self._reserved_until: dict[Endpoint, Millis] = {}
        self._awaited_until: dict[FlowKey, Millis] = {}

    @property
    def due_at(self) -> Millis | None:
        """When room may be found that no packet tells of, if anybody waits for it."""
        if not self._waiting:
            return None
        return next(iter(self._awaited_until.values()), None)

    def availability(self, now: Millis) -> Availability:
        """Return whether openings are taken, room aside."""
        if self._is_leaving:
            return Availability.LEAVING
        if not self.backend.is_known and not self._may_be_running(now):
            return Availability.UNREADY
        if self.backend.is_draining:
            return Availability.DRAINING
        if now < self._paused_until:
            return Availability.UNREADY
        if self._timeout_count and self.backend.is_report_overdue(now):
            return Availability.UNREADY
        return Availability.READY

    def find_rejection_reason(
        self, source: Endpoint, pending_openings: int, now: Millis
    ) -> ReturnReason | None:
        """Return why an opening is turned away, or None.

        Parameters
        ----------
        source : Endpoint
            The balancer that hands it over.
        offered : int
            Openings that the backend server hasn't answered yet.
        now : Millis
            The present time.
        """
        if self._reserved_until.pop(source, None) is not None:
            # It may have more that wait; an invitation that it leaves tells otherwise.
            self._waiting[source] = None
        availability = self.availability(now)
        if availability is Availability.READY:
            if self._free_capacity(pending_openings, now) > 0:
                return None
            if len(self._waiting) < MAX_WAITING_BALANCERS:
                self._waiting[source] = None
            return ReturnReason.BUSY
        if now < self._paused_until:
            return ReturnReason.SILENT
        if availability is Availability.UNREADY:
            return ReturnReason.NOT_READY
        return ReturnReason.DRAINING

    def reserve_capacity(self, pending_openings: int, now: Millis) -> list[Endpoint]:
        """Return the balancers to tell of room, one for each opening that fits.

        Those that were turned away first are told first.
        """
        if not self._waiting or self._free_capacity(pending_openings, now) <= 0:
            return []
        if self.availability(now) is not Availability.READY:
            return []
        late = [peer for peer, until in self._reserved_until.items() if until <= now]
        for peer in late:
            del self._reserved_until[peer]
        free = self._free_capacity(pending_openings, now) - len(self._reserved_until)
        notified = list(self._waiting)[: max(free, 0)]
        for peer in notified:
            del self._waiting[peer]
            self._reserved_until[peer] = Millis(now + RESERVATION_MS)
        return notified

    def expect_first_request(self, flow: FlowKey, now: Millis) -> None:
        """Note that the first request of an accepted flow is on its way."""
        self._awaited_until[flow] = Millis(now + FIRST_REQUEST_TIMEOUT_MS)

    def clear_first_request(self, flow: FlowKey) -> None:
        """Note that a flow's first request came, or never will."""
        self._awaited_until.pop(flow, None)

    def count_requests(self, pending_openings: int, now: Millis) -> int:
        """Return the requests in progress and those that are about to come."""
        while self._awaited_until:
            flow, until = next(iter(self._awaited_until.items()))
            if until > now:
                break
            del self._awaited_until[flow]
        return self.meter.busy + pending_openings + len(self._awaited_until)

    def record_report(self, report: StatusReport, now: Millis) -> bool:
        """Take in a report; return False for one that is late or not usable."""
        if not self.backend.record_report(report, now):
            return False
        self.meter.slots = report.slots
        self.record_activity()
        return True

    def record_activity(self) -> None:
        """Note that the backend server spoke."""
        self._timeout_count = 0
        self._paused_until = Millis(0)

    def record_refusal(self) -> ReturnReason:
        """Note that the backend server handed an opening back; return what that says.

        One that hasn't reported, such as one that is about to end, takes none at all.
        """
        self._has_refused = True
        return ReturnReason.FULL if self.backend.is_known else ReturnReason.NOT_READY

    def record_timeout(self, now: Millis) -> Millis:
        """Note an unanswered opening; return how long there is no other."""
        wait = Millis(min(INITIAL_PAUSE_MS << self._timeout_count, MAX_PAUSE_MS))
        if now >= self._paused_until:
            self._timeout_count = min(self._timeout_count + 1, MAX_TIMEOUT_COUNT)
            self._paused_until = Millis(now + wait)
        return wait

    def begin_shutdown(self) -> None:
        """Note that the agent stops."""
        self._is_leaving = True

    def _may_be_running(self, now: Millis) -> bool:
        """Whether the backend server may live although the agent hasn't heard it yet.

        Most agents that start were killed beside a backend server that goes on, and
        the next report may be an interval away. An opening that it leaves ends that.
        """
        is_new = now - self._started_at < self.backend.report_timeout_ms
        has_failed = self._has_refused or self._timeout_count > 0
        return is_new and self.backend.report is None and not has_failed

    def _free_capacity(self, pending_openings: int, now: Millis) -> int:
        return request_limit(self.meter.slots) - self.count_requests(
            pending_openings, now
        )
