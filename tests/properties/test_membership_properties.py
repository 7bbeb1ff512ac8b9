import pytest

from tests.properties.membership_proof import (
    FLEET_PROOF,
    MUTATIONS,
    ORDER_PROOF,
    VECTOR_PROOF,
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
def test_property_turns_red_without_mechanism(mutation):
    with pytest.raises(AssertionError):
        run(mutation.proof, mutation.make, 150, shrink=False)
