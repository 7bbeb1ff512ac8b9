"""Whether a flow is that of the backend server beside an agent."""

from papayagw._internal.core.plain.backend_state import BackendState
from papayagw._internal.core.plain.owned_flows import OwnedFlows
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.frame import OwnerQuery, Ownership
from papayagw._internal.models.plain.instance import StatusReport

MOST_EARLY_REPORTS = 16
"""The most reports of a run that is as young as it seems; while no agent answers they
come every 70 ms. Guards against a time of day that was set back.
"""


class OwnershipJudge:
    """Answers balancers that look for the owner of a flow.

    Parameters
    ----------
    flows : OwnedFlows
        The flows that the agent remembers.
    backend : BackendState
        The run of the backend server.
    flow_limit_ms : Millis
        The age after which a flow may be forgotten: from then on an agent knows all.
    now : Millis
        When the agent started.
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
        self._unsure_till = Millis(now + flow_limit_ms)

    def judge(self, question: OwnerQuery, now: Millis) -> Ownership:
        """Return whose the flow is, as far as the agent can tell."""
        owned = self._flows.find(question.flow)
        if owned is not None and owned.ended_at is None:
            is_ours = owned.matches(question.acknowledged)
            return Ownership.OWNER if is_ours else Ownership.NOT_OWNER
        if owned is not None:
            # Its last packets are the backend server's to answer.
            return Ownership.OWNER
        return Ownership.UNKNOWN if now < self._unsure_till else Ownership.NOT_OWNER

    def begin_run(self, report: StatusReport, age_ms: Millis, now: Millis) -> None:
        """Take in the age of a run, once: the time of day may be set back later."""
        self._backend.note_age(age_ms, now)
        if self._saw_whole_run(report, age_ms, now):
            self._unsure_till = now

    def _saw_whole_run(self, report: StatusReport, age_ms: Millis, now: Millis) -> bool:
        """Whether all flows of the run have passed this agent."""
        youngest = max(now - self._started_at, self._backend.first_report_ms)
        return 0 <= age_ms <= youngest and report.number <= MOST_EARLY_REPORTS
