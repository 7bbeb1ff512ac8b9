"""Open-loop arrivals: when requests start, whatever became of earlier ones.

A closed loop sends the next request when an answer has come, and so sends less
while the system is slow, just when it ought to measure (coordinated omission).
Here the times are fixed beforehand and latency counts from them.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Generic, TypeVar

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis

Kind = TypeVar("Kind")


@dataclass(frozen=True, slots=True)
class Share(Generic[Kind]):
    """One kind of request and how often it comes.

    Attributes
    ----------
    kind : Kind
        What is asked for.
    weight : float
        Its part of all arrivals, relative to the other weights.
    """

    kind: Kind
    weight: float


@dataclass(frozen=True, slots=True)
class Arrival(Generic[Kind]):
    """A request that is due.

    Attributes
    ----------
    number : int
        Counts the arrivals of a run from 0.
    due : Millis
        When it starts, from the start of the run.
    kind : Kind
        What is asked for.
    """

    number: int
    due: Millis
    kind: Kind


def plan_arrivals(
    shares: Sequence[Share[Kind]], rate: float, duration: Millis, seed: int
) -> Iterator[Arrival[Kind]]:
    """Yield the arrivals of a Poisson process in the order of their times.

    Parameters
    ----------
    shares : sequence of Share
        The kinds of requests.
    rate : float
        Arrivals a second, all kinds together.
    duration : Millis
        The length of the run.
    seed : int
        The same seed gives the same arrivals.
    """
    random = Random(seed)
    kinds = [share.kind for share in shares]
    weights = [share.weight for share in shares]
    due, number = 0.0, 0
    while (due := due + random.expovariate(rate) * MILLIS_PER_SECOND) < duration:
        kind = random.choices(kinds, weights)[0]
        yield Arrival(number, Millis(int(due)), kind)
        number += 1
