"""Demonstrate the whole request path on stand-ins.

Run by ``tools/run-demo``. It starts the stand-ins of the platform, the fabric and
the backend servers, submits the configuration, starts three balancers, the agents
and ``papayagw connect``, sends requests through them, and prints the process ids,
the responses and the counters of each node.
"""

import hashlib
import json
import socket
import subprocess
import sys
import time

from papayagw._internal.models.endpoint import Endpoint
from tools.fleet import (
    Fleet,
    make_command,
    make_environment,
    running_fleet,
    send_request,
)
from tools.fleet_folder import FleetPlan, ServicePlan

PLAN = FleetPlan(
    services=(ServicePlan("order", 3), ServicePlan("drawings", 2)),
    block=46,
    has_platform=True,
)
ORDERS = 20
UPLOAD_BYTES = 2_000_000
_UPLOAD_TIMEOUT_S = 60.0
MILLIS_PER_SECOND = 1_000


def send_orders(target: Endpoint) -> bool:
    """Send orders, print a summary, and return whether all responses are correct."""
    started = time.monotonic()
    responses = [
        send_request(target, f"ORDER demo-{number}") for number in range(ORDERS)
    ]
    elapsed_ms = (time.monotonic() - started) * MILLIS_PER_SECOND / ORDERS
    print(f"\nORDER demo-0 -> {responses[0]}")
    correct = [
        response.startswith(f"DONE demo-{number} ")
        for number, response in enumerate(responses)
    ]
    backends = sorted({response.split()[-1] for response in responses if response})
    print(
        f"{sum(correct)} of {ORDERS} orders answered by {', '.join(backends)},"
        f" {elapsed_ms:.1f} ms each"
    )
    return all(correct)


def send_upload(target: Endpoint) -> bool:
    """Upload a drawing and return whether the response holds its checksum."""
    payload = bytes(range(256)) * (UPLOAD_BYTES // 256)
    with socket.create_connection(target.sockaddr, _UPLOAD_TIMEOUT_S) as connection:
        connection.sendall(f"UPLOAD demo-drawing {len(payload)}\n".encode())
        connection.sendall(payload)
        response = connection.recv(1_024).decode().strip()
    is_correct = hashlib.sha256(payload).hexdigest() in response
    print(
        f"UPLOAD {len(payload):,} bytes -> {response[:50]}..."
        f" checksum right: {is_correct}"
    )
    return is_correct


def print_status(fleet: Fleet) -> None:
    """Print the status report of each balancer and agent."""
    nodes = [*fleet.settings.balancers.values(), *fleet.settings.agents.values()]
    admins = [str(settings.node.admin) for settings in nodes if settings.node.admin]
    print(flush=True)
    subprocess.run(make_command(["status", *admins]), env=make_environment())


def print_forwarded_packets(fleet: Fleet) -> bool:
    """Print each balancer's packet counts; return whether all forwarded any."""
    admins = [
        str(settings.node.admin) for settings in fleet.settings.balancers.values()
    ]
    completed = subprocess.run(
        make_command(["status", *admins, "--json"]),
        env=make_environment(),
        capture_output=True,
        text=True,
    )
    forwarded_counts = []
    print()
    for node in json.loads(completed.stdout)["nodes"]:
        counters = {counter["name"]: counter["value"] for counter in node["counters"]}
        forwarded = counters["balancer.forwarded"]
        forwarded_counts.append(forwarded)
        print(
            f"{node['node']} carried {forwarded} packets to agents and"
            f" {counters['balancer.answered']} back to callers"
        )
    return all(forwarded_counts)


def main() -> int:
    """Run the demonstration and return its exit code."""
    with running_fleet(PLAN) as fleet:
        print("process                  pid")
        for name in fleet.names:
            print(f"{name:20} {fleet.pid(name):7}")
        is_correct = send_orders(fleet.targets["order"])
        is_correct = send_upload(fleet.targets["drawings"]) and is_correct
        print_status(fleet)
        is_correct = print_forwarded_packets(fleet) and is_correct
    print("\nall answers right" if is_correct else "\nsome answers were wrong")
    return 0 if is_correct else 1


if __name__ == "__main__":
    sys.exit(main())
