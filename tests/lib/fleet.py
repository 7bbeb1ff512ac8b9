"""Driver of real membership cores on a simulated network and clock."""

import heapq
import random
from dataclasses import dataclass, field, replace
from itertools import count

from papayagw._internal.core.announcer import AgentAnnouncer
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.membership import BalancerMembership
from papayagw._internal.models.agent import AgentRecord, AgentState, Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import BalancerRecord, Send
from papayagw._internal.models.endpoint import Endpoint
from tests.lib.samples import make_record

CONTROL_ADDRESS = Endpoint("127.0.1.100", 4400)
TICK_MS = 100
START_MS = 1_000
ZONES = ("a", "b", "c", "d")

Node = BalancerMembership | AgentAnnouncer


@dataclass(frozen=True, slots=True)
class Network:
    """Simulated delay, loss and duplication of datagrams."""

    delay_ms: int = 1
    jitter_ms: int = 0
    loss: float = 0.0
    duplicates: float = 0.0


@dataclass
class FleetDriver:
    """Balancers and agents that exchange messages over a simulated network."""

    seed: int = 1
    network: Network = field(default_factory=Network)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.now = Millis(START_MS)
        self.balancers: dict[Endpoint, BalancerMembership] = {}
        self.agents: dict[Endpoint, AgentAnnouncer] = {}
        self.frozen: set[Endpoint] = set()
        self.frozen_drop_packets = False
        self.blocked_links: list[tuple[frozenset[Endpoint], frozenset[Endpoint]]] = []
        self._queue = []
        self._sequence_numbers = count()
        self._last_delivery_at = 0

    def add_balancer(self, number: int, incarnation: int = 1_000) -> Endpoint:
        endpoint = Endpoint(f"127.1.{number // 250}.{1 + number % 250}", 4300)
        zone = ZONES[number % len(ZONES)]
        own = BalancerRecord(endpoint, Incarnation(incarnation), zone)
        self.balancers[endpoint] = BalancerMembership(
            own, CONTROL_ADDRESS, AgentDirectory(), self._make_random()
        )
        return endpoint

    def add_agent(self, record: AgentRecord) -> Endpoint:
        self.agents[record.endpoint] = AgentAnnouncer(
            record, CONTROL_ADDRESS, AgentDirectory(), self._make_random()
        )
        return record.endpoint

    def add_fleet(self, balancers: int, agents: int, services: int = 1) -> None:
        for number in range(balancers):
            self.add_balancer(number)
        for number in range(agents):
            zone = ZONES[number % len(ZONES)]
            self.add_agent(make_record(number, 1 + number % services, zone=zone))

    def kill(self, endpoint: Endpoint) -> Node:
        return self.balancers.pop(endpoint, None) or self.agents.pop(endpoint)

    def block_links(self, sources, destinations) -> None:
        """Drop datagrams from `sources` to `destinations`."""
        self.blocked_links.append((frozenset(sources), frozenset(destinations)))

    def heal(self) -> None:
        self.blocked_links.clear()

    def run(self, duration_ms: int) -> None:
        end = self.now + duration_ms
        while self.now < end:
            self.now = Millis(self.now + TICK_MS)
            self._deliver()
            for endpoint, node in self._list_nodes():
                if endpoint not in self.frozen:
                    self.tick(endpoint, node)
            self._deliver()

    def send_all(self, source: Endpoint, sends: tuple[Send, ...]) -> None:
        for send in sends:
            for _ in range(1 + (self.random.random() < self.network.duplicates)):
                self._send(source, send)

    def find_ready(self, service_id: int = 1) -> list[set[Endpoint]]:
        """Return the agents that are ready in the view of each running balancer."""
        return [
            {one.endpoint for one in node.directory.find_ready(service_id)}
            for endpoint, node in self.balancers.items()
            if endpoint not in self.frozen
        ]

    def _send(self, source: Endpoint, send: Send) -> None:
        destination = send.destination
        if destination == CONTROL_ADDRESS:
            if not self.balancers:
                return
            destination = self.random.choice(list(self.balancers))
        is_blocked = any(
            source in sources and destination in destinations
            for sources, destinations in self.blocked_links
        )
        if is_blocked or self.random.random() < self.network.loss:
            return
        delay_ms = self.network.delay_ms + self.random.randint(
            0, self.network.jitter_ms
        )
        at = max(self.now, self._last_delivery_at) + delay_ms
        item = (at, next(self._sequence_numbers), source, destination, send)
        heapq.heappush(self._queue, item)

    def _deliver(self) -> None:
        later = []
        while self._queue and self._queue[0][0] <= self.now + TICK_MS // 2:
            item = heapq.heappop(self._queue)
            self._last_delivery_at, _, source, destination, send = item
            node = self.balancers.get(destination) or self.agents.get(destination)
            if destination in self.frozen:
                # The socket buffer of a paused process keeps its datagrams; a paused
                # machine loses them.
                if not self.frozen_drop_packets:
                    later.append(item)
            elif node is not None:
                self.receive(node, destination, send, source)
        for item in later:
            heapq.heappush(self._queue, (self.now + TICK_MS, *item[1:]))

    def receive(self, node: Node, destination: Endpoint, send: Send, source) -> None:
        sends = node.on_message(send.message, source, self.now)
        self.send_all(destination, sends)

    def tick(self, endpoint: Endpoint, node: Node) -> None:
        self.send_all(endpoint, node.on_tick(self.now))

    def _list_nodes(self) -> list[tuple[Endpoint, Node]]:
        return [*self.balancers.items(), *self.agents.items()]

    def _make_random(self) -> random.Random:
        return random.Random(self.random.randrange(1 << 30))


def make_restarted_record(record: AgentRecord) -> AgentRecord:
    """Return the record of an agent after its restart."""
    incarnation = Incarnation(record.incarnation + 1_000)
    return replace(
        record, incarnation=incarnation, sequence=1, state=AgentState.READY, suspicion=0
    )
