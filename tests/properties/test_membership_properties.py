from contextlib import nullcontext

import pytest

from tests.lib.fleet import Network
from tests.lib.fleet_events import Event, Step
from tests.properties.membership_proof import (
    FLEET_PROOF,
    MUTATIONS,
    ORDER_PROOF,
    VECTOR_PROOF,
    check_fleet,
)
from tests.properties.proving import run


@pytest.mark.parametrize(
    ("proof", "examples"),
    [(ORDER_PROOF, 300), (VECTOR_PROOF, 300), (FLEET_PROOF, 25)],
    ids=lambda one: getattr(one, "name", None),
)
def test_property_holds(proof, examples):
    run(proof, proof.make, examples)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda one: one.name)
def test_property_fails_without_mechanism(mutation):
    with pytest.raises(AssertionError):
        run(mutation.proof, mutation.make, 150, shrink=False)


REGRESSION_HISTORIES = [
    # After a pause, a balancer accepted heartbeats that were as old as the pause as
    # refutations of suspicions.
    (
        0,
        Network(1, 0, 0.0, 0.0),
        [
            Step(Event.DRAIN, 0, 100),
            Step(Event.DRAIN, 0, 100),
            Step(Event.FREEZE_BALANCER, 0, 100),
            Step(Event.CLOSE, 0, 3_000),
            Step(Event.KILL_AGENT, 1, 12_000),
        ],
    ),
]


@pytest.mark.parametrize("history", REGRESSION_HISTORIES)
def test_property_holds_for_regression_history(history):
    check_fleet(nullcontext, history)
