"""Check each property of flows on many generated histories, one seed each.

    PYTHONPATH=src:. python bench/flow_properties.py --examples 20000 --seed 1

Exit code 1 if a property fails.
"""

import argparse
import sys
import time

from tests.properties.proving import run
from tests.properties.table import PROPERTIES


def check(proof, examples, seed):
    """Print the result of one property and return whether it held."""
    start = time.monotonic()
    try:
        run(proof, proof.make, examples, seed)
        verdict = "held"
    except Exception as error:
        verdict = f"VIOLATED: {error!r}"
    seconds = time.monotonic() - start
    print(f"{proof.name}: examples={examples} seed={seed} {seconds:.0f}s {verdict}")
    return verdict == "held"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--property", choices=PROPERTIES, action="append")
    options = parser.parse_args()
    names = options.property or list(PROPERTIES)
    held = [check(PROPERTIES[name], options.examples, options.seed) for name in names]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
