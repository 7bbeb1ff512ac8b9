"""Retry policy of `connect`, with the events and actions of opening a flow."""

from dataclasses import dataclass

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.flow import FlowOutcome


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits and delays of opening retries.

    Attributes
    ----------
    ratio : float
        Retries allowed for each first attempt.
    floor_per_second : float
        Retries allowed per second regardless of the number of first attempts.
    burst : float
        The maximum number of unused retries that may accumulate.
    max_attempts : int
        The maximum number of attempts for a flow, including the first one.
    base_backoff_ms : Millis
        The upper bound in ms of the delay before the second attempt; it doubles
        with each further attempt.
    max_backoff_ms : Millis
        The upper bound in ms of the delay before any attempt.
    """

    ratio: float = 0.1
    floor_per_second: float = 1.0
    burst: float = 100.0
    max_attempts: int = 4
    base_backoff_ms: Millis = Millis(25)
    max_backoff_ms: Millis = Millis(1_000)


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; no more data arrives from it.

    Attributes
    ----------
    attempt : int
        The number of the attempt, starting at 1.
    outcome : FlowOutcome or None
        The outcome sent by the agent, or None if the attempt was abandoned without
        one.
    handshake_completed : bool
        Whether the handshake was completed on the caller's side; before that no
        agent can have delivered bytes.
    answer_started : bool
        Whether bytes of the answer were passed on to the caller.
    replayable : bool
        Whether all bytes that the caller sent are still buffered.
    """

    attempt: int
    outcome: FlowOutcome | None
    handshake_completed: bool
    answer_started: bool = False
    replayable: bool = True


@dataclass(frozen=True, slots=True)
class Reopen:
    """Open the flow again.

    Attributes
    ----------
    attempt : int
        The number of the attempt.
    at : Millis
        The time at which to start it.
    """

    attempt: int
    at: Millis


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Report the final outcome of a flow to the caller.

    Attributes
    ----------
    outcome : FlowOutcome
        The outcome over all attempts.
    """

    outcome: FlowOutcome


OpeningAction = Reopen | ReportOutcome
