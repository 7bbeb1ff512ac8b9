"""Load run that starts each request at its scheduled time."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from tqdm import tqdm

from papayagw._internal.core.arrivals import Arrival, plan_arrivals
from papayagw._internal.exceptions import PapayagwError, Step
from papayagw._internal.load.client import run_request
from papayagw._internal.load.profiles import RequestKind, Workload
from papayagw._internal.load.report import (
    LoadRecorder,
    LoadReport,
    compare_journals,
)
from papayagw._internal.load.verdict import Outcome
from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.journal_client import fetch_runs
from papayagw._internal.standins.workload import BackendKind

PROGRESS_BAR_MIN_MS = Millis(5_000)
"""Minimum duration of runs that show a progress bar."""

_NANOS_PER_MILLI = 1_000_000
_NANOS_PER_MICRO = 1_000
_NANOS_PER_SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load run.

    Attributes
    ----------
    workload : Workload
        Kinds of requests and their shares.
    targets : mapping
        Address to which the requests of each service are sent.
    rate : float
        Requests per second, all kinds together.
    duration : Millis
        Time during which requests are started, in milliseconds.
    timeout : Millis
        Time for which a caller waits for a response, in milliseconds.
    max_open : int
        Maximum number of open requests; further ones are recorded as not sent.
    seed : int
        Seed of the arrival times.
    run_id : str
        Prefix of each request id.
    backends : tuple of Endpoint
        Backend servers whose journals are read after the run.
    """

    workload: Workload
    targets: Mapping[BackendKind, Endpoint]
    rate: float
    duration: Millis
    timeout: Millis
    max_open: int
    seed: int
    run_id: str
    backends: tuple[Endpoint, ...] = ()


class LoadRun:
    """Run of the load generator.

    Parameters
    ----------
    plan : LoadPlan
        Parameters of the run.
    """

    def __init__(self, plan: LoadPlan):
        self._plan = plan
        self._recorder = LoadRecorder()
        self._open_count = 0
        self._started_ns = 0

    async def run(self) -> LoadReport:
        """Start the scheduled requests, wait until they end and return the report.

        Requests that would exceed `max_open` are recorded as not sent. If the plan
        names backend servers, their journals are compared with the outcomes.
        """
        self._started_ns = time.monotonic_ns()
        is_short = self._plan.duration < PROGRESS_BAR_MIN_MS
        total = round(self._plan.rate * self._plan.duration / MILLIS_PER_SECOND)
        with tqdm(total=total, disable=is_short or None, unit="request") as bar:
            async with anyio.create_task_group() as tasks:
                await self._start_requests(tasks, bar.update)
        seconds = (time.monotonic_ns() - self._started_ns) / _NANOS_PER_SECOND
        if not self._plan.backends:
            return self._recorder.make_report(seconds)
        journals = [await fetch_runs(one) for one in self._plan.backends]
        compared = compare_journals(self._recorder.outcomes_by_id, journals)
        return self._recorder.make_report(seconds, compared)

    async def _start_requests(
        self, tasks: TaskGroup, advance: Callable[[], object]
    ) -> None:
        """Start each request at its due time, unless too many requests are open."""
        plan = self._plan
        for arrival in plan_arrivals(
            plan.workload, plan.rate, plan.duration, plan.seed
        ):
            wait_ns = self._due_ns(arrival) - time.monotonic_ns()
            if wait_ns > 0:
                await anyio.sleep(wait_ns / _NANOS_PER_SECOND)
            advance()
            if self._open_count >= plan.max_open:
                self._record_outcome(arrival, Outcome.NOT_SENT)
                continue
            self._open_count += 1
            tasks.start_soon(self._run_arrival, arrival)

    async def _run_arrival(self, arrival: Arrival[RequestKind]) -> None:
        """Send a request and record its latency and outcome."""
        kind = arrival.kind
        target = self._plan.targets[kind.service]

        def on_first_line() -> None:
            latency_ns = time.monotonic_ns() - self._due_ns(arrival)
            self._recorder.record_latency(kind.name, latency_ns // _NANOS_PER_MICRO)

        request = kind.make_request(self._request_id(arrival))
        try:
            outcome = await run_request(
                target, kind, request, self._plan.timeout, on_first_line
            )
        finally:
            self._open_count -= 1
        self._record_outcome(arrival, outcome)

    def _record_outcome(self, arrival: Arrival[RequestKind], outcome: Outcome) -> None:
        name = arrival.kind.name
        self._recorder.record_outcome(name, self._request_id(arrival), outcome)

    def _request_id(self, arrival: Arrival[RequestKind]) -> str:
        return f"{self._plan.run_id}-{arrival.number}"

    def _due_ns(self, arrival: Arrival[RequestKind]) -> int:
        """Return the monotonic time at which a request is due, in nanoseconds."""
        return self._started_ns + arrival.due * _NANOS_PER_MILLI


def check_targets(plan: LoadPlan) -> None:
    """Check that each service of the workload has a target.

    Raises
    ------
    PapayagwError
        If a service has no target.
    """
    services = {share.kind.service for share in plan.workload}
    missing = sorted(one.value for one in services if one not in plan.targets)
    if missing:
        raise PapayagwError(
            f"no target for the services of the workload: {', '.join(missing)}",
            step=Step.SETTINGS,
            remedy="give a target for each service: --targets order=ip:port,...",
        )
