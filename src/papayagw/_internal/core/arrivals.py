"""Open-loop request schedule of the load generator.

A closed-loop generator sends the next request after the previous answer, so it
sends fewer requests while the system is slow, which hides the slow period from the
measurement (coordinated omission). Here the start times are fixed in advance and
latency is measured from them, independent of earlier requests.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Generic, TypeVar

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis

Kind = TypeVar("Kind")


@dataclass(frozen=True, slots=True)
class Share(Generic[Kind]):
    """Kind of request with its share of all arrivals.

    Attributes
    ----------
    kind : Kind
        Kind of request.
    weight : float
        Share of all arrivals, relative to the other weights.
    """

    kind: Kind
    weight: float


@dataclass(frozen=True, slots=True)
class Arrival(Generic[Kind]):
    """Scheduled request.

    Attributes
    ----------
    number : int
        Sequence number within the run, starting at 0.
    due : Millis
        Start time in ms from the start of the run.
    kind : Kind
        Kind of request.
    """

    number: int
    due: Millis
    kind: Kind


def plan_arrivals(
    shares: Sequence[Share[Kind]], rate: float, duration: Millis, seed: int
) -> Iterator[Arrival[Kind]]:
    """Yield the arrivals of a Poisson process in chronological order.

    Parameters
    ----------
    shares : sequence of Share
        Kinds of requests with their weights.
    rate : float
        Arrivals per second over all kinds.
    duration : Millis
        Length of the run in ms.
    seed : int
        Seed of the random generator; equal seeds give equal arrivals.
    """
    random = Random(seed)
    kinds = [share.kind for share in shares]
    weights = [share.weight for share in shares]
    due, number = 0.0, 0
    while (due := due + random.expovariate(rate) * MILLIS_PER_SECOND) < duration:
        kind = random.choices(kinds, weights)[0]
        yield Arrival(number, Millis(int(due)), kind)
        number += 1
