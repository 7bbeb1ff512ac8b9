"""Admission control for openings to the agent's local backend server."""

from papayagw._internal.core.plain.admission.backend_state import BackendState
from papayagw._internal.core.plain.admission.cold_start import (
    ColdStartLimit,
    ColdStartRule,
)
from papayagw._internal.core.plain.admission.limits import max_concurrent_requests
from papayagw._internal.core.plain.admission.load_meter import LoadMeter
from papayagw._internal.core.plain.admission.run_order import ReportUse
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import ReturnReason
from papayagw._internal.models.plain.instance import Availability, StatusReport
from papayagw._internal.models.plain.packet import FlowKey

INITIAL_PAUSE_MS = Millis(300)
"""Pause in openings after the first accept timeout; doubles with each further one.

An accept timeout means that the backend server left an opening unanswered.
"""

MAX_PAUSE_MS = Millis(2_400)
"""Upper limit of the pause in openings: two report intervals."""

MAX_ACCEPT_TIMEOUT_COUNT = 8
"""Upper limit of the count of consecutive accept timeouts.

The pause reaches `MAX_PAUSE_MS` at a count of 3.
"""

RESERVATION_MS = Millis(15)
"""How long capacity stays reserved for a balancer that was notified of it.

Covers a round trip between zones and one iteration of the balancer's event loop.
"""

FIRST_REQUEST_TIMEOUT_MS = Millis(40)
"""How long an accepted flow counts as a request before its first request arrives.

Covers the round trip to the client, 2 to 6 ms, and the client's processing time.
"""

MAX_WAITING_BALANCERS = 4_096
"""Maximum number of balancers that are remembered to be notified of free capacity."""


