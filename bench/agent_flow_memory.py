"""Memory and processor time of an open, silent flow at each process.

``python -m bench.agent_flow_memory`` opens flows to one agent at several sizes
and fits a line through the memory and the processor time of each process.
"""

import fire

from bench.held_flows import Held, fit_cpu, fit_memory, hold_flows
from bench.usage import describe_machine
from tools.fleet import running_fleet
from tools.fleet_folder import FleetPlan, Hosts

SIZES = (0, 200, 400, 800, 1_200)
PLAN = FleetPlan((Hosts("order", 1),), balancers=3, block=44)
AGENT, BALANCER, CONNECT = "agent-order-1", "balancer-1", "connect"
NAMES = (AGENT, BALANCER, CONNECT)
MICROS = 1_000_000


def measure(sizes: tuple[int, ...] = SIZES) -> list[Held]:
    """Return what the processes use at each size."""
    with running_fleet(PLAN) as fleet:
        return list(hold_flows(fleet, fleet.targets["order"], sizes, NAMES))


def print_held(held: list[Held]) -> None:
    for name in NAMES:
        for one in held:
            print(
                f"{name:>14} {one.flows:>6} flows {one.rss_kb[name]:>8} KB"
                f" {one.cpu_share[name]:>7.3f} core"
            )
        memory, cpu = fit_memory(held, name), fit_cpu(held, name)
        print(
            f"{name:>14} slope {memory.slope:.1f} KB a flow over {memory.base:.0f} KB,"
            f" {cpu.slope * MICROS:.0f} us CPU a flow and second"
        )


def main(sizes: tuple[int, ...] = SIZES):
    """Measure and print.

    Parameters
    ----------
    sizes : list of int
        The numbers of open flows.
    """
    held = measure(tuple(sizes))
    print(describe_machine())
    print_held(held)


if __name__ == "__main__":
    fire.Fire(main)
