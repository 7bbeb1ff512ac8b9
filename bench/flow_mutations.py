"""Replace each mechanism by a faulty double and check that its property fails.

    PYTHONPATH=src:. python bench/flow_mutations.py

Exit code 1 if a property still holds without its mechanism.
"""

import argparse
import sys

from tests.properties.proving import run
from tests.properties.table import MUTATIONS


def detects_mutation(mutation, examples, seed):
    """Print and return whether the property detects the faulty double."""
    try:
        run(mutation.proof, mutation.make, examples, seed, shrink=False)
    except AssertionError as error:
        reason = next(iter(str(error).splitlines()), "a bare assertion")
        print(f"{mutation.proof.name}/{mutation.name}: red ({reason})")
        return True
    print(f"{mutation.proof.name}/{mutation.name}: STAYED GREEN")
    return False


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=5_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    found = [
        detects_mutation(mutation, options.examples, options.seed)
        for mutation in MUTATIONS
    ]
    print(f"{sum(found)} of {len(found)} doubles found, seed={options.seed}")
    return 0 if all(found) else 1


if __name__ == "__main__":
    sys.exit(main())
