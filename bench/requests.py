"""Run a given set of concurrent requests, rather than requests at a given rate."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

import anyio

from papayagw._internal.load.client import run_request
from papayagw._internal.load.profiles import RequestKind
from papayagw._internal.load.report import LoadRecorder, LoadReport, compare_journals
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.journal_client import fetch_runs

_NANOS_PER_MICRO = 1_000


@dataclass(frozen=True, slots=True)
class Batch:
    """Requests of one kind to one endpoint.

    Attributes
    ----------
    kind : RequestKind
        Kind of the requests.
    target : Endpoint
        Endpoint to connect to.
    count : int
        Number of requests.
    concurrency : int
        Maximum number of requests open at the same time.
    """

    kind: RequestKind
    target: Endpoint
    count: int
    concurrency: int


async def run_batches(
    batches: Iterable[Batch], timeout: Millis, backends: Iterable[Endpoint] = ()
) -> LoadReport:
    """Run all batches concurrently and compare the outcomes with backend journals."""
    recorder = LoadRecorder()
    started = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for batch in batches:
            slots = anyio.Semaphore(batch.concurrency)
            for number in range(batch.count):
                request_id = f"{batch.kind.name.replace(' ', '-')}-{number}"
                tasks.start_soon(_run, batch, request_id, slots, timeout, recorder)
    seconds = time.monotonic() - started
    journals = [await fetch_runs(backend) for backend in backends]
    compared = compare_journals(recorder.outcomes_by_id, journals) if journals else None
    return recorder.make_report(seconds, compared)


async def _run(
    batch: Batch,
    request_id: str,
    slots: anyio.Semaphore,
    timeout: Millis,
    recorder: LoadRecorder,
) -> None:
    kind = batch.kind
    async with slots:
        started = time.monotonic_ns()

        def record_first_response() -> None:
            micros = (time.monotonic_ns() - started) // _NANOS_PER_MICRO
            recorder.record_latency(kind.name, micros)

        request = kind.make_request(request_id)
        outcome = await run_request(
            batch.target, kind, request, timeout, record_first_response
        )
        recorder.record_outcome(kind.name, request_id, outcome)
