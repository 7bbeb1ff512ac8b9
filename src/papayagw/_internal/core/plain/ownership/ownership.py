"""An agent's replies to the query whether it owns a flow."""

from papayagw._internal.core.plain.admission.backend_state import BackendState
from papayagw._internal.core.plain.admission.run_order import ReportUse
from papayagw._internal.core.plain.ownership.owned_flows import OwnedFlows
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.frame import OwnerQuery, Ownership
from papayagw._internal.models.plain.instance import StatusReport

MAX_EARLY_REPORTS = 16
"""Maximum report number at which a run's apparent low age is trusted.

Guards against a wall clock that was set back. While no agent answers, reports come
every 70 ms.
"""


class OwnershipResolver:
    """Answers owner queries of balancers.

    Parameters
    ----------
    flows : OwnedFlows
        Flows that the agent tracks.
    backend : BackendState
        Reported state of the backend server.
    flow_limit_ms : Millis
        Idle time after which a flow may be removed. An agent that has run for that
        long has seen all live flows.
    now : Millis
        Time at which the agent started.
    """

    def __init__(
        self,
        flows: OwnedFlows,
        backend: BackendState,
        flow_limit_ms: Millis,
        now: Millis,
    ):
        self._flows = flows
        self._backend = backend
        self._started_at = now
        self._knows_old_flows_from = Millis(now + flow_limit_ms)
        """When flows that were open at the agent's start have ended or been seen."""
        self._knows_all_flows_from = self._knows_old_flows_from
        self._is_unconfirmed = False

    def resolve(self, query: OwnerQuery, now: Millis) -> Ownership:
        """Return whether the backend server owns the flow, as far as is known."""
        owned = self._flows.find(query.flow)
        if owned is not None:
            # The backend server still answers late packets of a flow that has ended.
            is_ours = owned.matches(query.acknowledged)
            return Ownership.OWNER if is_ours else Ownership.NOT_OWNER
        if now >= self._knows_all_flows_from:
            return Ownership.NOT_OWNER
        return Ownership.UNCONFIRMED if self._is_unconfirmed else Ownership.UNKNOWN

    def begin_run(
        self, report: StatusReport, use: ReportUse, age_ms: Millis, now: Millis
    ) -> None:
        """Record the age of a run of the backend server that wasn't the latest before.

        Called once per run, since the wall clock may be set back later.
        """
        self._backend.record_age(age_ms, now)
        self._is_unconfirmed = False
        if use is ReportUse.RESUMED_RUN:
            # What was taken for a later run was none, so nothing is known from it.
            self._knows_all_flows_from = self._knows_old_flows_from
        elif self._seems_observed(report, age_ms, now):
            if use is ReportUse.LATER_RUN or report.number == 1:
                self._knows_all_flows_from = now
            else:
                self._is_unconfirmed = True

    def _seems_observed(
        self, report: StatusReport, age_ms: Millis, now: Millis
    ) -> bool:
        """Whether all flows of the run have passed through this agent, by its age.

        The age alone is no certainty: if the wall clock was set back, the run may be
        older, and have reported to an earlier agent. That is excluded for a run that
        comes after another one that reported to this agent, and for the first report
        of a run.
        """
        max_age_ms = max(now - self._started_at, self._backend.max_first_report_age_ms)
        return 0 <= age_ms <= max_age_ms and report.number <= MAX_EARLY_REPORTS
