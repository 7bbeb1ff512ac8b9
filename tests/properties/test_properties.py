import pytest

from tests.properties.proving import run
from tests.properties.table import MUTATIONS, PROPERTIES

EXAMPLES = 300
MUTATION_EXAMPLES = 2_000


@pytest.mark.parametrize("proof", PROPERTIES.values(), ids=lambda proof: proof.name)
def test_property_holds(proof):
    run(proof, proof.make, EXAMPLES)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_property_fails_for_mutation(mutation):
    with pytest.raises(AssertionError):
        run(mutation.proof, mutation.make, MUTATION_EXAMPLES, shrink=False)
