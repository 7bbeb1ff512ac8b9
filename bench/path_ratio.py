"""Compare the whole path with direct TCP connections, in one run.

``python -m bench.path_ratio`` measures short requests, an upload, openings and open
flows through connect, fabric, balancers and agent, and the same requests over direct
connections to the same backend servers.
"""

import hashlib
import socket
import statistics
import time
from collections.abc import Callable

import anyio
import fire

from bench.agent_flow_memory import NAMES
from bench.held_flows import fit_memory, hold_flows
from bench.requests import Batch, run_batches
from bench.usage import describe_machine, read_usage
from papayagw._internal.load.profiles import RequestKind
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.workload import BackendKind, Verb
from tools.fleet import Fleet, running_fleet
from tools.fleet_folder import FleetPlan, ServicePlan

PLAN = FleetPlan(
    (ServicePlan("order", 1), ServicePlan("drawings", 1), ServicePlan("ledger", 1)),
    block=45,
)
SHORT_REQUESTS = 500
UPLOAD_BYTES = 20_000_000
OPENINGS = 1_000
CONCURRENCY = 32
HELD_SIZES = (0, 200, 400, 800)
TIMEOUT_MS = Millis(60_000)
SOCKET_TIMEOUT_S = 60.0
NO_SERVICE_TIME = ("--service_ms", "0", "--slots", "100")
CHECK = RequestKind("rate check", BackendKind.LEDGER, Verb.CHECK)


def time_short(target: Endpoint, count: int) -> tuple[float, float]:
    """Return p50 and p99 in ms of rate checks with one connection each."""
    times = []
    for number in range(count):
        started = time.perf_counter()
        with socket.create_connection(target.sockaddr, SOCKET_TIMEOUT_S) as connection:
            send_check(connection, f"CHECK short-{number}\n", b"RATE")
        times.append(time.perf_counter() - started)
    return summarize(times)


def time_open(target: Endpoint, count: int) -> tuple[float, float]:
    """Return p50 and p99 in ms of rate checks over one open connection."""
    times = []
    with socket.create_connection(target.sockaddr, SOCKET_TIMEOUT_S) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(count):
            started = time.perf_counter()
            send_check(connection, f"CHECK open-{number}\n", b"RATE")
            times.append(time.perf_counter() - started)
    return summarize(times)


def summarize(times: list[float]) -> tuple[float, float]:
    quantiles = statistics.quantiles(times, n=100)
    return statistics.median(times) * 1_000, quantiles[98] * 1_000


def send_check(connection: socket.socket, line: str, prefix: bytes) -> None:
    connection.sendall(line.encode())
    if not connection.recv(1_024).startswith(prefix):
        raise SystemExit(f"response to {line!r} does not start with {prefix!r}")


def time_upload(target: Endpoint) -> float:
    """Return the MB/s of one upload, whose checksum is verified."""
    payload = bytes(range(256)) * (UPLOAD_BYTES // 256)
    started = time.perf_counter()
    with socket.create_connection(target.sockaddr, SOCKET_TIMEOUT_S) as connection:
        connection.sendall(f"UPLOAD large {len(payload)}\n".encode() + payload)
        response = connection.recv(1_024).split()
    if response[1].decode() != hashlib.sha256(payload).hexdigest():
        raise SystemExit(
            f"wrong checksum in the response to the upload: {response[1]!r}"
        )
    return len(payload) / 1e6 / (time.perf_counter() - started)


def time_openings(target: Endpoint) -> float:
    """Return openings per second with `CONCURRENCY` at a time."""
    batch = Batch(CHECK, target, OPENINGS, CONCURRENCY)
    report = anyio.run(run_batches, [batch], TIMEOUT_MS)
    if report.outcomes["done"] != OPENINGS:
        raise SystemExit(
            f"not all of {OPENINGS} openings were completed: {report.outcomes}"
        )
    return OPENINGS / report.seconds


def measure_cpu(fleet: Fleet, names: tuple[str, ...], run: Callable[[], float]):
    """Return the result of `run` and the processor seconds used by each process."""
    before = {name: read_usage(fleet.pid(name)).cpu_seconds for name in names}
    result = run()
    after = {name: read_usage(fleet.pid(name)).cpu_seconds for name in names}
    return result, {name: after[name] - before[name] for name in names}


def print_ratio(name: str, unit: str, path: float, direct: float) -> None:
    print(
        f"{name:>30} {path:>10.2f} {unit:<5} direct {direct:>9.2f} ratio"
        f" {path / direct:.2f}"
    )


def measure_all(fleet: Fleet) -> None:
    targets, backends = fleet.targets, fleet.backends
    ledger, ledger_direct = targets["ledger"], backends["ledger-1"]
    for name, timer in (("new flow", time_short), ("open flow", time_open)):
        direct = timer(ledger_direct, SHORT_REQUESTS)
        path = timer(ledger, SHORT_REQUESTS)
        print_ratio(f"short request, {name}, p50", "ms", path[0], direct[0])
        print_ratio(f"short request, {name}, p99", "ms", path[1], direct[1])
    uploaders = ("connect", "agent-drawings-1", *fleet.settings.balancers)
    direct = time_upload(backends["drawings-1"])
    speed, cpu = measure_cpu(fleet, uploaders, lambda: time_upload(targets["drawings"]))
    print_ratio("upload", "MB/s", speed, direct)
    for name, seconds in cpu.items():
        print(f"{name:>30} {seconds / (UPLOAD_BYTES / 1e6) * 1_000:>10.1f} ms CPU a MB")
    openers = ("connect", "agent-ledger-1", *fleet.settings.balancers)
    direct = time_openings(ledger_direct)
    rate, cpu = measure_cpu(fleet, openers, lambda: time_openings(ledger))
    print_ratio("openings", "/s", rate, direct)
    for name, seconds in cpu.items():
        print(f"{name:>30} {seconds / OPENINGS * 1_000:>10.2f} ms CPU an opening")
    held = list(hold_flows(fleet, targets["order"], HELD_SIZES, NAMES))
    for name in NAMES:
        print(f"{name:>30} {fit_memory(held, name).slope:>10.1f} KB an open flow")


def main():
    """Measure and print all ratios and costs."""
    flags = {
        f"{service}-1": NO_SERVICE_TIME for service in ("order", "drawings", "ledger")
    }
    with running_fleet(PLAN, backend_flags=flags) as fleet:
        print(f"{describe_machine()}; one busy client beside the fleet")
        measure_all(fleet)


if __name__ == "__main__":
    fire.Fire(main)
