"""Compare the placement policies in the load model, as in docs/design/even-load.md.

python -m bench.even_load SIZE...    # of 24x50, 840x12, faults-24x50, faults-840x12
"""

import sys
from dataclasses import astuple, replace
from statistics import fmean

from bench.placement_model import BASELINES, Case, run_case
from papayagw._internal.core.plain.placement.even_load import EvenLoadChooser

SEEDS = (1, 2, 3)
SIZES = {"24x50": Case(24, 50), "840x12": Case(840, 12, length_ms=16_000)}
LOADS = (0.6, 0.8, 0.95)
FAULTS = {
    "half of the reports lost": {"lost_reports": 0.5},
    "reports 1 s old": {"report_delay_ms": 1_000},
    "a server restarted": {"restarts": 1},
}
HEADER = (
    "| case | policy | wait, mean | wait, p99 | response, mean | response, p99 "
    "| busiest / mean | unserved | returned per flow |"
)


def list_cases(size):
    """Yield the name, case and policies of each group of rows."""
    even = {"even": EvenLoadChooser}
    if size in SIZES:
        for load in LOADS:
            yield f"{size}, {load}", replace(SIZES[size], load=load), BASELINES | even
        return
    base = size.removeprefix("faults-")
    few = {"least wait": BASELINES["least wait"]} | even
    for name, fault in FAULTS.items():
        yield f"{base}, 0.8, {name}", replace(SIZES[base], **fault), few


def main():
    print(HEADER)
    print("|---|---|" + "---|" * 7)
    for size in sys.argv[1:]:
        for name, case, policies in list_cases(size):
            for policy, make_chooser in policies.items():
                runs = [
                    run_case(replace(case, seed=one), make_chooser) for one in SEEDS
                ]
                means = map(fmean, zip(*map(astuple, runs), strict=True))
                wait, p99, answer, answer_p99, busiest, unserved, returned = means
                print(
                    f"| {name} | {policy} | {wait:.1f} | {p99:.0f} | {answer:.1f} "
                    f"| {answer_p99:.0f} | {busiest:.2f} | {unserved:.1f} "
                    f"| {returned:.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