class AdmissionControl:
    """Decides whether the backend server can receive another opening.

    Parameters
    ----------
    backend : BackendState
        Reported state of the backend server.
    now : Millis
        Time at which the agent started.
    cold_rule : ColdStartRule or None
        Limit on the openings to a cold backend server; None for no limit.
    """

    def __init__(
        self,
        backend: BackendState,
        now: Millis,
        cold_rule: ColdStartRule | None = None,
    ):
        self._started_at = now
        self.backend = backend
        self.meter = LoadMeter()
        self._cold_limit = ColdStartLimit(cold_rule, now) if cold_rule else None
        self._paused_until = Millis(0)
        self._accept_timeout_count = 0
        self._has_rejected = False
        self._is_leaving = False
        self._waiting_balancers: dict[Endpoint, None] = {}
        self._reserved_until: dict[Endpoint, Millis] = {}
        self._first_request_deadlines: dict[FlowKey, Millis] = {}

    @property
    def due_at(self) -> Millis | None:
        """Next time at which capacity may become free without a packet.

        None if no balancer is waiting or no first request is outstanding.
        """
        if not self._waiting_balancers:
            return None
        first_request_at = next(iter(self._first_request_deadlines.values()), None)
        due_at = (first_request_at, self._cold_free_at)
        return min((at for at in due_at if at is not None), default=None)

    def availability(self, now: Millis) -> Availability:
        """Return whether openings are admitted in general, and if not, why.

        Free capacity isn't considered.
        """
        if self._is_leaving:
            return Availability.LEAVING
        if not self.backend.is_known and not self._may_be_running(now):
            return Availability.UNREADY
        if self.backend.is_draining:
            return Availability.DRAINING
        if now < self._paused_until:
            return Availability.UNREADY
        if self._accept_timeout_count and self.backend.is_report_overdue(now):
            return Availability.UNREADY
        return Availability.READY

    def find_rejection_reason(
        self, source: Endpoint, pending_openings: int, now: Millis
    ) -> ReturnReason | None:
        """Return why an opening must be rejected, or None if it is admitted.

        Parameters
        ----------
        source : Endpoint
            Balancer that forwards the opening.
        pending_openings : int
            Number of openings that the backend server hasn't answered yet.
        now : Millis
            Current time.
        """
        if self._reserved_until.pop(source, None) is not None:
            # The balancer may have more queued openings, so it keeps waiting; if it
            # has none, its next reservation expires unused.
            self._waiting_balancers[source] = None
        availability = self.availability(now)
        if availability is Availability.READY:
            if self._free_capacity(pending_openings, now) > 0:
                return None
            if len(self._waiting_balancers) < MAX_WAITING_BALANCERS:
                self._waiting_balancers[source] = None
            return ReturnReason.BUSY
        if now < self._paused_until:
            return ReturnReason.SILENT
        if availability is Availability.UNREADY:
            return ReturnReason.NOT_READY
        return ReturnReason.DRAINING

    def reserve_capacity(self, pending_openings: int, now: Millis) -> list[Endpoint]:
        """Reserve free capacity for waiting balancers; return the balancers to notify.

        Each balancer gets capacity for one opening, in the order of rejection.
        """
        if (
            not self._waiting_balancers
            or self._free_capacity(pending_openings, now) <= 0
        ):
            return []
        if self.availability(now) is not Availability.READY:
            return []
        expired = [peer for peer, until in self._reserved_until.items() if until <= now]
        for peer in expired:
            del self._reserved_until[peer]
        free = self._free_capacity(pending_openings, now) - len(self._reserved_until)
        notified = list(self._waiting_balancers)[: max(free, 0)]
        for peer in notified:
            del self._waiting_balancers[peer]
            self._reserved_until[peer] = Millis(now + RESERVATION_MS)
        return notified

    def forget_waiting_balancers(self) -> None:
        """Stop notifying balancers with rejected openings of free capacity."""
        self._waiting_balancers.clear()
        self._reserved_until.clear()

    def apply_cold_rate(self, cold_per_s: float, site_version: int) -> bool:
        """Apply the rate that a configuration version states for a cold server.

        Returns
        -------
        bool
            False if it isn't new, or if this deployment doesn't limit cold servers.
        """
        limit = self._cold_limit
        return limit is not None and limit.apply_rate(cold_per_s, site_version)

    def record_run_start(self, now: Millis, *, is_later: bool) -> None:
        """Record the first report of a run, after its age has been recorded.

        Parameters
        ----------
        now : Millis
            Current time.
        is_later : bool
            Whether there was a report of an earlier run.
        """
        if self._cold_limit is None:
            return
        age_ms = self.backend.age_ms(now)
        began_at = None if age_ms is None else Millis(now - age_ms)
        self._cold_limit.record_run_start(began_at, is_later=is_later)

    def record_opening(self, now: Millis) -> None:
        """Record that an opening is passed to the backend server."""
        if self._cold_limit is not None:
            self._cold_limit.record_opening(now)

    def describe_cold_limit(self, now: Millis) -> dict[str, object]:
        """Return the log fields of a cold server's limit; none if it doesn't bind."""
        limit = self._cold_limit
        if limit is None or self._free_cold_openings(now) != 0:
            return {}
        return {
            "cold_limit": limit.max_openings,
            "cold_openings": limit.count_openings(now),
            "free_in_ms": limit.free_at - now if limit.free_at is not None else None,
        }

    def count_reported_requests(self, pending_openings: int, now: Millis) -> int:
        """Return the number of requests in progress as reported to balancers.

        It leaves them as much free capacity as the limit on a cold server does.
        """
        busy = self.count_requests(pending_openings, now)
        free = self._free_cold_openings(now)
        if free is None:
            return busy
        return max(busy, max_concurrent_requests(self.meter.slots) - free)

    def expect_first_request(self, flow: FlowKey, now: Millis) -> None:
        """Count the first request of an accepted flow from now on.

        It counts until it arrives, or for `FIRST_REQUEST_TIMEOUT_MS`.
        """
        self._first_request_deadlines[flow] = Millis(now + FIRST_REQUEST_TIMEOUT_MS)

    def clear_first_request(self, flow: FlowKey) -> None:
        """Stop counting the expected first request of a flow.

        The request has arrived or the flow has been removed.
        """
        self._first_request_deadlines.pop(flow, None)

    def count_requests(self, pending_openings: int, now: Millis) -> int:
        """Return the number of requests in progress or expected.

        Each pending opening counts as one, and so does each accepted flow whose first
        request is expected.
        """
        while self._first_request_deadlines:
            flow, until = next(iter(self._first_request_deadlines.items()))
            if until > now:
                break
            del self._first_request_deadlines[flow]
        return self.meter.busy + pending_openings + len(self._first_request_deadlines)

    def record_report(
        self, report: StatusReport, age_ms: Millis, now: Millis
    ) -> ReportUse:
        """Record a report and its number of slots, and end a pause in openings.

        A report that is refused changes nothing.
        """
        use = self.backend.record_report(report, age_ms, now)
        if use is not ReportUse.REFUSED:
            self.meter.slots = report.slots
            self.record_activity()
        return use

    def record_activity(self) -> None:
        """Record that the backend server responds, which ends a pause in openings."""
        self._accept_timeout_count = 0
        self._paused_until = Millis(0)

    def record_rejection(self) -> ReturnReason:
        """Record that the backend server sent an opening back; return the reason.

        A server that isn't known from a report, such as one that is shutting down,
        accepts no openings at all, so the reason is then `NOT_READY`.
        """
        self._has_rejected = True
        return ReturnReason.FULL if self.backend.is_known else ReturnReason.NOT_READY

    def record_accept_timeout(self, now: Millis) -> Millis:
        """Record an unanswered opening, which begins a pause unless one is in force.

        Returns
        -------
        Millis
            Length of the pause that begins, or if one is already in force, the length
            that the next one would have.
        """
        wait = Millis(min(INITIAL_PAUSE_MS << self._accept_timeout_count, MAX_PAUSE_MS))
        if now >= self._paused_until:
            self._accept_timeout_count = min(
                self._accept_timeout_count + 1, MAX_ACCEPT_TIMEOUT_COUNT
            )
            self._paused_until = Millis(now + wait)
        return wait

    def begin_shutdown(self) -> None:
        """Stop admitting openings because the agent is stopping."""
        self._is_leaving = True

    def _may_be_running(self, now: Millis) -> bool:
        """Whether the backend server may be running although it hasn't reported yet.

        Most agents start after a crash while their backend server kept running, and
        the server's next report may be a whole interval away. An opening that the
        server returns or leaves unanswered ends this assumption.
        """
        is_new = now - self._started_at < self.backend.report_timeout_ms
        has_failed = self._has_rejected or self._accept_timeout_count > 0
        return is_new and self.backend.report is None and not has_failed

    def _free_capacity(self, pending_openings: int, now: Millis) -> int:
        """Return the number of openings that fit; negative if over the limit."""
        free = max_concurrent_requests(self.meter.slots) - self.count_requests(
            pending_openings, now
        )
        free_cold = self._free_cold_openings(now)
        return free if free_cold is None else min(free, free_cold)

    @property
    def _cold_free_at(self) -> Millis | None:
        """When a cold server may get an opening again; None if it may get one now."""
        free_at = self._cold_limit.free_at if self._cold_limit is not None else None
        if free_at is None or self.backend.report is None:
            return free_at
        return min(free_at, self.backend.cold_until)

    def _free_cold_openings(self, now: Millis) -> int | None:
        """Return how many openings the limit on a cold server admits.

        None if there is no limit. A server that hasn't reported yet may be cold.
        """
        limit = self._cold_limit
        if limit is None:
            return None
        if self.backend.report is not None and not self.backend.is_cold(now):
            limit.clear_free_at()
            return None
        return limit.free_openings(now)
