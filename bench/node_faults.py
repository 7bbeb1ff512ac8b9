"""Feeds and orders while a node is stopped, killed, frozen or restarted.

``python -m bench.node_faults`` starts a fleet for each fault. The exit code is 1 if
a planned stop breaks a flow, or if any fault causes a request to run twice, to get
another request's response, or to run although it was reported as refused.
"""

import os
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

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

PLAN = FleetPlan(services=(ServicePlan("order", 3),), block=44)
TIMEOUT_MS = Millis(60_000)
FEEDS = 60
FEED_LINES = 100
FEED_INTERVAL_MS = 100
ORDERS = 1_500
CONCURRENT_ORDERS = 10
FAULT_DELAY_S = 2
FREEZE_S = 8
AGENT, BACKEND, BALANCER = "agent-order-1", "backend-order-1", "balancer-1"

FEED = RequestKind("feed", BackendKind.ORDER, Verb.FEED, (FEED_LINES, FEED_INTERVAL_MS))
ORDER = RequestKind("order", BackendKind.ORDER, Verb.ORDER)


async def freeze(fleet: Fleet, name: str) -> None:
    os.kill(fleet.pid(name), signal.SIGSTOP)
    await anyio.sleep(FREEZE_S)
    os.kill(fleet.pid(name), signal.SIGCONT)


async def stop(fleet: Fleet, name: str) -> None:
    await anyio.to_thread.run_sync(fleet.stop, name)


async def kill(fleet: Fleet, name: str) -> None:
    fleet.kill(name)


async def restart_in_turn(fleet: Fleet, _: str) -> None:
    for name in (*fleet.settings.balancers, *fleet.settings.agents):
        await stop(fleet, name)
        await anyio.to_thread.run_sync(fleet.start_process, name)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is injected into one node.

    Attributes
    ----------
    name : str
        Name in the command's arguments and output.
    inject : callable
        Coroutine function that injects the fault into a node of the fleet.
    node : str
        Name of the node's process; empty if all nodes are affected.
    may_break_flows : bool
        Whether flows through that node may break.
    """

    name: str
    inject: Callable[[Fleet, str], Awaitable[None]]
    node: str
    may_break_flows: bool


FAULTS = (
    Fault("stop balancer", stop, BALANCER, False),
    Fault("kill balancer", kill, BALANCER, False),
    Fault("stop agent", stop, AGENT, False),
    Fault("restart in turn", restart_in_turn, "", False),
    Fault("kill agent", kill, AGENT, True),
    Fault("freeze agent", freeze, AGENT, True),
    Fault("kill backend", kill, BACKEND, True),
)


async def run_load(fleet: Fleet, fault: Fault) -> LoadReport:
    target = fleet.targets["order"]
    batches = [
        Batch(FEED, target, FEEDS, FEEDS),
        Batch(ORDER, target, ORDERS, CONCURRENT_ORDERS),
    ]

    async def inject_after_delay() -> None:
        await anyio.sleep(FAULT_DELAY_S)
        await fault.inject(fleet, fault.node)

    backends = [
        endpoint
        for name, endpoint in fleet.backends.items()
        if fault.inject is not kill or f"backend-{name}" != fault.node
    ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(inject_after_delay)
        return await run_batches(batches, TIMEOUT_MS, backends)


def is_acceptable(fault: Fault, report: LoadReport) -> bool:
    """Return whether the report shows only the failures that the fault may cause."""
    outcomes, journal = report.outcomes, report.journal
    wrong = outcomes["crossed"] + outcomes["wrong bytes"]
    wrong += journal.doubled + journal.refused_but_run
    lost = outcomes.total() - outcomes["done"]
    return wrong == 0 and (fault.may_break_flows or lost == 0)


def main(*names: str):
    """Run all faults, or only those named, and print the outcomes of the flows."""
    print(describe_machine())
    all_acceptable = True
    for fault in FAULTS:
        if names and fault.name not in names:
            continue
        with running_fleet(PLAN) as fleet:
            report = anyio.run(run_load, fleet, fault)
        verdict = "right" if is_acceptable(fault, report) else "WRONG"
        all_acceptable = all_acceptable and verdict == "right"
        kinds = {name: dict(kind.outcomes) for name, kind in report.kinds.items()}
        print(f"{fault.name}: {verdict} {kinds} {report.journal}", flush=True)
    sys.exit(0 if all_acceptable else 1)


if __name__ == "__main__":
    fire.Fire(main)
