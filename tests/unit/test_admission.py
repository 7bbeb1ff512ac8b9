import pytest

from papayagw._internal.core.admission import FairAdmission, UnlimitedAdmission
from papayagw._internal.core.concurrency_limit import AdaptiveLimit, FixedLimit
from papayagw._internal.models.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    AdmissionRequest,
    ReleaseReason,
)
from papayagw._internal.models.clock import Millis

ADMIT, QUEUE, REFUSE = AdmissionDecision
NOW = Millis(0)


def make_admission(limit=4, **bounds):
    policy = AdmissionPolicy(**{"max_client_share": 1.0, "queue_limit": 4, **bounds})
    return FairAdmission(policy, FixedLimit(limit))


def submit_all(admission, clients, now=NOW):
    return [
        admission.submit(AdmissionRequest(number, client), now)
        for number, client in enumerate(clients)
    ]


@pytest.mark.parametrize(
    ("bounds", "clients", "decisions"),
    [
        ({}, "aaaa", [ADMIT] * 4),
        ({}, "aaaaa", [ADMIT] * 4 + [QUEUE]),
        ({}, "a" * 9, [ADMIT] * 4 + [QUEUE] * 4 + [REFUSE]),
        ({}, "a" * 8 + "b", [ADMIT] * 4 + [QUEUE] * 5),
        ({"max_client_share": 0.75}, "aaaab", [ADMIT] * 3 + [QUEUE, ADMIT]),
        ({"max_flows": 2}, "aaa", [ADMIT, ADMIT, REFUSE]),
        ({"queue_timeout_ms": Millis(0)}, "a", [REFUSE]),
    ],
)
def test_submit(bounds, clients, decisions):
    assert submit_all(make_admission(**bounds), clients) == decisions


def test_baseline_without_limit_admits_everything():
    assert submit_all(UnlimitedAdmission(), "a" * 99) == [ADMIT] * 99


@pytest.mark.parametrize("end", list(ReleaseReason))
def test_flow_after_end_of_work_counts_only_as_open(end):
    admission = make_admission(limit=1)
    assert submit_all(admission, "ab") == [ADMIT, QUEUE]
    admission.finish_work(0, end, Millis(5))
    assert admission.poll(Millis(5)).admitted == (1,)
    assert (admission.in_progress, admission.flows) == (1, 2)


def test_idle_flow_counts_as_in_progress_after_new_request():
    admission = make_admission(limit=1)
    submit_all(admission, "a")
    admission.finish_work(0, ReleaseReason.IDLE, NOW)
    admission.start_work(0, NOW)
    assert admission.in_progress == 1
    admission.close(0)
    admission.start_work(0, NOW)
    assert admission.in_progress == 0


def test_client_with_least_work_in_progress_is_admitted_first():
    admission = make_admission(limit=3)
    submit_all(admission, "aaaaab")
    admission.close(0)
    assert admission.poll(NOW).admitted == (5,)


@pytest.mark.parametrize(("closed", "refused"), [(3, (4,)), (4, ())])
def test_full_queue_evicts_newest_request_of_client_with_most(closed, refused):
    admission = make_admission(limit=1)
    submit_all(admission, "aaaaab")
    admission.close(closed)
    assert admission.poll(NOW).refused == refused


@pytest.mark.parametrize(("deadline", "due"), [(None, 500), (90, 90), (900, 500)])
def test_queued_flow_expires_at_timeout_or_deadline(deadline, due):
    admission = make_admission(limit=1, queue_timeout_ms=Millis(500))
    submit_all(admission, "a")
    admission.submit(AdmissionRequest(7, "a", deadline), NOW)
    assert admission.next_at == due
    assert admission.poll(Millis(due - 1)).refused == ()
    assert admission.poll(Millis(due)).refused == (7,)


def run_limit(limit, latency_of, duration):
    for now in range(0, duration, 10):
        limit.record_answer(Millis(latency_of(now)), limit.limit, Millis(now))
    return limit.limit


@pytest.mark.parametrize(
    ("latency_of", "duration", "lowest", "highest"),
    [
        (lambda now: 20, 2_000, 100, 200),
        (lambda now: 20 if now < 500 else 100, 4_000, 4, 4),
        (lambda now: 20 if now % 100 else 200, 2_000, 100, 200),
    ],
    ids=["steady", "slowed", "mixed"],
)
def test_limit_follows_latency(latency_of, duration, lowest, highest):
    assert lowest <= run_limit(AdaptiveLimit(16, 4, 200), latency_of, duration)
    assert run_limit(AdaptiveLimit(16, 4, 200), latency_of, duration) <= highest


def test_long_overload_never_becomes_baseline():
    limit = AdaptiveLimit(16, 4, 1_000)
    # Beyond 30 concurrent flows the latency grows with the limit, as with a queue.
    run_limit(limit, lambda now: 20 * max(1, limit.limit / 30), 300_000)
    assert limit.limit < 120


def test_failures_lower_limit_once_per_interval():
    limit = AdaptiveLimit(100, 4, 200)
    for now in (0, 1, 2, 100):
        limit.record_failure(Millis(now))
    assert limit.limit == 81
