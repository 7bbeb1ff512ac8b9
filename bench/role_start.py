"""Processor time and memory of the prepared platform's roles until ready.

Run ``python -m bench.role_start``. The targets are 0.15 s and 25 MB; the exit code is
1 if a role exceeds either.
"""

import os
import statistics
import sys
import tempfile
from pathlib import Path

from bench.usage import read_usage
from tests.lib.plain_fleet import PlainFleet
from tools.fleet import claimed_block

ROUNDS = 7
TARGET_S = 0.15
TARGET_MB = 25
FIRST_BLOCK = 200


def measure(fleet, name):
    """Start the named process and return its usage when it is ready."""
    fleet.start_process(name)
    fleet.wait_ready(name)
    usage = read_usage(fleet.pid(name))
    fleet.kill(name)
    return usage


def main():
    """Print the median usage of both roles and return the exit code."""
    is_over = False
    with claimed_block(FIRST_BLOCK) as block, tempfile.TemporaryDirectory() as folder:
        fleet = PlainFleet(Path(folder), block, balancers=1, agents=1)
        try:
            fleet.start()
            for name in ("agent-1", "balancer-1"):
                fleet.kill(name)
                usages = [measure(fleet, name) for _ in range(ROUNDS)]
                fleet.start_process(name)
                fleet.wait_ready(name)
                seconds = statistics.median(usage.cpu_seconds for usage in usages)
                memory_mb = statistics.median(usage.rss_kb for usage in usages) / 1_024
                print(
                    f"{name:12} {seconds:.2f} s  {memory_mb:.0f} MB  ({ROUNDS} starts)"
                )
                is_over |= seconds > TARGET_S or memory_mb > TARGET_MB
        finally:
            fleet.close()
    load = os.getloadavg()[0]
    print(f"target {TARGET_S} s, {TARGET_MB} MB; load average {load:.1f}")
    return 1 if is_over else 0


if __name__ == "__main__":
    sys.exit(main())
