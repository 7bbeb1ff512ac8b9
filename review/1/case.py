"""A route goes to another service; then one balancer is restarted as planned."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.fleet import run_case, wait_until

OLD, NEW = "budgetvy", "budgetvy2"
FLOWS = 12


def start_system(fleet):
    """Start two balancers and two servers of each service, with the route to OLD."""
    for at, name in enumerate(("front-1", "front-2")):
        fleet.add_front(name, 1 + at)
    sides = {"side-1": OLD, "side-2": OLD, "side-3": NEW, "side-4": NEW}
    entry = fleet.entry(1)
    fleet.put_site(3, {entry: OLD})
    for at, (name, service) in enumerate(sides.items()):
        fleet.add_machine(name, 11 + at)
        fleet.start(name, service)
        fleet.start_server(f"server-{at + 1}", name, service)
    for name in fleet.fronts:
        fleet.start(name)
    fleet.start_router()
    fleet.wait_in_rotation()
    fleet.wait_known(sides)
    return entry


def play(fleet, has_trouble):
    """Return the flows that the system reset."""
    entry = start_system(fleet)
    time.sleep(5)
    flows = [fleet.make_flow(entry) for _ in range(FLOWS)]
    for flow in flows:
        wait_until(lambda flow=flow: flow.open() == "open", 5, "a flow didn't open")
    for flow in flows:
        flow.request(0)
    if has_trouble:
        fleet.put_site(8, {entry: NEW})
    time.sleep(5)
    for flow in flows:
        flow.request(1)
    via = {flow.name: flow.balancer() for flow in flows}
    if has_trouble:
        fleet.terminate("front-1")
        fleet.start("front-1")
    for number in range(2, 8):
        for flow in flows:
            if not flow.resets:
                flow.request(number)
        time.sleep(0.5)
    return [
        f"FLOW: {flow.name}, opened through {via[flow.name]}, was reset by the system"
        for flow in flows
        if flow.resets
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
