"""State of the agent's local backend server, as known from its reports."""

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.instance import (
    Departure,
    ReportedState,
    StatusReport,
)

REPORT_INTERVAL_MS = Millis(1_200)
"""Default interval between acknowledged reports."""


class BackendState:
    """State of the backend server's latest run, as last reported.

    A run is one life of the server's process, from its start to its end.

    Parameters
    ----------
    service : str
        Service of the agent; reports for other services are ignored.
    report_interval_ms : Millis
        Interval between acknowledged reports.
    """

    def __init__(self, service: str, report_interval_ms: Millis = REPORT_INTERVAL_MS):
        self._service = service
        self._report_interval_ms = report_interval_ms
        self._report: StatusReport | None = None
        self._reported_at = Millis(0)
        self._cold_until = Millis(0)
        self._began_at: Millis | None = None
        self._has_left = False

    @property
    def report(self) -> StatusReport | None:
        """Last recorded report; None if there was none."""
        return self._report

    @property
    def is_known(self) -> bool:
        """Whether the latest run has reported and hasn't announced its end."""
        return self._report is not None and not self._has_left

    @property
    def is_draining(self) -> bool:
        """Whether the backend server reported that it accepts no new flows."""
        report = self._report
        return report is not None and report.state is ReportedState.DRAINING

    @property
    def report_timeout_ms(self) -> Millis:
        """Time without a report after which an unresponsive server counts as down.

        Slightly more than two report intervals.
        """
        return Millis(self._report_interval_ms * 13 // 6)

    @property
    def max_first_report_age_ms(self) -> Millis:
        """Age of a run up to which its report is certainly the first acknowledged one.

        A backend server reports at its start and, once that report is acknowledged,
        one interval later. A sixth of the interval allows for jitter.
        """
        return Millis(self._report_interval_ms * 5 // 6)

    @property
    def cold_until(self) -> Millis:
        """Time until which the backend server is cold, as last reported."""
        return self._cold_until

    def is_cold(self, now: Millis) -> bool:
        """Whether the backend server is still slow after its start, as it reported."""
        return now < self._cold_until

    def is_report_overdue(self, now: Millis) -> bool:
        """Whether no report arrived within `report_timeout_ms`."""
        return now - self._reported_at > self.report_timeout_ms

    def age_ms(self, now: Millis) -> Millis | None:
        """Return the time since the start of the run, or None if it isn't known."""
        return None if self._began_at is None else Millis(now - self._began_at)

    def record_age(self, age_ms: Millis, now: Millis) -> None:
        """Record the age of the run; a negative one (clock set back) means unknown."""
        self._began_at = Millis(now - age_ms) if age_ms >= 0 else None

    def is_valid(self, report: StatusReport) -> bool:
        """Whether a report is for this service and newer than the last one.

        Any other says nothing about the backend server.
        """
        return report.service == self._service and not self._is_stale(report)

    def record_report(self, report: StatusReport, now: Millis) -> bool:
        """Record a report; return False if it isn't valid."""
        if not self.is_valid(report):
            return False
        self._report = report
        self._reported_at = now
        self._cold_until = Millis(now + report.cold_left_ms)
        self._has_left = False
        return True

    def is_new_run(self, report: StatusReport) -> bool:
        """Whether a valid report belongs to a later run than the last recorded one."""
        known = self._report
        if known is None or not self.is_valid(report):
            return False
        return report.started_at > known.started_at

    def record_departure(self, departure: Departure) -> bool:
        """Record a departure; return False if it isn't for the latest run."""
        known = self._report
        if known is None or departure.instance != known.instance:
            return False
        started_at = departure.started_at
        if started_at is not None and started_at < known.started_at:
            return False
        self._has_left = True
        return True

    def _is_stale(self, report: StatusReport) -> bool:
        """Whether a report is older than the last one, or its run has ended."""
        known = self._report
        if known is None:
            return False
        if report.started_at != known.started_at:
            return report.started_at < known.started_at
        # Reports may arrive late. A run never leaves the draining state and never
        # resumes after its departure, so a late report must not undo either.
        return self._has_left or report.number <= known.number
