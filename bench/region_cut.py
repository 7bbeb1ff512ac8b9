"""Membership during a network partition between two regions.

``python -m bench.region_cut`` runs the real cores on a controlled clock, drops all
messages between two regions for three minutes and then delivers them again. One
process is busy. The exit code is 1 if a balancer has an agent of its own region not
ready in its directory.
"""

import sys
from collections.abc import Set
from dataclasses import dataclass

import fire

from bench.membership_bytes import MeteredFleet, make_fleet, measure
from bench.usage import describe_machine
from papayagw._internal.models.endpoint import Endpoint

SIZES = (24, 48)
CUT_SECONDS = 180
STEP_SECONDS = 20
HEAL_TIMEOUT_SECONDS = 120
REGIONS = ("region-1", "region-2")


@dataclass(frozen=True, slots=True)
class VisibleShares:
    """Shares of agents, from 0 to 1, that balancers consider ready for openings.

    Attributes
    ----------
    own : float
        Share of the agents in the balancer's own region.
    other : float
        Share of the agents in the other region.
    """

    own: float
    other: float


def find_region(fleet: MeteredFleet, region: str) -> set[Endpoint]:
    nodes = (*fleet.balancers.items(), *fleet.agents.items())
    return {endpoint for endpoint, node in nodes if node.own.zone.startswith(region)}


def cut_regions(fleet: MeteredFleet) -> None:
    first, second = (find_region(fleet, region) for region in REGIONS)
    fleet.block_links(first, second)
    fleet.block_links(second, first)


def compute_view(fleet: MeteredFleet) -> VisibleShares:
    """Return the shares averaged over all balancers."""
    members = {region: find_region(fleet, region) for region in REGIONS}
    own, other = [], []
    for endpoint, node in fleet.balancers.items():
        services = {record.service_id for record in node.directory.records}
        ready = {
            record.endpoint
            for service_id in services
            for record in node.directory.find_ready(service_id)
        }
        for nodes in members.values():
            agents = nodes & fleet.agents.keys()
            shares = own if endpoint in nodes else other
            shares.append(compute_share(ready, agents))
    return VisibleShares(sum(own) / len(own), sum(other) / len(other))


def compute_share(found: Set[Endpoint], wanted: Set[Endpoint]) -> float:
    return len(found & wanted) / len(wanted)


def heal(fleet: MeteredFleet) -> int:
    """End the partition; return the seconds until all agents are ready everywhere."""
    fleet.heal()
    for seconds in range(1, HEAL_TIMEOUT_SECONDS + 1):
        fleet.run(1_000)
        if compute_view(fleet) == VisibleShares(1.0, 1.0):
            return seconds
    return HEAL_TIMEOUT_SECONDS


def measure_cut(balancers: int) -> float:
    """Print one size's measurements; return the lowest share of own agents."""
    fleet = make_fleet(balancers)
    steady, _ = measure(fleet, STEP_SECONDS)
    cut_regions(fleet)
    least, worst, view = 1.0, 0.0, VisibleShares(1.0, 1.0)
    for _ in range(CUT_SECONDS // STEP_SECONDS):
        usage, _ = measure(fleet, STEP_SECONDS)
        view = compute_view(fleet)
        least = min(least, view.own)
        worst = max(worst, usage.mean_bytes)
    heal_seconds = heal(fleet)
    print(
        f"{balancers:>5} balancers {len(fleet.agents):>6} agents: steady"
        f" {steady.mean_bytes:.0f} B/s, cut at most {worst:.0f} B/s; own agents in"
        f" sight {least:.3f}, the other region's {view.other:.3f}; whole again"
        f" {heal_seconds} s after the cut",
        flush=True,
    )
    return least


def main(sizes: tuple[int, ...] = SIZES):
    """Measure at each size; exit with 1 if a balancer lost agents of its own region.

    Parameters
    ----------
    sizes : list of int
        Numbers of balancers in the fleet.
    """
    print(f"{describe_machine()}; 1 busy process; cut for {CUT_SECONDS} s")
    least = min(measure_cut(size) for size in sizes)
    sys.exit(0 if least == 1.0 else 1)


if __name__ == "__main__":
    fire.Fire(main)
