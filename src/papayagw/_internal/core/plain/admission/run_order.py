"""Order of the runs of a backend server, as its reports show it.

No clock decides alone: a start of a run is in wall clock time, which may be set back
between two starts, and the agent's own clock tells only when reports arrive. The cases
are weighed in docs/design/run-order.md.
"""

from dataclasses import dataclass, replace
from enum import Enum

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.instance import RunId, StatusReport

MAX_REPLACED_RUNS = 16
"""Maximum number of earlier runs that are remembered.

Reports arrive at most some seconds late, in which a server starts a few times.
"""


class ReportUse(Enum):
    """What a status report says about the latest run."""

    REFUSED = 1
    """Nothing: the report is late, of another run or for another service."""
    SAME_RUN = 2
    """The latest run goes on."""
    FIRST_RUN = 3
    """The first run that the agent knows of."""
    LATER_RUN = 4
    """A run that began after the latest one."""
    RESUMED_RUN = 5
    """A run goes on that was wrongly taken for ended."""

    @property
    def is_other_run(self) -> bool:
        """Whether the report's run takes the place of the latest one, if any."""
        return self not in (ReportUse.REFUSED, ReportUse.SAME_RUN)


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A run that reports, although it isn't known to be later than the latest one."""

    run: RunId
    since: Millis
    number: int


class RunOrder:
    """Decides which run is the latest.

    Parameters
    ----------
    takeover_ms : Millis
        Time for which only a candidate must have reported before it takes the place
        of the latest run. Longer than the interval between acknowledged reports, in
        which a live server reports.
    """

    def __init__(self, takeover_ms: Millis):
        self._takeover_ms = takeover_ms
        self._latest: RunId | None = None
        self._reported_at = Millis(0)
        self._replaced: dict[RunId, None] = {}
        self._candidate: _Candidate | None = None

    def compare(self, report: StatusReport, age_ms: Millis, now: Millis) -> ReportUse:
        """Return which run a report belongs to, and remember it as a candidate.

        Parameters
        ----------
        report : StatusReport
            A report for the agent's service.
        age_ms : Millis
            Age of the reporting run by the wall clock; negative if that was set back.
        now : Millis
            Current time.
        """
        run = report.run
        if self._latest is None:
            return ReportUse.FIRST_RUN
        if run == self._latest:
            return ReportUse.SAME_RUN
        was_replaced = run in self._replaced
        if not was_replaced and self._began_later(run, age_ms, now):
            return ReportUse.LATER_RUN
        if not self._outlasts_latest(report, now):
            return ReportUse.REFUSED
        return ReportUse.RESUMED_RUN if was_replaced else ReportUse.LATER_RUN

    def record(self, report: StatusReport, now: Millis) -> None:
        """Record that a report is used."""
        run = report.run
        if self._latest is not None and run != self._latest:
            self._replaced[self._latest] = None
            self._replaced.pop(run, None)
            if len(self._replaced) > MAX_REPLACED_RUNS:
                del self._replaced[next(iter(self._replaced))]
        self._latest = run
        self._reported_at = now
        self._candidate = None

    def _began_later(self, run: RunId, age_ms: Millis, now: Millis) -> bool:
        """Whether a run that is new to the agent began after the latest one.

        Either by the starts of both, or, as the clock may have been set back between
        them, since it began after the last report of the latest run.
        """
        latest = self._latest
        return latest is not None and (
            run.started_at > latest.started_at
            or (age_ms >= 0 and now - age_ms > self._reported_at)
        )

    def _outlasts_latest(self, report: StatusReport, now: Millis) -> bool:
        """Whether a run has reported for `takeover_ms` while the latest one was silent.

        Late reports of a run that has ended all arrive within a shorter time.
        """
        candidate = self._candidate
        if candidate is None or candidate.run != report.run:
            self._candidate = _Candidate(report.run, now, report.number)
            return False
        if report.number <= candidate.number:
            return False
        self._candidate = replace(candidate, number=report.number)
        return now - candidate.since >= self._takeover_ms
