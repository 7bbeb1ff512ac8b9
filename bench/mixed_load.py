"""A drawing upload, an order feed, orders and rate checks, run concurrently.

``python -m bench.mixed_load`` runs them as TCP clients through connect, the fabric,
three balancers and the agents. The exit code is 1 on any fault.
"""

import sys

import anyio
import fire

from bench.requests import Batch, run_batches
from bench.usage import describe_machine
from papayagw._internal.load.profiles import RequestKind
from papayagw._internal.models.clock import Millis
from papayagw._internal.standins.workload import BackendKind, Verb
from tools.fleet import Fleet, running_fleet
from tools.fleet_folder import FleetPlan, ServicePlan

UPLOAD_BYTES = 20_000_000
FEED_LINES = 100
FEED_INTERVAL_MS = 100
TIMEOUT_MS = Millis(60_000)

PLAN = FleetPlan(
    services=(
        ServicePlan("order", 3),
        ServicePlan("drawings", 2),
        ServicePlan("ledger", 3),
    ),
    block=41,
)
DRAWING = RequestKind(
    "drawing upload", BackendKind.DRAWINGS, Verb.UPLOAD, (UPLOAD_BYTES,)
)
FEED = RequestKind(
    "order feed", BackendKind.ORDER, Verb.FEED, (FEED_LINES, FEED_INTERVAL_MS)
)
ORDER = RequestKind("order", BackendKind.ORDER, Verb.ORDER)
CHECK = RequestKind("rate check", BackendKind.LEDGER, Verb.CHECK)


def make_batches(fleet: Fleet, checks: int, orders: int) -> list[Batch]:
    targets = fleet.targets
    return [
        Batch(DRAWING, targets["drawings"], 1, 1),
        Batch(FEED, targets["order"], 1, 1),
        Batch(ORDER, targets["order"], orders, 4),
        Batch(CHECK, targets["ledger"], checks, 40),
    ]


def main(checks: int = 2_000, orders: int = 100, seed: int = 1, loss: float = 0.0):
    """Run the mixed load once and print the outcomes of the flows.

    Parameters
    ----------
    checks, orders : int
        Number of rate checks and of orders.
    seed : int
        Seed for the fabric.
    loss : float
        Share of packets that the fabric drops, from 0 to 1.
    """
    flags = ("--seed", str(seed), "--loss", str(loss))
    with running_fleet(PLAN, fabric_flags=flags) as fleet:
        report = anyio.run(
            run_batches,
            make_batches(fleet, checks, orders),
            TIMEOUT_MS,
            tuple(fleet.backends.values()),
        )
    total = sum(report.outcomes.values())
    done = report.outcomes["done"]
    print(describe_machine())
    print(report.format_table())
    print(
        f"flows {total}, done {done}, broken {report.outcomes['broken']},"
        f" crossed {report.outcomes['crossed']},"
        f" upload {UPLOAD_BYTES} bytes, {report.seconds:.1f} s"
    )
    sys.exit(1 if report.has_faults or done != total else 0)


if __name__ == "__main__":
    fire.Fire(main)
