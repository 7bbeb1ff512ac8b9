"""Properties as data: run one on the real mechanism or on a double of it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis.strategies import SearchStrategy

SEARCH = (Phase.explicit, Phase.generate)


@dataclass(frozen=True)
class Property:
    """What must hold of a mechanism for every drawn history.

    Attributes
    ----------
    name : str
        The name that commands take.
    histories : SearchStrategy
        Where the histories come from.
    check : callable
        Takes a factory of the mechanism and a history; raises AssertionError.
    make : callable
        The factory of the real mechanism.
    """

    name: str
    histories: SearchStrategy
    check: Callable[[Any, Any], None]
    make: Any


@dataclass(frozen=True)
class Mutation:
    """A double with one mechanism turned off, which its property must find."""

    name: str
    proof: Property
    make: Any


def run(proof, make, examples, seed_number=None, shrink=True):
    """Check a property; derandomised unless a seed is given."""

    def body(history):
        proof.check(make, history)

    test = given(history=proof.histories)(body)
    if seed_number is not None:
        test = seed(seed_number)(test)
    settings(
        max_examples=examples,
        derandomize=seed_number is None,
        database=None,
        deadline=None,
        phases=(*SEARCH, Phase.shrink) if shrink else SEARCH,
        suppress_health_check=list(HealthCheck),
    )(test)()
