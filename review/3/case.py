"""A status report of another writer names a service that isn't the agent's."""

import http.client
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.fleet import NotRunError, run_case, wait_until

SERVICE = "budgetvy"
FLOWS = 12


def start_system(fleet):
    """Start two balancers and two servers of one service."""
    for at, name in enumerate(("front-1", "front-2")):
        fleet.add_front(name, 1 + at)
    sides = ("side-1", "side-2")
    entry = fleet.entry(1)
    fleet.put_site(3, {entry: SERVICE})
    for at, name in enumerate(sides):
        fleet.add_machine(name, 11 + at)
        fleet.start(name, SERVICE)
        fleet.start_server(f"server-{at + 1}", name, SERVICE)
    for name in fleet.fronts:
        fleet.start(name)
    fleet.start_router()
    fleet.wait_in_rotation()
    fleet.wait_known(sides)
    return entry


def send_foreign_report(fleet, machine):
    """Send one report whose service no configuration names."""
    fields = {
        "service": "unknown-service",
        "address": fleet.machines[machine].text("backend"),
        "zone": fleet.machines[machine].zone,
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": time.time_ns() // 1_000_000,
    }
    connection = http.client.HTTPConnection(
        *fleet.machines[machine].at("reports"), timeout=1
    )
    connection.request(
        "PUT",
        "/-/instances/i-0000000001",
        json.dumps(fields),
        {"Content-Type": "application/json"},
    )
    status = connection.getresponse().status
    connection.close()
    fleet.record.write("foreign report", machine=machine, fields=fields, status=status)


def play(fleet, has_trouble):
    """Return the flows that the system reset."""
    entry = start_system(fleet)
    time.sleep(5)
    flows = [fleet.make_flow(entry) for _ in range(FLOWS)]
    for flow in flows:
        wait_until(lambda flow=flow: flow.open() == "open", 5, "a flow didn't open")
    for flow in flows:
        if flow.request(0) != "answered":
            raise NotRunError("a request before the disruption wasn't answered")
    time.sleep(1)
    if has_trouble:
        send_foreign_report(fleet, "side-1")
    for number in range(1, 4):
        for flow in flows:
            if not flow.resets:
                flow.request(number)
        time.sleep(1)
    return [
        f"FLOW: {flow.name} was reset by the system while its server lives"
        for flow in flows
        if flow.resets
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
