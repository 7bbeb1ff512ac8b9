"""The faults that a stand-in of the platform's service shows on demand."""

from collections import Counter
from dataclasses import dataclass, fields
from typing import Any

from papayagw._internal.models.clock import Millis


@dataclass(frozen=True, slots=True)
class Faults:
    """What is wrong now.

    Attributes
    ----------
    outage : bool
        Every call fails, and open watches are cut.
    delay_ms : Millis
        How long a call waits before it takes effect.
    answer_delay_ms : Millis
        How long an answer waits after the call took effect.
    lost_answers : int
        How many of the next writes take effect and then fail.
    """

    outage: bool = False
    delay_ms: Millis = Millis(0)
    answer_delay_ms: Millis = Millis(0)
    lost_answers: int = 0

    @classmethod
    def from_message(cls, message: dict[str, Any]) -> "Faults":
        """Return the faults that a control message names; all others are off."""
        known = {one.name for one in fields(cls)}
        return cls(**{name: one for name, one in message.items() if name in known})


class CallCounts:
    """How many calls of each kind came, a waiting watch as one."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    @property
    def by_kind(self) -> dict[str, int]:
        """The counts by kind."""
        return dict(self._counts)

    def add(self, kind: str) -> None:
        """Count one call."""
        self._counts[kind] += 1
