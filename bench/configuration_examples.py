"""Check the properties of concurrent operators and restored stores at length.

Run: python -m bench.configuration_examples --examples 20000 --seed 1
"""

import sys
import time

import fire
from hypothesis import HealthCheck, given, seed, settings

from tests.properties.test_racing_operators import (
    CALM,
    FAULTS,
    RESTORES,
    check,
    check_nodes,
    schedules,
)

PROPERTIES = {
    "one wins each version, each operator is told the truth": (check, CALM + FAULTS),
    "versions never fall": (check_nodes, CALM + FAULTS + RESTORES),
}


def run_property(check_it, names, operators, examples, seed_number):
    """Return the failure report of a counterexample, or "" if none was found."""

    @seed(seed_number)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(schedule=schedules(names))
    def run(schedule):
        check_it(operators, schedule)

    try:
        run()
    except AssertionError as error:
        return repr(error)
    return ""


def main(examples=20_000, seed=1):
    """Print the result of each property; exit with 1 if one is violated."""
    violated = False
    for name, (check_it, names) in PROPERTIES.items():
        for operators in (2, 10):
            start = time.monotonic()
            report = run_property(check_it, names, operators, examples, seed)
            violated = violated or bool(report)
            seconds = time.monotonic() - start
            print(
                f"{name}: {operators} operators, {examples} examples, seed {seed}:"
                f" {report or '0 violations'} ({seconds:.0f} s)",
                flush=True,
            )
    sys.exit(int(violated))


if __name__ == "__main__":
    fire.Fire(main)
