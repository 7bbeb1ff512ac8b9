"""Admission control of an agent for its backend server.

A flow counts as work in progress from its admission to the first byte of its
answer. An open feed that has been answered, or a flow without a request yet,
counts only against the maximum number of flows. Long-lived flows therefore don't
use up the concurrency limit, and the work of an overloaded backend server stays
counted until it answers. The caller must call `poll` after each `finish_work` and
`close`, and at `next_at`.
"""

import math
from dataclasses import dataclass
from typing import Protocol

from papayagw._internal.core.concurrency_limit import (
    AdaptiveLimit,
    ConcurrencyLimit,
    FixedLimit,
)
from papayagw._internal.core.fair_queue import FairQueue
from papayagw._internal.models.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    AdmissionRequest,
    AdmissionResults,
    FlowNumber,
    ReleaseReason,
)
from papayagw._internal.models.clock import Millis


class Admission(Protocol):
    """Admission control, which decides when an accepted flow may use the backend."""

    @property
    def next_at(self) -> Millis | None:
        """Time at which `poll` is due if no event comes before, or None."""

    def submit(self, request: AdmissionRequest, now: Millis) -> AdmissionDecision:
        """Admit, queue or refuse an accepted flow."""

    def finish_work(self, flow: FlowNumber, reason: ReleaseReason, now: Millis) -> None:
        """Record that a flow has no request in progress any more; it may stay open."""

    def start_work(self, flow: FlowNumber, now: Millis) -> None:
        """Record that an admitted flow without a request in progress sends one."""

    def close(self, flow: FlowNumber) -> None:
        """Remove a flow, whether it is queued, in progress or idle."""

    def poll(self, now: Millis) -> AdmissionResults:
        """Admit queued flows within the limits and refuse expired ones; return both."""


@dataclass(frozen=True, slots=True)
class _Work:
    """Request in progress: its client and the time of its admission."""

    client: str
    admitted_at: Millis


