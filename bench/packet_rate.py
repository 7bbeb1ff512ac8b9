"""Packets per second through one balancer, compared with a bare forwarding loop.

``python -m bench.packet_rate`` sends 1,200-byte packets of 100 and of 100,000
flows to a balancer process and, in the same run, to a process that only calls
recvfrom and sendto. Three processes are busy: sender, forwarder and sink.
"""

import multiprocessing
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path

import fire

from bench.usage import describe_machine, read_usage
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowRoute
from papayagw._internal.models.service import ServiceId
from papayagw._internal.wire.envelope import EnvelopeCodec, FrameKind
from papayagw._internal.wire.tag import TagCodec
from tools.fleet import ROOT
from tools.fleet_folder import FleetPlan, ServicePlan, read_folder, write_folder

PACKET_BYTES = 1_200
BLOCK = 43
SINK_PORT = 24_310
AGENTS = 100
BUFFER_BYTES = 4 << 20
SHORT_HEADER = b"\x40"
CLIENT = (f"127.{BLOCK}.9.9", SINK_PORT)
BARE = (f"127.{BLOCK}.8.1", 24_400)
SERVICE = ServiceId(1)
WARM_UP_S = 0.5
MICROS = 1_000_000

_SPAWN = multiprocessing.get_context("spawn")


@dataclass(frozen=True, slots=True)
class Rate:
    """The measurements of one forwarding process.

    Attributes
    ----------
    name : str
        Name of the case.
    per_second : float
        Packets forwarded per second.
    cpu_us : float
        Processor time per packet in us.
    busy : float
        Share of one core used.
    rss_kb : int
        Resident memory in KB.
    """

    name: str
    per_second: float
    cpu_us: float
    busy: float
    rss_kb: int


def make_socket(address: tuple[str, int] | None = None) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    if address is not None:
        udp_socket.bind(address)
    return udp_socket


def send_packets(target: tuple[str, int], folder: str, case: str, flows: int) -> None:
    """Send packets of `flows` flows in turn until the process is killed."""
    packets = make_packets(Path(folder), case, flows)
    send = make_socket().sendto
    while True:
        for packet in packets:
            send(packet, target)


def make_packets(folder: Path, case: str, flows: int) -> list[bytes]:
    keys = read_folder(folder).site.keys
    if case == "answers":
        header = EnvelopeCodec(keys).write_raw(FrameKind.ANSWER, SERVICE, CLIENT)
        return [header + bytes(PACKET_BYTES)] * flows
    tags = TagCodec(keys)
    routes = [
        FlowRoute(SERVICE, Endpoint(f"127.{BLOCK}.2.{number}", SINK_PORT), 1)
        for number in range(1, AGENTS + 1)
    ]
    headers = (
        SHORT_HEADER + tags.seal(tags.make(routes[number % AGENTS]))
        for number in range(flows)
    )
    return [header.ljust(PACKET_BYTES, b"\0") for header in headers]


def count_packets(pipe: Connection) -> None:
    """Count received packets; respond to each message on `pipe` with the count."""
    receiver = make_socket(("0.0.0.0", SINK_PORT))
    buffer = bytearray(2 * PACKET_BYTES)
    receiver.settimeout(0.2)
    count = 0
    pipe.send(count)
    while True:
        try:
            for _ in range(1_000):
                receiver.recv_into(buffer)
                count += 1
        except TimeoutError:
            pass
        if pipe.poll():
            pipe.recv()
            pipe.send(count)


def run_bare_loop() -> None:
    """Forward each packet with only a recvfrom and a sendto call."""
    receiver, sender = make_socket(BARE), make_socket()
    receive, send = receiver.recvfrom, sender.sendto
    while True:
        data, _ = receive(65_535)
        send(data, CLIENT)


