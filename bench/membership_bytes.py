"""Control traffic, processor time and memory of the membership by fleet size.

Runs the real cores and the real codec on a controlled clock, for four fleet sizes with
eleven agents per balancer in eight zones. Each fleet is measured in steady state, under
restarts, and during the loss and return of a zone. Prints the measurements, fits them
to the size and exits with 1 if the fit at 840 balancers and 9,500 agents exceeds a
budget.

Run with ``python -m bench.membership_bytes``.
"""

import argparse
import math
import sys
import time
import tracemalloc
from dataclasses import dataclass

import numpy as np

from papayagw._internal.core.announcer import AgentAnnouncer
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.membership import BalancerMembership
from papayagw._internal.models.agent import AgentRecord, Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import (
    BalancerRecord,
    MembershipUpdate,
    MissingRecords,
    Send,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.wire.control import ControlCodec
from tests.lib.fleet import CONTROL_ADDRESS, FleetDriver, make_restarted_record
from tests.lib.samples import KEY

SIZES = (20, 40, 80, 160)
AGENTS_PER_BALANCER = 11
AGENTS_PER_SERVICE = 4
ZONES = tuple(f"region-{1 + i // 4}{'abcd'[i % 4]}" for i in range(8))
LOST_ZONE = ZONES[0]

TARGET_BALANCERS = 840
TARGET_AGENTS = 9_500
MAX_BYTES_PER_SECOND = 4_096
MAX_CPU_SHARE = 0.018
MAX_MEMORY_BYTES = 128 * 1024 * 1024
RESTARTS_PER_DAY = 1_200
SECONDS_PER_DAY = 86_400

IP_UDP_BYTES = 28
SETTLE_MS = 6_000
STEADY_SECONDS = 10
RESTARTS = 10
ZONE_LOSS_TIMEOUT_SECONDS = 60
MOST_SHARE = 0.99
NANOS_PER_MICRO = 1_000
FIRST_INCARNATION = 1_796_371_200_000


@dataclass
class Meter:
    """Bytes, messages and processor time of one node, sent and received."""

    bytes: int = 0
    messages: int = 0
    cpu_ns: int = 0


class MeteredFleet(FleetDriver):
    """A fleet whose datagrams are encoded, decoded and counted."""

    def __post_init__(self):
        super().__post_init__()
        self.codec = ControlCodec([KEY])
        self.meters: dict[Endpoint, Meter] = {}

    def send_all(self, source: Endpoint, sends: tuple[Send, ...]) -> None:
        """Encode messages and pass them to the simulated network."""
        for send in sends:
            started = time.perf_counter_ns()
            frame = self.codec.write(send.message)
            self._count_frame(source, frame, started)
            self._send(source, Send(send.destination, frame))

    def receive(self, node, destination: Endpoint, send: Send, source) -> None:
        """Decode a message, deliver it to its node and send the node's messages."""
        started = time.perf_counter_ns()
        message = self.codec.read(send.message)
        sends = node.on_message(message, source, self.now)
        self._count_frame(destination, send.message, started)
        self.send_all(destination, sends)

    def tick(self, endpoint, node) -> None:
        """Run the periodic work of a node and send its messages."""
        started = time.perf_counter_ns()
        sends = node.on_tick(self.now)
        self._meter(endpoint).cpu_ns += time.perf_counter_ns() - started
        self.send_all(endpoint, sends)

    def _count_frame(self, endpoint: Endpoint, frame: bytes, started: int) -> None:
        meter = self._meter(endpoint)
        meter.bytes += len(frame) + IP_UDP_BYTES
        meter.messages += 1
        meter.cpu_ns += time.perf_counter_ns() - started

    def _meter(self, endpoint: Endpoint) -> Meter:
        meter = self.meters.get(endpoint)
        if meter is None:
            meter = self.meters[endpoint] = Meter()
        return meter


@dataclass(frozen=True)
class Usage:
    """Traffic and processor time per second of the nodes of one role."""

    mean_bytes: float
    worst_bytes: float
    messages: float
    cpu_us: float


@dataclass(frozen=True)
class Row:
    """The measurements of one fleet size."""

    balancers: int
    agents: int
    balancer: Usage
    agent: Usage
    restart_bytes: float
    loss_bytes: float
    loss_worst: float
    loss_seconds_to_most: int
    loss_seconds: int
    return_seconds: int


def make_fleet(balancers: int) -> MeteredFleet:
    """Return a settled fleet whose balancers know all agents and balancers."""
    fleet = MeteredFleet(seed=balancers)
    records = [make_agent(number) for number in range(balancers * AGENTS_PER_BALANCER)]
    for number in range(balancers):
        add_balancer(fleet, number)
    balancer_records = tuple(node.own for node in fleet.balancers.values())
    all_records = MissingRecords(MembershipUpdate(tuple(records), balancer_records))
    for node in fleet.balancers.values():
        node.on_message(all_records, CONTROL_ADDRESS, fleet.now)
    for record in records:
        fleet.add_agent(record)
    fleet.run(SETTLE_MS)
    return fleet


def make_agent(number: int) -> AgentRecord:
    endpoint = Endpoint(
        f"10.{1 + number // 62_500}.{number // 250 % 250}.{1 + number % 250}", 4310
    )
    return AgentRecord(
        endpoint,
        Incarnation(FIRST_INCARNATION + 977 * number),
        1,
        1 + number // AGENTS_PER_SERVICE,
        ZONES[number % len(ZONES)],
    )


def add_balancer(fleet: MeteredFleet, number: int) -> None:
    endpoint = Endpoint(f"10.200.{number // 250}.{1 + number % 250}", 4300)
    zone = ZONES[number % len(ZONES)]
    own = BalancerRecord(endpoint, Incarnation(FIRST_INCARNATION + number), zone)
    fleet.balancers[endpoint] = BalancerMembership(
        own, CONTROL_ADDRESS, AgentDirectory(), fleet._make_random()
    )


def measure(fleet: MeteredFleet, seconds: int) -> tuple[Usage, Usage]:
    """Run for `seconds` and return the usage of balancers and of agents."""
    fleet.meters.clear()
    fleet.run(seconds * 1_000)
    return (
        summarize(
            [fleet.meters.get(endpoint, Meter()) for endpoint in fleet.balancers],
            seconds,
        ),
        summarize(
            [fleet.meters.get(endpoint, Meter()) for endpoint in fleet.agents], seconds
        ),
    )


def summarize(meters: list[Meter], seconds: int) -> Usage:
    sizes = [meter.bytes / seconds for meter in meters]
    return Usage(
        float(np.mean(sizes)),
        max(sizes),
        float(np.mean([meter.messages for meter in meters])) / seconds,
        float(np.mean([meter.cpu_ns for meter in meters])) / NANOS_PER_MICRO / seconds,
    )


def measure_restarts(fleet: MeteredFleet, steady: Usage) -> float:
    """Return the additional bytes at each balancer per restart of an agent."""
    fleet.meters.clear()
    restarted = list(fleet.agents)[:: len(fleet.agents) // RESTARTS][:RESTARTS]
    started = fleet.now
    for endpoint in restarted:
        agent = fleet.agents[endpoint]
        fleet.send_all(endpoint, agent.drain(fleet.now))
        fleet.run(500)
        fleet.send_all(endpoint, agent.close(fleet.now))
        fleet.run(500)
        fleet.agents[endpoint] = AgentAnnouncer(
            make_restarted_record(agent.own),
            CONTROL_ADDRESS,
            AgentDirectory(),
            fleet._make_random(),
        )
    fleet.run(5_000)
    seconds = (fleet.now - started) // 1_000
    meters = [fleet.meters.get(endpoint, Meter()) for endpoint in fleet.balancers]
    extra = summarize(meters, seconds).mean_bytes - steady.mean_bytes
    return max(0.0, extra * seconds / RESTARTS)


@dataclass(frozen=True)
class ZoneLoss:
    """Traffic and detection times after the loss of a zone.

    `seconds_to_most` is the time until the share `MOST_SHARE` of lost agents was
    detected, over all balancers left; `seconds_all` until all were.
    """

    nodes: frozenset[Endpoint]
    mean_bytes: float
    worst_second: float
    seconds_to_most: int
    seconds_all: int


def lose_zone(fleet: MeteredFleet) -> ZoneLoss:
    """Freeze and cut off a zone; run until all other balancers suspect its agents."""
    lost = frozenset(
        endpoint
        for endpoint, node in (*fleet.balancers.items(), *fleet.agents.items())
        if node.own.zone == LOST_ZONE
    )
    all_nodes = set(fleet.balancers) | set(fleet.agents)
    fleet.frozen |= lost
    fleet.block_links(all_nodes, lost)
    fleet.block_links(lost, all_nodes - lost)
    means: list[float] = []
    most = ZONE_LOSS_TIMEOUT_SECONDS
    known_share = 0.0
    while len(means) < ZONE_LOSS_TIMEOUT_SECONDS and known_share < 1:
        fleet.meters.clear()
        fleet.run(1_000)
        remaining = [
            fleet.meters.get(endpoint, Meter())
            for endpoint in fleet.balancers.keys() - lost
        ]
        means.append(summarize(remaining, 1).mean_bytes)
        known_share = compute_known_share(fleet, lost, suspected=True)
        if known_share >= MOST_SHARE:
            most = min(most, len(means))
    return ZoneLoss(lost, float(np.mean(means)), max(means), most, len(means))


def return_zone(fleet: MeteredFleet, lost: frozenset[Endpoint]) -> int:
    """Reconnect a zone; return the seconds until no balancer suspects its agents."""
    fleet.heal()
    fleet.frozen.clear()
    for seconds in range(1, ZONE_LOSS_TIMEOUT_SECONDS + 1):
        fleet.run(1_000)
        if compute_known_share(fleet, lost, suspected=False) == 1:
            return seconds
    return ZONE_LOSS_TIMEOUT_SECONDS


def compute_known_share(fleet: MeteredFleet, lost, *, suspected: bool) -> float:
    """Return the share of lost agents whose `is_suspected` equals `suspected`.

    The share covers the directories of all balancers that are not in `lost`.
    """
    matches = [
        record.is_suspected == suspected
        for endpoint, node in fleet.balancers.items()
        if endpoint not in lost
        for record in node.directory.records
        if record.endpoint in lost
    ]
    return sum(matches) / len(matches)


def measure_size(balancers: int) -> Row:
    fleet = make_fleet(balancers)
    balancer, agent = measure(fleet, STEADY_SECONDS)
    restart_bytes = measure_restarts(fleet, balancer)
    loss = lose_zone(fleet)
    return_seconds = return_zone(fleet, loss.nodes)
    return Row(
        balancers,
        len(fleet.agents),
        balancer,
        agent,
        restart_bytes,
        loss.mean_bytes,
        loss.worst_second,
        loss.seconds_to_most,
        loss.seconds_all,
        return_seconds,
    )


def measure_memory() -> int:
    """Return the memory in bytes of one balancer's core at the target size."""
    fleet = MeteredFleet(seed=1)
    add_balancer(fleet, 0)
    node = next(iter(fleet.balancers.values()))
    tracemalloc.start()
    records = tuple(make_agent(number) for number in range(TARGET_AGENTS))
    for number in range(1, TARGET_BALANCERS):
        add_balancer(fleet, number)
    balancer_records = tuple(balancer.own for balancer in fleet.balancers.values())
    for endpoint in tuple(fleet.balancers)[1:]:
        del fleet.balancers[endpoint]
    node.on_message(
        MissingRecords(MembershipUpdate(records, balancer_records)),
        CONTROL_ADDRESS,
        Millis(1_000),
    )
    del records, balancer_records
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def extrapolate(rows: list[Row], values: list[float]) -> float:
    """Fit values to the logarithm of the size; return the fit at the target size."""
    sizes = np.log([row.balancers for row in rows])
    slope, base = np.polyfit(sizes, values, 1)
    return float(base + slope * math.log(TARGET_BALANCERS))


def print_row(row: Row) -> None:
    for role, usage in (("balancer", row.balancer), ("agent", row.agent)):
        print(
            f"{row.balancers:5} {row.agents:6} {role:8} {usage.mean_bytes:7.0f} B/s "
            f"(worst {usage.worst_bytes:5.0f}) {usage.messages:6.1f} msg/s "
            f"{usage.cpu_us:7.0f} us/s"
        )
    print(
        f"{'':12} restart {row.restart_bytes:6.0f} B each at each balancer; zone lost "
        f"{row.loss_bytes:5.0f} B/s (worst second {row.loss_worst:5.0f}), 99% "
        f"known after {row.loss_seconds_to_most} s, all after {row.loss_seconds} s, "
        f"its return after {row.return_seconds} s",
        flush=True,
    )


def print_verdict(rows: list[Row], memory: int) -> bool:
    steady = extrapolate(rows, [row.balancer.mean_bytes for row in rows])
    restart_bytes = extrapolate(rows, [row.restart_bytes for row in rows])
    rolling = steady + restart_bytes * RESTARTS_PER_DAY / SECONDS_PER_DAY
    loss = extrapolate(rows, [row.loss_worst for row in rows])
    # The queue of peers makes processor time grow linearly with the size.
    sizes = [row.balancers for row in rows]
    slope, base = np.polyfit(sizes, [row.balancer.cpu_us for row in rows], 1)
    cpu = float(base + slope * TARGET_BALANCERS) / 1e6
    print(f"fitted at {TARGET_BALANCERS} balancers and {TARGET_AGENTS} agents:")
    checks = [
        ("steady", steady, MAX_BYTES_PER_SECOND, "B/s"),
        (
            f"with {RESTARTS_PER_DAY} restarts a day",
            rolling,
            MAX_BYTES_PER_SECOND,
            "B/s",
        ),
        ("worst second of a zone's loss", loss, MAX_BYTES_PER_SECOND, "B/s"),
        ("processor", 100 * cpu, 100 * MAX_CPU_SHARE, "% of a core"),
        ("memory", memory / 2**20, MAX_MEMORY_BYTES / 2**20, "MB"),
    ]
    for name, value, limit, unit in checks:
        verdict = "ok" if value <= limit else "OVER"
        print(f"  {name:34} {value:8.2f} of {limit:7.1f} {unit:12} {verdict}")
    return all(value <= limit for _, value, limit, _ in checks)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    sizes = parser.parse_args().sizes
    rows = []
    for balancers in sizes:
        rows.append(measure_size(balancers))
        print_row(rows[-1])
    return 0 if print_verdict(rows, measure_memory()) else 1


if __name__ == "__main__":
    sys.exit(main())
