"""What an agent knows of the backend server beside it, from its reports."""

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.instance import (
    Departure,
    ReportedState,
    StatusReport,
)

REPORT_INTERVAL_MS = Millis(1_200)
"""Time between acknowledged reports where settings don't say otherwise."""


class BackendState:
    """The latest run of the backend server and what it said last.

    Parameters
    ----------
    service : str
        The service that the agent is there for; a report for another is not used.
    report_interval_ms : Millis
        Time between acknowledged reports.
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
        """The last report that was taken in."""
        return self._report

    @property
    def is_known(self) -> bool:
        """Whether a run of the backend server has reported and not left."""
        return self._report is not None and not self._has_left

    @property
    def is_draining(self) -> bool:
        """Whether the backend server wants no new flows."""
        report = self._report
        return report is not None and report.state is ReportedState.DRAINING

    @property
    def report_timeout_ms(self) -> Millis:
        """Without a report for so long, silence on packets means that it is gone.

        Two intervals and a little more.
        """
        return Millis(self._report_interval_ms * 13 // 6)

    @property
    def max_first_report_age_ms(self) -> Millis:
        """The age of a run up to which no report of it was acknowledged before.

        A backend server reports as it starts and, once that is acknowledged, an
        interval later; a sixth of it is left for jitter.
        """
        return Millis(self._report_interval_ms * 5 // 6)

    def is_cold(self, now: Millis) -> bool:
        """Whether the backend server is slow after its start."""
        return now < self._cold_until

    def is_report_overdue(self, now: Millis) -> bool:
        """Whether reports have stayed away."""
        return now - self._reported_at > self.report_timeout_ms

    def age_ms(self, now: Millis) -> Millis | None:
        """Return how long ago the run began, or None if that isn't known."""
        return None if self._began_at is None else Millis(now - self._began_at)

    def record_age(self, age_ms: Millis, now: Millis) -> None:
        """Note the age of the run, which is negative where clocks were set back."""
        self._began_at = Millis(now - age_ms) if age_ms >= 0 else None

    def record_report(self, report: StatusReport, now: Millis) -> bool:
        """Take in a report; return False for one that is late or not usable."""
        if report.service != self._service or self._is_stale(report):
            return False
        self._report = report
        self._reported_at = now
        self._cold_until = Millis(now + report.cold_left_ms)
        self._has_left = False
        return True

    def is_new_run(self, report: StatusReport) -> bool:
        """Whether `report` is of a later run than the last one that was taken in."""
        known = self._report
        return known is not None and report.started_at > known.started_at

    def record_departure(self, departure: Departure) -> bool:
        """Take in a departure; return False for that of an earlier run."""
        known = self._report
        if known is None or departure.instance != known.instance:
            return False
        started_at = departure.started_at
        if started_at is not None and started_at < known.started_at:
            return False
        self._has_left = True
        return True

    def _is_stale(self, report: StatusReport) -> bool:
        known = self._report
        if known is None:
            return False
        if report.started_at != known.started_at:
            return report.started_at < known.started_at
        # Draining is the last state of a run: a late report can't take it back.
        return self._has_left or report.number <= known.number
