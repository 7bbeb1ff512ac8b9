"""Run soak tests for a range of seeds.

Example: ``python -m tests.soak --first 1 --count 50``.
"""

import argparse
import sys
import tempfile
import time
from pathlib import Path

from tests.soak.mutants import MUTANTS
from tests.soak.soak import Soak
from tools.fleet import claimed_block

FIRST_BLOCK = 200


def main():
    """Run the soak test for each seed; return 1 if any found a violation."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--first", type=int, default=int(time.time()))
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument(
        "--duration",
        type=float,
        default=6.0,
        help="time in which faults begin, in seconds",
    )
    parser.add_argument(
        "--size", type=int, default=3, help="number of balancers and of agents"
    )
    parser.add_argument(
        "--without", choices=sorted(MUTANTS), help="mechanism to disable"
    )
    parser.add_argument(
        "--flow-requests", type=int, help="number of requests on each flow"
    )
    parser.add_argument(
        "--store-losses",
        type=int,
        default=0,
        help="number of restorations of the store and of silenced watches",
    )
    parser.add_argument(
        "--changes",
        type=int,
        default=0,
        help="number of moved routes, with foreign reports, reused addresses and "
        "restarts, instead of the other faults",
    )
    options = parser.parse_args()
    failed = []
    with claimed_block(FIRST_BLOCK) as block:
        for seed in range(options.first, options.first + options.count):
            folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            soak = Soak(
                seed,
                folder,
                block,
                options.duration,
                options.size,
                options.without,
                options.flow_requests,
                options.store_losses,
                options.changes,
            )
            violations = soak.run()
            print(
                f"seed {seed}: {len(soak.plan)} faults, {violations or 'no violations'}"
            )
            if violations:
                failed.append(seed)
                print(f"  logs in {folder}")
            sys.stdout.flush()
    print(f"{options.count} seeds, {len(failed)} with violations: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
