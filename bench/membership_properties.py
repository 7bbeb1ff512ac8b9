"""Check each property of the membership on many generated histories.

    python -m bench.membership_properties --examples 20000 --seed 1
    python -m bench.membership_properties --mutations

Each property uses one seed. With ``--mutations`` each mechanism is replaced by a faulty
double that its property must detect. Exit code 1 if a property fails or a double is not
detected.
"""

import argparse
import sys

from bench.flow_mutations import detects_mutation
from bench.flow_properties import check
from tests.properties.membership_proof import MUTATIONS, PROOFS

PROPERTIES = {proof.name: proof for proof in PROOFS}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=2_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--property", choices=PROPERTIES, action="append")
    parser.add_argument("--mutations", action="store_true")
    options = parser.parse_args()
    if options.mutations:
        found = [
            detects_mutation(mutation, options.examples, options.seed)
            for mutation in MUTATIONS
        ]
        print(f"{sum(found)} of {len(found)} doubles found, seed={options.seed}")
        return 0 if all(found) else 1
    names = options.property or list(PROPERTIES)
    held = [check(PROPERTIES[name], options.examples, options.seed) for name in names]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