class FairAdmission:
    """Admission under a concurrency limit with fair sharing between clients.

    Parameters
    ----------
    policy : AdmissionPolicy
        Limits on flows, client shares and queueing.
    limit : ConcurrencyLimit
        Limit on the work in progress.
    """

    def __init__(self, policy: AdmissionPolicy, limit: ConcurrencyLimit):
        self._policy = policy
        self._limit = limit
        self._queue = FairQueue(policy.queue_limit)
        self._work: dict[FlowNumber, _Work] = {}
        self._open: dict[FlowNumber, str] = {}
        self._in_progress_of: dict[str, int] = {}
        self._evicted: list[FlowNumber] = []

    @property
    def limit(self) -> int:
        """Current concurrency limit."""
        return self._limit.limit

    @property
    def in_progress(self) -> int:
        """Number of flows that await the first byte of their answer."""
        return len(self._work)

    @property
    def flows(self) -> int:
        """Number of admitted flows that are open."""
        return len(self._open)

    @property
    def waiting(self) -> int:
        """Number of queued flows."""
        return len(self._queue)

    @property
    def next_at(self) -> Millis | None:
        """Time at which `poll` is due if no event comes before, or None."""
        return self._queue.next_expiry

    def submit(self, request: AdmissionRequest, now: Millis) -> AdmissionDecision:
        """Admit, queue or refuse an accepted flow."""
        expires_at = self._compute_expiry(request, now)
        if self.flows >= self._policy.max_flows or expires_at <= now:
            return AdmissionDecision.REFUSE
        # A client with queued requests has used up its share, or `poll` is due.
        if not self._queue.has_client(request.client) and self._may_admit(
            request.client
        ):
            self._add_work(request.flow, request.client, now)
            return AdmissionDecision.ADMIT
        evicted = self._queue.push(request, expires_at)
        if evicted == request.flow:
            return AdmissionDecision.REFUSE
        if evicted is not None:
            self._evicted.append(evicted)
        return AdmissionDecision.QUEUE

    def finish_work(self, flow: FlowNumber, reason: ReleaseReason, now: Millis) -> None:
        """Record that a flow has no request in progress any more; it may stay open."""
        work = self._work.get(flow)
        if work is None:
            return
        if reason is ReleaseReason.ANSWERED:
            latency = Millis(now - work.admitted_at)
            self._limit.record_answer(latency, self.in_progress, now)
        elif reason is ReleaseReason.FAILED:
            self._limit.record_failure(now)
        self._remove_work(flow)

    def start_work(self, flow: FlowNumber, now: Millis) -> None:
        """Record that an admitted flow without a request in progress sends one."""
        client = self._open.get(flow)
        if client is not None and flow not in self._work:
            self._add_work(flow, client, now)

    def close(self, flow: FlowNumber) -> None:
        """Remove a flow, whether it is queued, in progress or idle."""
        self._queue.remove(flow)
        if flow in self._evicted:
            self._evicted.remove(flow)
        self._remove_work(flow)
        self._open.pop(flow, None)

    def poll(self, now: Millis) -> AdmissionResults:
        """Admit queued flows within the limits and refuse expired ones; return both."""
        refused = (*self._evicted, *self._queue.expire(now))
        self._evicted.clear()
        admitted: list[FlowNumber] = []
        while self.flows < self._policy.max_flows:
            request = self._queue.pop(self._rank_client)
            if request is None:
                break
            self._add_work(request.flow, request.client, now)
            admitted.append(request.flow)
        return AdmissionResults(tuple(admitted), refused)

    def _compute_expiry(self, request: AdmissionRequest, now: Millis) -> Millis:
        """Return when the request leaves the queue: at its deadline or the time-out."""
        expires_at = Millis(now + self._policy.queue_timeout_ms)
        return (
            expires_at
            if request.deadline is None
            else min(expires_at, request.deadline)
        )

    def _may_admit(self, client: str) -> bool:
        """Return whether the concurrency limit and the client's share leave room."""
        share = math.ceil(self.limit * self._policy.max_client_share)
        own = self._in_progress_of.get(client, 0)
        return self.in_progress < self.limit and own < max(1, share)

    def _rank_client(self, client: str) -> float | None:
        """Return the client's requests in progress; None if it may start no more."""
        if not self._may_admit(client):
            return None
        return self._in_progress_of.get(client, 0)

    def _add_work(self, flow: FlowNumber, client: str, now: Millis) -> None:
        """Count an admitted flow as open and its request as in progress."""
        self._open[flow] = client
        self._work[flow] = _Work(client, now)
        self._in_progress_of[client] = self._in_progress_of.get(client, 0) + 1

    def _remove_work(self, flow: FlowNumber) -> None:
        """Stop counting a flow's request as in progress."""
        work = self._work.pop(flow, None)
        if work is None:
            return
        remaining = self._in_progress_of[work.client] - 1
        if remaining:
            self._in_progress_of[work.client] = remaining
        else:
            del self._in_progress_of[work.client]


def make_adaptive_admission(policy: AdmissionPolicy) -> FairAdmission:
    """Return admission control with an adaptive limit, as agents use it."""
    limit = AdaptiveLimit(policy.initial_limit, policy.min_limit, policy.max_limit)
    return FairAdmission(policy, limit)


def make_fixed_admission(policy: AdmissionPolicy) -> FairAdmission:
    """Return admission control with the fixed limit `policy.max_limit`.

    Serves as a baseline for the adaptive limit.
    """
    return FairAdmission(policy, FixedLimit(policy.max_limit))


class UnlimitedAdmission:
    """Admission control that admits every flow at once, a baseline for comparisons."""

    @property
    def next_at(self) -> Millis | None:
        """None, as no flow is ever queued."""
        return None

    def submit(self, request: AdmissionRequest, now: Millis) -> AdmissionDecision:
        """Admit the flow."""
        return AdmissionDecision.ADMIT

    def finish_work(self, flow: FlowNumber, reason: ReleaseReason, now: Millis) -> None:
        """Do nothing, as no flows are counted."""

    def start_work(self, flow: FlowNumber, now: Millis) -> None:
        """Do nothing, as no flows are counted."""

    def close(self, flow: FlowNumber) -> None:
        """Do nothing, as no flows are counted."""

    def poll(self, now: Millis) -> AdmissionResults:
        """Return empty results, as no flow is ever queued."""
        return AdmissionResults()
