"""Memory and idle processor time of a balancer by number of services.

``python -m bench.balancer_services`` starts one balancer with increasing numbers
of services, each of which needs a socket, and fits a line to its memory. One
process is busy.
"""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import fire

from bench.control_cost import write_site
from bench.usage import Usage, describe_machine, fit_line, read_usage
from tools.fleet import ROOT, claimed_block

SIZES = (100, 400, 800, 1_600, 2_400)
FIRST_BLOCK = 48
IDLE_S = 4.0


def measure(services: int, block: int) -> tuple[Usage, float]:
    """Return the usage of an idle balancer and the share of a core that it uses."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_site(folder, services)
        ip = f"127.{block}.0.11"
        node = {"name": "balancer-1", "zone": "a", "base": "base.jsonc"}
        addresses = {"inner": f"{ip}:4300", "bind_ip": ip}
        settings = folder / "balancer.jsonc"
        settings.write_text(json.dumps(node | addresses), encoding="utf-8")
        return _measure_idle(settings)


def _measure_idle(settings: Path) -> tuple[Usage, float]:
    process = subprocess.Popen(
        [sys.executable, "-m", "papayagw", "balancer", str(settings)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        cwd=ROOT,
    )
    try:
        if not process.stdout.readline().startswith("ready"):
            raise SystemExit(
                f"the balancer with settings {settings} did not become ready"
            )
        time.sleep(1)
        before = read_usage(process.pid)
        time.sleep(IDLE_S)
        after = read_usage(process.pid)
        return after, (after.cpu_seconds - before.cpu_seconds) / IDLE_S
    finally:
        process.kill()
        process.wait()


def main():
    """Measure and print the usage and the fitted line."""
    print(f"{describe_machine()}; 1 busy process")
    memory = []
    with claimed_block(FIRST_BLOCK) as block:
        for size in SIZES:
            usage, cpu_share = measure(size, block)
            memory.append(usage.rss_kb)
            print(
                f"{size:>6} services {usage.rss_kb:>8} KB {cpu_share:>7.3f} core idle"
            )
    line = fit_line(SIZES, memory)
    print(f"line: {line.base:.0f} KB + {line.slope:.2f} KB for each service more")


if __name__ == "__main__":
    fire.Fire(main)
