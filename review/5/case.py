"""A route goes to another service; a client opens a new flow from a used port."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.fleet import NotRunError, run_case

OLD, NEW = "budgetvy", "budgetvy2"
FLOWS = 8
REUSE_AFTER_S = 10.0
"""Time from the end of a flow to the next flow from its port."""


def start_system(fleet):
    """Start two balancers and two servers of each service, with the route to OLD."""
    for at, name in enumerate(("front-1", "front-2")):
        fleet.add_front(name, 1 + at)
    sides = {"side-1": OLD, "side-2": OLD, "side-3": NEW, "side-4": NEW}
    entry = fleet.entry(1)
    fleet.put_site(3, {entry: OLD})
    servers = {OLD: [], NEW: []}
    for at, (name, service) in enumerate(sides.items()):
        fleet.add_machine(name, 11 + at)
        fleet.start(name, service)
        servers[service].append(fleet.start_server(f"server-{name}", name, service))
    for name in fleet.fronts:
        fleet.start(name)
    fleet.start_router()
    fleet.wait_in_rotation()
    fleet.wait_known(sides)
    return entry, servers


def list_requests(servers):
    """Return the requests that some servers have run."""
    return {request for server in servers for request in server.requests}


def play(fleet, has_trouble):
    """Return the requests that the route's old service ran too late."""
    entry, servers = start_system(fleet)
    time.sleep(5)
    flows = [fleet.make_flow(entry) for _ in range(FLOWS)]
    for flow in flows:
        if flow.open() != "open" or flow.request(0) != "answered" or not flow.finish():
            raise NotRunError("a first flow wasn't served and closed")
    if has_trouble:
        fleet.put_site(8, {entry: NEW})
    acknowledged_at = time.monotonic()
    time.sleep(REUSE_AFTER_S)
    fresh = [fleet.make_flow(entry) for _ in range(FLOWS)]
    for flow in (*fresh, *flows):
        if flow.open() == "open":
            flow.request(1)
    after_s = time.monotonic() - acknowledged_at
    expected = NEW if has_trouble else OLD
    if not {f"{flow.name}-1" for flow in fresh} <= list_requests(servers[expected]):
        raise NotRunError("the configuration isn't in force for fresh ports")
    if not has_trouble:
        return []
    late = {f"{flow.name}-1" for flow in flows} & list_requests(servers[OLD])
    return [
        f"CONFIG: request {request}, sent {after_s:.1f} s after the acknowledgement "
        f"of the change, was run by {OLD}"
        for request in sorted(late)
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
