"""Submission of a configuration change to the platform's service."""

from random import Random

import anyio
from returns.result import Failure

from papayagw._internal.core.backoff import Backoff
from papayagw._internal.core.submission import (
    Finish,
    Outcome,
    Proposal,
    Read,
    Submission,
    Write,
)
from papayagw._internal.exceptions import PlatformUnreachableError
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.net.configuration_store import (
    ConfigurationStore,
    StoreError,
    SwapConflict,
)


async def submit(
    store: ConfigurationStore, proposal: Proposal, limit_ms: Millis, random: Random
) -> Outcome:
    """Submit a change and return its outcome.

    Parameters
    ----------
    store : ConfigurationStore
        The site's configuration in the platform's service.
    proposal : Proposal
        The change to submit.
    limit_ms : Millis
        How long to retry while the service doesn't respond.
    random : Random
        Random generator for the jitter between retries.
    """
    submission = Submission(proposal)
    backoff = Backoff(random)
    with anyio.move_on_after(to_seconds(limit_ms)):
        while not isinstance(submission.action, Finish):
            answered = await _run_action(submission, store)
            if not answered:
                await anyio.sleep(to_seconds(backoff.next_wait()))
    submission.on_deadline()
    assert isinstance(submission.action, Finish)
    return submission.action.outcome


async def _run_action(submission: Submission, store: ConfigurationStore) -> bool:
    """Run the next action; return False if the service did not respond."""
    match submission.action:
        case Read():
            return await _read(submission, store)
        case Write() as write:
            return await _write(submission, store, write)
        case Finish():
            return True


async def _read(submission: Submission, store: ConfigurationStore) -> bool:
    """Read the configuration; return False if the service did not respond."""
    result = await store.read()
    if isinstance(result, Failure):
        return _handle_failure(submission, result.failure())
    stored = result.unwrap()
    submission.on_read(stored.configuration, stored.key_revision)
    return True


async def _write(
    submission: Submission, store: ConfigurationStore, write: Write
) -> bool:
    """Write the configuration; return False if the service did not respond."""
    result = await store.swap(write.configuration, write.expected)
    if isinstance(result, Failure):
        return _handle_failure(submission, result.failure())
    outcome = result.unwrap()
    if isinstance(outcome, SwapConflict):
        submission.on_conflict(outcome.current)
    else:
        submission.on_written()
    return True


def _handle_failure(submission: Submission, error: StoreError) -> bool:
    """Process a failed call; return False if the service did not respond."""
    if isinstance(error, PlatformUnreachableError):
        submission.on_no_answer()
        return False
    submission.on_refusal(error.what)
    return True
