"""Registry of all properties and mutations, for tests and bench commands."""

from tests.properties import (
    admission_proof,
    isolation_proof,
    lifecycle_proof,
    retry_proof,
    world_proof,
)

MODULES = (lifecycle_proof, retry_proof, admission_proof, isolation_proof, world_proof)
PROPERTIES = {module.PROOF.name: module.PROOF for module in MODULES}
MUTATIONS = [mutation for module in MODULES for mutation in module.MUTATIONS]
