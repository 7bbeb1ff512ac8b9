"""Memory and processor time that an open, idle flow costs each process.

``python -m bench.agent_flow_memory`` opens increasing numbers of flows to one
agent and fits a line to the memory and the processor time of each process.
"""

import fire

from bench.held_flows import HeldFlowsUsage, fit_cpu, fit_memory, hold_flows
from bench.usage import describe_machine
from tools.fleet import running_fleet
from tools.fleet_folder import FleetPlan, ServicePlan

SIZES = (0, 200, 400, 800, 1_200)
PLAN = FleetPlan((ServicePlan("order", 1),), balancers=3, block=44)
AGENT, BALANCER, CONNECT = "agent-order-1", "balancer-1", "connect"
NAMES = (AGENT, BALANCER, CONNECT)
MICROS = 1_000_000


def measure(sizes: tuple[int, ...] = SIZES) -> list[HeldFlowsUsage]:
    """Measure the resource usage of the processes at each number of open flows."""
    with running_fleet(PLAN) as fleet:
        return list(hold_flows(fleet, fleet.targets["order"], sizes, NAMES))


def print_usages(usages: list[HeldFlowsUsage]) -> None:
    for name in NAMES:
        for usage in usages:
            print(
                f"{name:>14} {usage.flows:>6} flows {usage.rss_kb[name]:>8} KB"
                f" {usage.cpu_share[name]:>7.3f} core"
            )
        memory, cpu = fit_memory(usages, name), fit_cpu(usages, name)
        print(
            f"{name:>14} slope {memory.slope:.1f} KB a flow over {memory.base:.0f} KB,"
            f" {cpu.slope * MICROS:.0f} us CPU a flow and second"
        )


def main(sizes: tuple[int, ...] = SIZES):
    """Measure and print the usage and the fitted lines.

    Parameters
    ----------
    sizes : list of int
        Numbers of open flows at which to measure, in ascending order.
    """
    usages = measure(tuple(sizes))
    print(describe_machine())
    print_usages(usages)


if __name__ == "__main__":
    fire.Fire(main)
