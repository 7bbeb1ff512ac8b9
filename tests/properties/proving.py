"""Property tests as data, to be run on the implementation or on mutants of it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis.strategies import SearchStrategy

SEARCH = (Phase.explicit, Phase.generate)


@dataclass(frozen=True)
class Property:
    """Property that an implementation must satisfy for every generated history.

    Attributes
    ----------
    name : str
        Name of the property, as accepted by commands.
    histories : SearchStrategy
        Strategy that generates the histories.
    check : callable
        Takes a factory of the implementation and a history; raises AssertionError
        if the property is violated.
    make : callable
        Factory of the implementation.
    """

    name: str
    histories: SearchStrategy
    check: Callable[[Any, Any], None]
    make: Any


@dataclass(frozen=True)
class Mutation:
    """Mutant with one mechanism disabled, for which the property must fail."""

    name: str
    proof: Property
    make: Any


def run(proof, make, examples, seed_number=None, shrink=True):
    """Check a property on `make`; derandomised unless a seed is given."""

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
