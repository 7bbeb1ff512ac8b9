"""The main job, once, on stand-ins: a request through the whole path.

Run by ``tools/run-demo``. It starts the stand-ins of the platform, the fabric and
the backend servers, submits the configuration, starts three balancers, the agents
and the caller's side, sends requests through them, and says which process did what.
"""

import hashlib
import json
import socket
import subprocess
import sys
import time

from papayagw._internal.models.endpoint import Endpoint
from tools.fleet import Fleet, ask, make_command, make_environment, running_fleet
from tools.fleet_folder import FleetPlan, Hosts

PLAN = FleetPlan(
    hosts=(Hosts("order", 3), Hosts("drawings", 2)), block=46, has_platform=True
)
ORDERS = 20
UPLOAD_BYTES = 2_000_000
_UPLOAD_LIMIT_S = 60.0
MILLIS_PER_SECOND = 1_000


def send_orders(target: Endpoint) -> bool:
    """Send orders, print the answers' summary, and return whether all are right."""
    started = time.monotonic()
    answers = [ask(target, f"ORDER demo-{number}") for number in range(ORDERS)]
    spent = (time.monotonic() - started) * MILLIS_PER_SECOND / ORDERS
    print(f"\nORDER demo-0 -> {answers[0]}")
    right = [
        answer.startswith(f"DONE demo-{number} ")
        for number, answer in enumerate(answers)
    ]
    backends = sorted({answer.split()[-1] for answer in answers if answer})
    print(
        f"{sum(right)} of {ORDERS} orders answered by {', '.join(backends)},"
        f" {spent:.1f} ms each"
    )
    return all(right)


def send_upload(target: Endpoint) -> bool:
    """Upload a drawing and return whether its checksum came back."""
    blob = bytes(range(256)) * (UPLOAD_BYTES // 256)
    with socket.create_connection(target.sockaddr, _UPLOAD_LIMIT_S) as connection:
        connection.sendall(f"UPLOAD demo-drawing {len(blob)}\n".encode())
        connection.sendall(blob)
        answer = connection.recv(1_024).decode().strip()
    is_right = hashlib.sha256(blob).hexdigest() in answer
    print(f"UPLOAD {len(blob):,} bytes -> {answer[:50]}... checksum right: {is_right}")
    return is_right


def show_status(fleet: Fleet) -> None:
    """Print what each node counted."""
    nodes = [*fleet.settings.balancers.values(), *fleet.settings.agents.values()]
    admins = [str(one.node.admin) for one in nodes if one.node.admin]
    print(flush=True)
    subprocess.run(make_command(["status", *admins]), env=make_environment())


def show_carriers(fleet: Fleet) -> bool:
    """Print how many packets each balancer carried; return whether all did."""
    admins = [str(one.node.admin) for one in fleet.settings.balancers.values()]
    done = subprocess.run(
        make_command(["status", *admins, "--json"]),
        env=make_environment(),
        capture_output=True,
        text=True,
    )
    carried = []
    print()
    for node in json.loads(done.stdout)["nodes"]:
        counters = {one["name"]: one["value"] for one in node["counters"]}
        forwarded = counters["balancer.forwarded"]
        carried.append(forwarded)
        print(
            f"{node['node']} carried {forwarded} packets to agents and"
            f" {counters['balancer.answered']} back to callers"
        )
    return all(carried)


def main() -> int:
    """Run the demonstration and return its exit code."""
    with running_fleet(PLAN) as fleet:
        print("process                  pid")
        for name in fleet.names:
            print(f"{name:20} {fleet.pid(name):7}")
        is_right = send_orders(fleet.targets["order"])
        is_right = send_upload(fleet.targets["drawings"]) and is_right
        show_status(fleet)
        is_right = show_carriers(fleet) and is_right
    print("\nall answers right" if is_right else "\nsome answers were wrong")
    return 0 if is_right else 1


if __name__ == "__main__":
    sys.exit(main())
