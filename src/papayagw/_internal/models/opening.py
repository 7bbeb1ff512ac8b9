"""What `connect` knows of the attempts to open a flow and what it does next."""

from dataclasses import dataclass

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.flow import FlowOutcome


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and when openings are tried again.

    Attributes
    ----------
    ratio : float
        Further tries allowed for each first try.
    floor_per_second : float
        Further tries allowed each second however few first tries there are.
    burst : float
        The most further tries that may be saved up.
    max_attempts : int
        The most attempts for one flow, the first one included.
    base_backoff_ms : Millis
        The longest wait before the second attempt; it doubles with each attempt.
    max_backoff_ms : Millis
        The longest wait before any attempt.
    """

    ratio: float = 0.1
    floor_per_second: float = 1.0
    burst: float = 100.0
    max_attempts: int = 4
    base_backoff_ms: Millis = Millis(25)
    max_backoff_ms: Millis = Millis(1_000)


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over and answers nothing any more.

    Attributes
    ----------
    attempt : int
        Its number, from 1.
    outcome : FlowOutcome or None
        What the agent told, or None if the attempt was abandoned without a word.
    handshake_completed : bool
        Whether this end completed the handshake; until then no agent can have
        delivered anything.
    answer_started : bool
        Whether bytes of the answer went on to the caller.
    replayable : bool
        Whether every byte that the caller sent is still at hand.
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
        When to open it.
    """

    attempt: int
    at: Millis


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Tell the caller how its flow ended.

    Attributes
    ----------
    outcome : FlowOutcome
        The truth over all attempts.
    """

    outcome: FlowOutcome


OpeningAction = Reopen | ReportOutcome
