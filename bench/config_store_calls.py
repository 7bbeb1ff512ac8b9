"""Number of calls to the platform's store by number of nodes.

All nodes run in this process with their own sources and servers; peers connect over
TCP on loopback addresses. Each node receives the versions of three random others every
100 ms, as it would in membership messages. Run: python -m bench.config_store_calls
"""

from dataclasses import dataclass, replace
from functools import partial
from random import Random
from statistics import median

import anyio
import fire
from tqdm import tqdm

from papayagw._internal.core.configuration import ConfigurationLog
from papayagw._internal.core.membership import RELAYS_PER_ZONE
from papayagw._internal.core.rendezvous import Rendezvous
from papayagw._internal.core.submission import Accepted, Proposal
from papayagw._internal.models.agent import Incarnation
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.configuration import FleetKey, Site
from papayagw._internal.models.control import BalancerRecord
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId
from papayagw._internal.net.clock import MonotonicClock
from papayagw._internal.net.configuration_peer import (
    ConfigurationServer,
    PeerConfigurationSource,
)
from papayagw._internal.net.configuration_platform import PlatformConfigurationSource
from papayagw._internal.net.configuration_store import ConfigurationStore
from papayagw._internal.net.submission import submit
from papayagw._internal.standins.memory_store import MemoryStore

ZONES = 4
GOSSIP_MS = Millis(100)
GOSSIP_PEERS = 3
SUBMIT_TIMEOUT_MS = Millis(30_000)
PORT = 4300
KEY = FleetKey(1, bytes(range(32)))


@dataclass(frozen=True, slots=True)
class RunResult:
    """The measurements of one run.

    Attributes
    ----------
    nodes, relays : int
        Number of nodes, and how many of them watched the store.
    start_calls, calls : int
        Calls to the store during start-up, and those after it.
    in_force_ms : tuple of Millis
        Time until each change was in force at every node.
    bytes_per_change : int
        Mean response bytes that a node received for one change.
    """

    nodes: int
    relays: int
    start_calls: int
    calls: int
    in_force_ms: tuple[Millis, ...]
    bytes_per_change: int


class Fleet:
    """The nodes of one site, all in this process."""

    def __init__(self, count, store, everyone_watches, seed):
        self._random = Random(seed)
        self._clock = MonotonicClock()
        self._endpoints = [
            Endpoint(f"127.9.{i // 200}.{1 + i % 200}", PORT) for i in range(count)
        ]
        self.relays = set(self._endpoints if everyone_watches else self._find_relays())
        self.logs = [ConfigurationLog() for _ in self._endpoints]
        self.peers = [PeerConfigurationSource(log, [KEY]) for log in self.logs]
        self.sources = [
            PlatformConfigurationSource(
                ConfigurationStore(store, "bench"),
                log,
                peer,
                server=ConfigurationServer(endpoint, log),
                random=self._random,
            )
            for endpoint, log, peer in zip(
                self._endpoints, self.logs, self.peers, strict=True
            )
        ]

    def _find_relays(self):
        zones = [self._endpoints[number::ZONES] for number in range(ZONES)]
        return [
            relay
            for number, zone in enumerate(zones)
            for relay in self._choose(zone, str(number))
        ]

    def _choose(self, zone, name):
        records = [BalancerRecord(node, Incarnation(1), name) for node in zone]
        return Rendezvous(records).choose(f"relay {name}", RELAYS_PER_ZONE)

    async def start(self, tasks):
        """Start every node in turn."""
        for endpoint, source in zip(self._endpoints, self.sources, strict=True):
            is_relay = partial(self.relays.__contains__, endpoint)
            await source.start()
            tasks.start_soon(source.run, lambda _: None, is_relay)
        tasks.start_soon(self._gossip)

    async def wait_for(self, version):
        """Return the time until `version` is in force at every node."""
        start = self._clock.now()
        while any(log.version < version for log in self.logs):
            await anyio.sleep(0.01)
        return Millis(self._clock.now() - start)

    async def _gossip(self):
        numbers = range(len(self.sources))
        while True:
            await anyio.sleep(to_seconds(GOSSIP_MS))
            for number in numbers:
                for peer in self._random.sample(numbers, GOSSIP_PEERS):
                    version = self.logs[peer].version
                    self.sources[number].on_advertised_version(
                        version, self._endpoints[peer]
                    )


def make_site(services, change):
    first = Service(
        "service-1", ServiceId(1), Endpoint("127.0.1.1", 5001), max_flows=1 + change
    )
    rest = [
        replace(
            first,
            name=f"service-{number}",
            service_id=ServiceId(number),
            address=Endpoint("127.0.1.1", 5000 + number),
            max_flows=2000,
        )
        for number in range(2, services + 1)
    ]
    control = Endpoint("127.0.1.100", 4400)
    return Site("bench", control, ("a", "b", "c", "d"), (first, *rest), (KEY,))


async def submit_change(store, services, change):
    proposal = Proposal(make_site(services, change), f"change-{change}", "bench")
    target = ConfigurationStore(store, "bench")
    outcome = await submit(target, proposal, SUBMIT_TIMEOUT_MS, Random(change))
    assert isinstance(outcome, Accepted), outcome
    return outcome.version


def count_calls(store):
    return sum(store.counts.by_kind.values())


async def measure(count, services, changes, everyone_watches, seed):
    store = MemoryStore(MonotonicClock())
    await submit_change(store, services, 0)
    fleet = Fleet(count, store, everyone_watches, seed)
    before = count_calls(store)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await anyio.sleep(0.5)
        started = count_calls(store)
        in_force = []
        for change in range(1, changes + 1):
            version = await submit_change(store, services, change)
            in_force.append(await fleet.wait_for(version))
        # Exclude the operator's read and write of each change.
        calls = count_calls(store) - started - 2 * changes
        tasks.cancel_scope.cancel()
    for source in fleet.sources:
        await source.close()
    received = sum(peer.received_bytes for peer in fleet.peers)
    return RunResult(
        count,
        len(fleet.relays),
        started - before,
        calls,
        tuple(in_force),
        received // (count * changes),
    )


def main(
    nodes=(10, 40, 160, 640), services=240, changes=10, everyone_watches=False, seed=1
):
    """Print the measurements for each number of nodes."""
    print(f"services {services}, changes {changes}, seed {seed}")
    print("nodes relays start-calls later-calls in-force-ms(median,max) bytes/change")
    for count in tqdm(nodes if isinstance(nodes, (tuple, list)) else [nodes]):
        result = anyio.run(measure, count, services, changes, everyone_watches, seed)
        times = f"{median(result.in_force_ms):.0f},{max(result.in_force_ms)}"
        print(
            f"{result.nodes:5} {result.relays:6} {result.start_calls:11}"
            f" {result.calls:11} {times:>23} {result.bytes_per_change:12}"
        )


if __name__ == "__main__":
    fire.Fire(main)