@contextmanager
def spawned(function, *arguments) -> Iterator[int]:
    process = _SPAWN.Process(target=function, args=arguments, daemon=True)
    process.start()
    try:
        yield process.pid
    finally:
        process.kill()
        process.join()


@contextmanager
def running_balancer(folder: Path) -> Iterator[int]:
    command = [sys.executable, "-m", "papayagw", "balancer"]
    process = subprocess.Popen(
        [*command, str(folder / "balancer-1.jsonc")],
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    try:
        if not process.stdout.readline().startswith("ready"):
            raise SystemExit(f"balancer-1 in {folder} did not become ready")
        yield process.pid
    finally:
        process.kill()
        process.wait()


def measure(name: str, pid: int, sink: Connection, seconds: float) -> Rate:
    """Measure a forwarding process while packets are sent to it."""
    time.sleep(WARM_UP_S)
    before, count, started = read_usage(pid), request_count(sink), time.monotonic()
    time.sleep(seconds)
    after, packets = read_usage(pid), request_count(sink) - count
    elapsed = time.monotonic() - started
    cpu = after.cpu_seconds - before.cpu_seconds
    per_packet = MICROS * cpu / max(packets, 1)
    return Rate(name, packets / elapsed, per_packet, cpu / elapsed, after.rss_kb)


def request_count(sink: Connection) -> int:
    sink.send(None)
    return sink.recv()


def measure_all(folder: Path, seconds: float, sink: Connection) -> Iterator[Rate]:
    """Yield the rates of the bare loop and then of the balancer in each case."""
    with (
        spawned(run_bare_loop) as pid,
        spawned(send_packets, BARE, str(folder), "tagged", 100),
    ):
        yield measure("bare loop", pid, sink, seconds)
    settings = read_folder(folder)
    node = settings.balancers["balancer-1"]
    entry = (node.bind_ip, settings.site.services[0].address.port)
    cases = [
        ("100 flows", entry, "tagged", 100),
        ("100,000 flows", entry, "tagged", 100_000),
        ("answers", node.node.inner.sockaddr, "answers", 100),
    ]
    for name, target, case, flows in cases:
        with (
            running_balancer(folder) as pid,
            spawned(send_packets, target, str(folder), case, flows),
        ):
            if flows > AGENTS:
                time.sleep(2)
            yield measure(name, pid, sink, seconds)


def main(seconds: float = 4.0, least_ratio: float = 0.6, most_mb: int = 64):
    """Measure, print a table, and exit with 1 if a target is missed.

    Parameters
    ----------
    seconds : float
        Duration of the measurement of each case in seconds.
    least_ratio : float
        Minimum share of the bare loop's packet rate that each case must reach.
    most_mb : int
        Maximum memory of the balancer in MB.
    """
    parent_pipe, child_pipe = _SPAWN.Pipe()
    plan = FleetPlan((ServicePlan("order", 1),), balancers=1, block=BLOCK)
    with tempfile.TemporaryDirectory() as name, spawned(count_packets, child_pipe):
        parent_pipe.recv()
        write_folder(plan, Path(name))
        rates = list(measure_all(Path(name), seconds, parent_pipe))
    print(f"{describe_machine()}; 3 busy processes; {PACKET_BYTES}-byte packets")
    bare, *others = rates
    print(f"{'case':>14} {'packets/s':>10} {'ratio':>6} {'us CPU':>7} {'busy':>5} MB")
    for rate in rates:
        ratio = rate.per_second / bare.per_second
        print(
            f"{rate.name:>14} {rate.per_second:>10.0f} {ratio:>6.2f}"
            f" {rate.cpu_us:>7.1f} {rate.busy:>5.2f} {rate.rss_kb / 1024:.0f}"
        )
    slow = any(rate.per_second < least_ratio * bare.per_second for rate in others)
    large = any(rate.rss_kb > most_mb * 1024 for rate in others)
    sys.exit(1 if slow or large else 0)


if __name__ == "__main__":
    fire.Fire(main)
