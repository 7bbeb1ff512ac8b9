"""A new machine gets the address of one that went dark; then balancers are rolled."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.fleet import NotRunError, run_case, wait_until

LEDGER, INTAKE = "budgetvy", "mallintag"
REUSE_AFTER_S = 2.3
"""An address is used again after `reuse_after_s`, 2 s, or later."""

FLOW_S = 2.0
"""Bound `flow_ms`."""

FLOWS = 12


def start_system(fleet):
    """Start two balancers and two servers of each service."""
    for at, name in enumerate(("front-1", "front-2")):
        fleet.add_front(name, 1 + at)
    sides = {"side-1": LEDGER, "side-9": LEDGER, "side-3": INTAKE, "side-4": INTAKE}
    ledger, intake = fleet.entry(1), fleet.entry(2)
    fleet.put_site(3, {ledger: LEDGER, intake: INTAKE})
    servers = {}
    for at, (name, service) in enumerate(sides.items()):
        fleet.add_machine(name, 11 + at)
        fleet.start(name, service)
        servers[name] = fleet.start_server(f"server-{name}", name, service)
    for name in fleet.fronts:
        fleet.start(name)
    fleet.start_router()
    fleet.wait_in_rotation()
    fleet.wait_known(sides)
    return intake, servers


def replace_and_roll(fleet, servers):
    """Replace a machine, roll a balancer and the agents; return the new server."""
    fleet.record.write("machine goes dark", machine="side-9")
    fleet.kill("side-9")
    fleet.end_server(servers["side-9"])
    time.sleep(REUSE_AFTER_S)
    fleet.add_machine("side-10", 12)
    fleet.start("side-10", INTAKE)
    server = fleet.start_server("server-side-10", "side-10", INTAKE)
    new, old = "papayagw/agents/side-10", "papayagw/agents/side-9"
    wait_until(lambda: new in fleet.store.list_keys(), 5, "the new agent has no entry")
    fleet.terminate("front-2")
    fleet.start("front-2")
    fleet.wait_in_rotation(["front-2"])
    if old not in fleet.store.list_keys():
        raise NotRunError("the old entry lapsed before the balancer was back")
    wait_until(lambda: old not in fleet.store.list_keys(), 12, "the old entry stays")
    fleet.record.write("entry lapsed", key=old)
    time.sleep(4)
    for name in ("side-3", "side-4"):
        fleet.terminate(name)
        fleet.start(name, INTAKE)
        time.sleep(1.2)
    time.sleep(5)
    return server


def open_flows(fleet, entry, server):
    """Return the flows that go through front-1 to `server`."""
    flows = []
    while len(flows) < FLOWS:
        flow = fleet.make_flow(entry)
        if flow.balancer() == "front-1":
            flows.append(flow)
    for flow in flows:
        if flow.open() != "open" or flow.request(0) != "answered":
            raise NotRunError("a flow wasn't served before the last step")
    chosen = [flow for flow in flows if flow.key in server.opened]
    if not chosen:
        raise NotRunError("no flow at the new server")
    return chosen[:6]


def find_breaks(flow, server, others, since):
    """Return the break of FLOW (b) that the servers have seen, if there is one."""
    own = [at for at, key, is_own in server.arrivals if key == flow.key and is_own]
    foreign = [at for one in others for at, key, _ in one.arrivals if key == flow.key]
    foreign = sorted(at for at in foreign if at >= since)
    if not foreign:
        return []
    start, end = foreign[0], foreign[0] + FLOW_S
    count = sum(at <= end for at in foreign)
    if count < 3 or any(start <= at <= end for at in own):
        return []
    return [
        f"FLOW: for {FLOW_S} s {count} packets of {flow.name} reached other servers, "
        f"none {server.name}"
    ]


def play(fleet, has_trouble):
    """Return the flows whose packets went to other servers."""
    entry, servers = start_system(fleet)
    time.sleep(5)
    if has_trouble:
        server = replace_and_roll(fleet, servers)
    else:
        fleet.add_machine("side-10", 15)
        fleet.start("side-10", INTAKE)
        server = fleet.start_server("server-side-10", "side-10", INTAKE)
        fleet.wait_known(["side-10"])
        time.sleep(8)
    flows = open_flows(fleet, entry, server)
    if has_trouble:
        fleet.terminate("front-1")
        wait_until(
            lambda: not fleet.router.is_in_rotation("front-1"), 5, "still in rotation"
        )
    since = time.monotonic()
    senders = [
        threading.Thread(target=flow.request, args=(1, 2.6), daemon=True)
        for flow in flows
    ]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    others = [one for one in fleet.servers if one is not server]
    breaks = [one for flow in flows for one in find_breaks(flow, server, others, since)]
    resets = [f"FLOW: {flow.name} was reset" for flow in flows if flow.resets]
    return breaks + resets


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
