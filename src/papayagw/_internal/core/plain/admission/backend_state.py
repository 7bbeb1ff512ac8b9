"""State of the agent's local backend server, as known from its reports."""

from papayagw._internal.core.plain.admission.run_order import ReportUse, RunOrder
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
        self._runs = RunOrder(self.report_timeout_ms)

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

    def is_in_force(self, message: StatusReport | Departure) -> bool:
        """Whether what a report or departure says is what is known of the server.

        That is so if it was used, or repeats the last one that was. Any other must not
        be acknowledged.
        """
        if isinstance(message, StatusReport):
            return message == self._report and not self._has_left
        return self._has_left and self._is_of_latest_run(message)

    def record_report(
        self, report: StatusReport, age_ms: Millis, now: Millis
    ) -> ReportUse:
        """Record a report, unless it says nothing about the backend server.

        That is so if it is for another service, of a run that has ended, or older than
        the last one.
        """
        if report.service != self._service:
            return ReportUse.REFUSED
        use = self._runs.compare(report, age_ms, now)
        if use is ReportUse.SAME_RUN and self._is_late(report):
            return ReportUse.REFUSED
        if use is ReportUse.REFUSED:
            return use
        self._runs.record(report, now)
        self._report = report
        self._reported_at = now
        self._cold_until = Millis(now + report.cold_left_ms)
        self._has_left = False
        return use

    def record_departure(self, departure: Departure) -> bool:
        """Record a departure; return False if it isn't for the latest run."""
        if not self._is_of_latest_run(departure):
            return False
        self._has_left = True
        return True

    def _is_of_latest_run(self, departure: Departure) -> bool:
        """Whether a departure names the latest run, or a later one of its id."""
        known = self._report
        if known is None or departure.instance != known.instance:
            return False
        started_at = departure.started_at
        return started_at is None or started_at >= known.started_at

    def _is_late(self, report: StatusReport) -> bool:
        """Whether a report of the latest run is older than the last one.

        A run never leaves the draining state and never resumes after its departure, so
        a late report must not undo either.
        """
        known = self._report
        return self._has_left or (known is not None and report.number <= known.number)
