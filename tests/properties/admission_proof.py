"""Properties of admission control under any order of arrivals and work ends."""

from dataclasses import dataclass

from hypothesis import strategies as st

from papayagw._internal.core.admission import FairAdmission, UnlimitedAdmission
from papayagw._internal.core.concurrency_limit import AdaptiveLimit, FixedLimit
from papayagw._internal.core.fair_queue import FairQueue
from papayagw._internal.models.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    AdmissionRequest,
    ReleaseReason,
)
from papayagw._internal.models.clock import Millis
from tests.properties.proving import Mutation, Property

POLICY = AdmissionPolicy(
    initial_limit=2,
    min_limit=1,
    max_limit=2,
    max_flows=6,
    max_client_share=0.5,
    queue_limit=3,
    queue_timeout_ms=Millis(50),
)


@dataclass(frozen=True)
class Arrival:
    """Arrival of a flow of `client`, with a deadline in ms from now or None."""

    client: str
    deadline_after: int | None


@dataclass(frozen=True)
class End:
    """End of the work of an open flow, which may stay open."""

    which: int
    end: ReleaseReason
    closes: bool


@dataclass(frozen=True)
class Wait:
    """Passage of `duration` ms."""

    duration: int


ARRIVALS = st.builds(
    Arrival, st.sampled_from("aaabc"), st.one_of(st.none(), st.integers(0, 80))
)
ENDS = st.builds(End, st.integers(0, 20), st.sampled_from(ReleaseReason), st.booleans())
WAITS = st.builds(Wait, st.integers(1, 60))
HISTORIES = st.lists(st.one_of(ARRIVALS, ARRIVALS, ARRIVALS, ENDS, WAITS), max_size=60)


class FlowTracker:
    """Model of all flows, independent of the implementation under test."""

    def __init__(self, admission):
        self.admission = admission
        self.now = Millis(0)
        self.arrived = 0
        self.waiting = {}
        self.open = []
        self.working = {}

    def arrive(self, step):
        flow, self.arrived = self.arrived, self.arrived + 1
        deadline = (
            None
            if step.deadline_after is None
            else Millis(self.now + step.deadline_after)
        )
        decision = self.admission.submit(
            AdmissionRequest(flow, step.client, deadline), self.now
        )
        if decision is AdmissionDecision.ADMIT:
            self.start(flow, step.client)
        elif decision is AdmissionDecision.QUEUE:
            last = self.now + POLICY.queue_timeout_ms
            expires_at = last if deadline is None else min(last, deadline)
            self.waiting[flow] = (step.client, expires_at)

    def start(self, flow, client):
        own = sum(one == client for one in self.working.values())
        assert len(self.working) < POLICY.max_limit, "concurrency limit exceeded"
        assert own < POLICY.max_limit * POLICY.max_client_share, "client share exceeded"
        self.working[flow] = client
        self.open.append(flow)
        assert len(self.open) <= POLICY.max_flows, "maximum number of flows exceeded"

    def end(self, step):
        if step.which % 3 == 0 and self.waiting:
            flow, _ = self.waiting.popitem()
            self.admission.close(flow)
            return
        if not self.open:
            return
        flow = self.open[step.which % len(self.open)]
        self.admission.finish_work(flow, step.end, self.now)
        self.working.pop(flow, None)
        if step.closes:
            self.admission.close(flow)
            self.open.remove(flow)

    def poll(self):
        results = self.admission.poll(self.now)
        for flow in results.refused:
            del self.waiting[flow]
        for flow in results.admitted:
            client, expires_at = self.waiting.pop(flow)
            assert expires_at > self.now, "admitted after its deadline"
            self.start(flow, client)
        assert len(self.waiting) <= POLICY.queue_limit, "queue limit exceeded"
        assert all(expires_at > self.now for _, expires_at in self.waiting.values())
        self.check_no_idle_capacity()

    def check_no_idle_capacity(self):
        """Check that no flow is queued while the backend server is idle."""
        blocked = self.working or len(self.open) >= POLICY.max_flows
        assert blocked or not self.waiting, (
            "flow queued although the backend server is idle"
        )


def check(make, history):
    """Run a history, then advance time until all queued flows have expired."""
    tracker = FlowTracker(make())
    for step in history:
        match step:
            case Arrival():
                tracker.arrive(step)
            case End():
                tracker.end(step)
            case Wait(duration):
                tracker.now = Millis(tracker.now + duration)
        tracker.poll()
    while tracker.waiting:
        due = tracker.admission.next_at
        assert due is not None and due > tracker.now, "queued flow without a due time"
        tracker.now = due
        tracker.poll()


class NeverExpires(FairQueue):
    """Keeps flows queued after they have expired."""

    def expire(self, now):
        return ()


class Unbounded(FairQueue):
    """Queues any number of flows."""

    def push(self, request, expires_at):
        self._capacity = len(self) + 1
        return super().push(request, expires_at)


class ForgetsEvicted(FairAdmission):
    """Never reports evicted flows as refused."""

    def poll(self, now):
        self._evicted.clear()
        return super().poll(now)


class IgnoresClientShare(FairAdmission):
    """Lets one client use the whole concurrency limit."""

    def _may_admit(self, client):
        return self.in_progress < self.limit


def make_factory(kind=FairAdmission, queue=None):
    """Return a factory of admission control or of a mutant."""

    def make():
        limit = AdaptiveLimit(POLICY.initial_limit, POLICY.min_limit, POLICY.max_limit)
        admission = kind(POLICY, limit)
        if queue is not None:
            admission._queue = queue(POLICY.queue_limit)
        return admission

    return make


PROOF = Property("admission", HISTORIES, check, make_factory())
MUTATIONS = [
    Mutation(name, PROOF, make)
    for name, make in {
        "NoLimit": UnlimitedAdmission,
        "HighFixedLimit": lambda: FairAdmission(POLICY, FixedLimit(99)),
        "NeverExpires": make_factory(queue=NeverExpires),
        "UnboundedQueue": make_factory(queue=Unbounded),
        "ForgetsEvicted": make_factory(ForgetsEvicted),
        "IgnoresClientShare": make_factory(IgnoresClientShare),
    }.items()
]
