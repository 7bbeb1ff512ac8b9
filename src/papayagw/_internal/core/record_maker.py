"""Creation of service-level records from the totals reported by nodes.

Nodes persist nothing and count from their start, so a record is the difference
between two reports of the same run of a node, which is one process. If a new run
replaces one that wasn't draining, the flows that were open in the last report of the
old run count as lost.
"""

from dataclasses import dataclass, replace

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.report import (
    ServiceRecord,
    ServiceTotals,
    Side,
)
from papayagw._internal.models.status import NodeState, Role, StatusReport


@dataclass(frozen=True, slots=True)
class _LastReport:
    """Last report of a node and the time of its receipt."""

    report: StatusReport
    at: Millis


class RecordMaker:
    """Creates records from successive status reports."""

    def __init__(self) -> None:
        self._last_reports: dict[str, _LastReport] = {}

    def add_report(
        self, report: StatusReport, now: Millis
    ) -> tuple[ServiceRecord, ...]:
        """Return the records of the interval since the node's last report.

        The first report of a node gives no records, as there is nothing to compare.

        Parameters
        ----------
        report : StatusReport
            Status report of the node.
        now : Millis
            Time of the report, in ms since 1970.
        """
        previous = self._last_reports.get(report.node)
        if previous is not None and (
            now <= previous.at or report.run < previous.report.run
        ):
            return ()
        self._last_reports[report.node] = _LastReport(report, now)
        if previous is None:
            return ()
        return tuple(
            _make_record(report, totals, previous, now) for totals in report.services
        )


def _make_record(
    report: StatusReport, totals: ServiceTotals, previous: _LastReport, now: Millis
) -> ServiceRecord:
    """Return the record of one service from its previous report to this one."""
    earlier = next(
        (one for one in previous.report.services if one.service == totals.service),
        ServiceTotals(totals.service),
    )
    same_run = report.run == previous.report.run
    counts, work_ms = totals.counts, totals.work_ms
    if same_run:
        counts = counts.minus(earlier.counts)
        work_ms = Millis(work_ms - earlier.work_ms)
    elif previous.report.state is not NodeState.DRAINING:
        counts = replace(counts, lost=earlier.flows_open)
    return ServiceRecord(
        start_ms=previous.at,
        end_ms=now,
        service=totals.service,
        instance=report.node,
        zone=report.zone,
        side=Side.CALLER if report.role is Role.CONNECT else Side.AGENT,
        counts=counts,
        work_ms=work_ms,
        capacity=totals.capacity,
    )
