"""Fault injection and call counts for the stand-ins of the platform's service."""

from collections import Counter
from dataclasses import dataclass, fields
from typing import Any

from papayagw._internal.models.clock import Millis


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults that are currently injected.

    Attributes
    ----------
    outage : bool
        Whether every call fails and open watches are ended.
    delay_ms : Millis
        Delay before a call takes effect, in milliseconds.
    answer_delay_ms : Millis
        Delay of the response after the call took effect, in milliseconds.
    lost_answers : int
        Number of subsequent transactions that take effect but whose responses are
        lost.
    """

    outage: bool = False
    delay_ms: Millis = Millis(0)
    answer_delay_ms: Millis = Millis(0)
    lost_answers: int = 0

    @classmethod
    def from_message(cls, message: dict[str, Any]) -> "Faults":
        """Return the faults of a control message; faults that it omits are off."""
        known = {one.name for one in fields(cls)}
        return cls(**{name: one for name, one in message.items() if name in known})


class CallCounts:
    """Number of calls of each kind; a watch counts once, however long it stays open."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    @property
    def by_kind(self) -> dict[str, int]:
        """Number of calls by kind."""
        return dict(self._counts)

    def add(self, kind: str) -> None:
        """Count one call."""
        self._counts[kind] += 1
