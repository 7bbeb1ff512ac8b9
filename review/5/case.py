"""All machines lose power; then one balancer and one agent are rolled."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.fleet import NotRunError, run_case, wait_until

SERVICE = "budgetvy"
POWER_OFF_S = 1.28
SIDES = ("side-1", "side-2", "side-3", "side-4")
FLOWS = 6
MAX_FLOWS = 100
AFTER_POWER_S = 5.0
"""Time from the return of the power to the planned work: over `stable_ms`."""


def start_all(fleet):
    """Start all processes and servers at the same moment; return the servers."""
    servers = {}
    for name in SIDES:
        fleet.start(name, SERVICE)
        servers[name] = fleet.start_server(f"server-{name}", name, SERVICE)
    for name in fleet.fronts:
        fleet.start(name)
    return servers


def start_system(fleet):
    """Start two balancers and four servers; return the route's entry."""
    for at, name in enumerate(("front-1", "front-2")):
        fleet.add_front(name, 1 + at)
    for at, name in enumerate(SIDES):
        fleet.add_machine(name, 11 + at)
    entry = fleet.entry(1)
    fleet.put_site(3, {entry: SERVICE})
    servers = start_all(fleet)
    fleet.start_router()
    fleet.wait_in_rotation()
    fleet.wait_known(SIDES)
    time.sleep(5)
    return entry, servers


def lose_power(fleet, servers):
    """Let all machines lose power for a while; return the new servers."""
    fleet.record.write("power lost", for_s=POWER_OFF_S)
    for name in list(fleet.processes):
        fleet.kill(name)
    for server in servers.values():
        fleet.end_server(server)
    time.sleep(POWER_OFF_S)
    return start_all(fleet)


def open_flows(fleet, entry, server):
    """Return flows through front-1 to a server, each with one answered request."""
    chosen = []
    for _ in range(MAX_FLOWS):
        flow = fleet.make_flow(entry)
        if flow.open() != "open" or flow.request(0) != "answered":
            raise NotRunError("a flow before the planned work wasn't served")
        if flow.balancer() == "front-1" and flow.key in server.opened:
            chosen.append(flow)
        if len(chosen) == FLOWS:
            break
    if not chosen:
        raise NotRunError("no flow through front-1 to server-1")
    return chosen


def roll(fleet, server):
    """Stop one balancer, and restart the agent of `server` in its turn."""
    roller = threading.Thread(target=fleet.terminate, args=("front-1",))
    roller.start()
    wait_until(
        lambda: not fleet.router.is_in_rotation("front-1"), 5, "still in rotation"
    )
    before = server.acknowledged_at
    wait_until(lambda: server.acknowledged_at > before, 5, "no report")
    events = len(fleet.events("side-1"))
    fleet.terminate("side-1")
    fleet.start("side-1", SERVICE)
    wait_until(
        lambda: any(
            event["event"] == "started" for event in fleet.events("side-1")[events:]
        ),
        5,
        "the agent doesn't start",
    )
    roller.join()


def play(fleet, has_trouble):
    """Return the flows that the system reset."""
    entry, servers = start_system(fleet)
    if has_trouble:
        servers = lose_power(fleet, servers)
        fleet.wait_in_rotation()
    time.sleep(AFTER_POWER_S)
    flows = open_flows(fleet, entry, servers["side-1"])
    if has_trouble:
        roll(fleet, servers["side-1"])
    senders = [
        threading.Thread(target=flow.request, args=(1,), daemon=True) for flow in flows
    ]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    return [
        f"FLOW: {flow.name} was reset by the system while its server lives and holds it"
        for flow in flows
        if flow.resets and flow.key in servers["side-1"].opened
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
