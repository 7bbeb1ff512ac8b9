"""Flows that carry numbered data while balancers are killed and restarted.

``python -m bench.balancer_churn`` kills one of three balancers with SIGKILL each
second and restarts the one killed a second before. Half of the flows are feeds, the
other half echo numbered lines. The exit code is 1 on any fault.
"""

import random
import sys
from functools import partial

import anyio
import fire

from bench.requests import Batch, run_batches
from bench.usage import describe_machine
from papayagw._internal.load.profiles import RequestKind
from papayagw._internal.load.report import LoadReport
from papayagw._internal.models.clock import Millis
from papayagw._internal.standins.workload import BackendKind, Verb
from tools.fleet import Fleet, running_fleet
from tools.fleet_folder import FleetPlan, ServicePlan

INTERVAL_MS = 100
MILLIS_PER_SECOND = 1_000
TIMEOUT_MS = Millis(60_000)
LINE_BYTES = 190
PLAN = FleetPlan(services=(ServicePlan("order", 2), ServicePlan("ledger", 2)), block=42)


async def kill_and_restart_balancers(fleet: Fleet, seconds: int, seed: int) -> None:
    """Kill one balancer each second and restart the one killed a second before.

    The restart is not waited for, so only one of three balancers serves for part of
    each second.
    """
    rng = random.Random(seed)
    names = list(fleet.settings.balancers)
    stopped = None
    started = anyio.current_time()
    for number in range(1, seconds + 1):
        victim = rng.choice([name for name in names if name != stopped])
        fleet.kill(victim)
        if stopped is not None:
            fleet.spawn(stopped)
        stopped = victim
        await anyio.sleep_until(started + number)


async def run_load(fleet: Fleet, flows: int, seconds: int, seed: int) -> LoadReport:
    lines = seconds * MILLIS_PER_SECOND // INTERVAL_MS
    feed = RequestKind("feed", BackendKind.ORDER, Verb.FEED, (lines, INTERVAL_MS))
    pause = Millis(INTERVAL_MS)
    echo = RequestKind("echo", BackendKind.LEDGER, Verb.ECHO, (lines,), pause)
    half = flows // 2
    batches = [
        Batch(feed, fleet.targets["order"], half, half),
        Batch(echo, fleet.targets["ledger"], flows - half, flows - half),
    ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(partial(kill_and_restart_balancers, fleet, seconds, seed))
        return await run_batches(batches, TIMEOUT_MS, tuple(fleet.backends.values()))


def main(flows: int = 200, seconds: int = 30, seed: int = 1, health: bool = False):
    """Run the load once and print the outcomes of the flows.

    Parameters
    ----------
    flows : int
        Number of flows, all open for the whole run.
    seconds : int
        Duration of the run in seconds.
    seed : int
        Seed for the choice of balancers to kill and for the fabric.
    health : bool
        Whether the fabric skips a balancer whose host refuses packets.
    """
    flags = ["--seed", str(seed), *(["--health"] if health else [])]
    with running_fleet(PLAN, fabric_flags=flags) as fleet:
        report = anyio.run(run_load, fleet, flows, seconds, seed)
    done_count = report.outcomes["done"]
    lines = flows * seconds * MILLIS_PER_SECOND // INTERVAL_MS
    print(describe_machine())
    print(report.format_table())
    print(
        f"balancers killed {seconds} in as many seconds, seed {seed},"
        f" flows {flows}, done {done_count},"
        f" broken {report.outcomes['broken']}, crossed {report.outcomes['crossed']},"
        f" lines {lines}, about {lines * LINE_BYTES} bytes, {report.seconds:.1f} s"
    )
    sys.exit(1 if report.has_faults or done_count != flows else 0)


if __name__ == "__main__":
    fire.Fire(main)
