"""Simulation of clients, routers and backend servers around the real plain cores.

Time is simulated, and all random numbers come from one seeded generator, so that a run
is reproducible. `PlainWorld.violations` lists the broken invariants.
"""

import heapq
import itertools
import random
import zlib
from collections import Counter
from dataclasses import dataclass, replace

from papayagw._internal.core.plain.agent import PlainAgent
from papayagw._internal.core.plain.balancer import PlainBalancer
from papayagw._internal.core.plain.membership.agent_evacuation import AgentEvacuation
from papayagw._internal.core.plain.membership.evacuation import ZoneEvacuations
from papayagw._internal.core.plain.membership.roster import Roster
from papayagw._internal.core.plain.placement.choice import LeastWaitChooser
from papayagw._internal.core.plain.routing.route_history import RouteHistory
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import (
    LogEvent,
    ResetClient,
    RestoreEntry,
    SendFrame,
    SendToBackend,
    SendToClient,
)
from papayagw._internal.models.plain.entry_store import StoreRevision
from papayagw._internal.models.plain.frame import (
    ForwardFrame,
    OwnerQueryFrame,
    ToAgent,
)
from papayagw._internal.models.plain.instance import (
    AgentEntry,
    ReportedState,
    StatusReport,
)
from papayagw._internal.models.plain.packet import (
    FlowKey,
    FlowPacket,
    PacketKind,
    entry_of,
)
from papayagw._internal.models.plain.site import Route, SiteVersion, WeightedService

ENTRY = b"\x01\xbb\xc6\x12\x00\x01"
"""Entry key of 198.18.0.1, port 443."""

FLOW_LIMIT_MS = Millis(60_000)
MAX_HANDOVERS = 4
"""Most times that a balancer may hand one transmission to one agent.

The network may duplicate the packet on its way to the balancer, and its return by the
agent.
"""

REPORT_MS = 1_200
"""Interval between the reports of a backend server."""

STORE_MS = 3
"""Time for a read or write of the store."""

MAX_RECORD_DELAY_MS = 700
"""Longest time until a balancer stores a route change that it has observed."""

REUSE_MS = 2_000
"""Time from the end of a machine to the start of another one at its endpoint."""

RESTART_MS = 300
"""Time from the end of a process to its restart."""

MODULUS = 1 << 32


def make_site(version=1, *services, routes=None, limits=None):
    """Return a configuration with one route to `services`, or with `routes`."""
    if routes is None:
        weighted = tuple(WeightedService(one, 1.0) for one in services or ("order",))
        routes = {ENTRY: Route("r1", weighted)}
    return SiteVersion(version, routes, Millis(15_000), limits or {})


def make_packet(flow, kind, sequence=0, acknowledged=None, payload=0, copy=0):
    """Return a packet whose `raw` datagram is empty."""
    return FlowPacket(flow, kind, sequence, acknowledged, copy, payload, False, 0, b"")


@dataclass(frozen=True)
class NetworkConditions:
    """Loss, duplication and delay in ms of datagrams between two machines."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[int, int] = (1, 1)


class Backend:
    """Simulated backend server.

    It accepts every opening, answers requests, and sends back the packets of flows that
    it doesn't hold. A request is one payload, identified by the position of its last
    byte.
    """

    def __init__(self, world, agent_name, work_ms):
        self.world = world
        self.agent_name = agent_name
        self.work_ms = work_ms
        self.started_at = world.now
        self.flows = {}
        self.seen = {}
        self.runs = {}
        self.number = 0
        self.state = ReportedState.READY
        self.is_alive = True

    def report(self):
        """Report to the agent if it is running, and again every `REPORT_MS`."""
        if not self.is_alive:
            return
        self.number += 1
        agent = self.world.agents.get(self.agent_name)
        if agent is not None and agent.is_alive:
            report = StatusReport(
                self.agent_name,
                agent.service,
                self.state,
                1,
                Millis(0),
                self.started_at,
                self.number,
            )
            agent.run_when_active(lambda: agent.receive_report(report))
        self.world.after(REPORT_MS, self.report)

    def receive(self, packet, token):
        """Handle a packet from the agent."""
        if not self.is_alive:
            return
        flow = packet.flow
        self.world.record_arrival(self, packet)
        if packet.kind.is_closing:
            self.flows.pop(flow, None)
        elif packet.kind is PacketKind.OPEN:
            if flow not in self.flows:
                self.world.check_evacuation(self)
            start = self.flows.setdefault(flow, self.world.random.getrandbits(32))
            self.send(flow, PacketKind.ACCEPT, start, packet.sequence + 1)
        elif flow not in self.flows:
            rejected = replace(packet, rejected_by_backend=True, token=token)
            self.world.send_to_agent(self.agent_name, rejected)
        elif packet.acknowledged != (self.flows[flow] + 1) % MODULUS:
            self.world.send_to_agent(
                self.agent_name, replace(packet, rejected_by_backend=True, token=token)
            )
        else:
            self.world.record_open(flow, self)
            self._run(packet)

    def _run(self, packet):
        """Process a request, or answer it again at once if it was processed before."""
        flow, end = packet.flow, packet.sequence + packet.payload_bytes
        if end in self.runs.setdefault(flow, set()):
            self.send(flow, PacketKind.DATA, self._position(flow), end, payload=100)
            return
        self.runs[flow].add(end)
        self.world.after(
            self.work_ms,
            lambda: self.send(
                flow, PacketKind.DATA, self._position(flow), end, payload=100
            ),
        )

    def _position(self, flow):
        """Return the sequence number of the server's packets in a flow."""
        return self.flows[flow] + 1

    def send(self, flow, kind, sequence, acknowledged, payload=0):
        """Send a packet through the agent."""
        if self.is_alive:
            packet = make_packet(flow, kind, sequence, acknowledged, payload)
            self.world.send_to_agent(self.agent_name, packet)


class Node:
    """Simulated process around a core; while it is frozen, its input is delayed."""

    def __init__(self, world, name, endpoint):
        self.world = world
        self.name = name
        self.endpoint = endpoint
        self.is_alive = True
        self.frozen_until = 0
        self.timer_at = None
        self.started_at = world.now

    def run_when_active(self, callback):
        """Call `callback` now, or once the process is no longer frozen."""
        if not self.is_alive:
            return
        if self.world.now < self.frozen_until:
            self.world.at(self.frozen_until, lambda: self.run_when_active(callback))
            return
        callback()

    def schedule_timer(self):
        """Schedule the core's next timer, unless an earlier one is scheduled."""
        due_at = self.core.due_at
        if due_at is None or (
            self.timer_at is not None and self.timer_at <= due_at and self.timer_at > 0
        ):
            return
        self.timer_at = max(due_at, self.world.now)
        self.world.at(self.timer_at, self.fire_timer)

    def fire_timer(self):
        """Run the core's timer handler."""
        self.timer_at = None
        self.run_when_active(lambda: self.perform(self.core.on_timer(self.world.now)))

    def perform(self, actions):
        """Execute the actions that the core returned."""
        for action in actions:
            match action:
                case SendFrame(peer, frame):
                    self.world.send_frame(self, peer, frame)
                case SendToClient(packet):
                    self.world.send_to_client(packet)
                case SendToBackend(packet, token):
                    self.world.backends[self.name].receive(packet, token)
                case ResetClient(flow):
                    self.world.deliver_reset(flow, self)
                case RestoreEntry():
                    self.world.store_entry(self)
                case LogEvent():
                    self.world.log_events.append((self.world.now, self.name, action))
        self.schedule_timer()


class BalancerNode(Node):
    """A balancer that reads the world's store."""

    def __init__(self, world, name, endpoint):
        super().__init__(world, name, endpoint)
        self.roster = Roster()
        self.route_history = RouteHistory(FLOW_LIMIT_MS)
        self.evacuations = ZoneEvacuations(
            self.roster, lambda: world.after(STORE_MS, self.list_agents)
        )
        self.core = world.mechanisms.make_balancer(self)
        self.is_routed = True
        self.is_deaf = False
        world.after(world.store_ms, self.list_agents)

    def list_agents(self):
        """Read the whole store."""
        self.run_when_active(self._read_store)

    def _read_store(self):
        store = self.world.store
        if self.world.evacuate_ms is not None:
            zones = frozenset(self.world.evacuated_at)
            revision = StoreRevision(self.world.era, self.world.revision)
            actions = self.evacuations.on_read(zones, revision, self.world.now, 0)
            self.perform(actions)
        for key, (entry, revision) in sorted(store.items()):
            self.roster.put(key, entry, revision)
        self.roster.mark_others_missing(set(store), self.world.now)
        for change in self.world.route_changes:
            self.route_history.learn(change, self.world.now)
        self.core.apply_site(self.world.site, self.world.now)
        for change in self.route_history.list_observed(self.world.now):
            wait = self.world.random.randint(0, MAX_RECORD_DELAY_MS)
            self.world.after(wait, lambda one=change: self._record_route_change(one))
        self.perform(self.core.notify_missing_agents())
        self.roster.remove_gone(self.world.now)
        self.perform(self.core.on_agents_listed(self.world.now))

    def _record_route_change(self, change):
        if self.is_alive and change not in self.world.route_changes:
            self.world.route_changes.append(change)


class AgentNode(Node):
    """An agent beside a backend server."""

    def __init__(self, world, name, endpoint, service, zone):
        super().__init__(world, name, endpoint)
        self.service = service
        self.entry = AgentEntry(endpoint, service, zone)
        self.core = world.mechanisms.make_agent(self)

    def receive_report(self, report):
        """Handle a report; the processes of a machine share a clock here."""
        now = self.world.now
        self.perform(self.core.on_report(report, now - report.started_at, now))


class Client:
    """Simulated client, which opens one flow and sends its requests one by one."""

    RETRANSMISSIONS = ((200, 1), (600, 2))
    ATTEMPT_MS = 1_400

    def __init__(self, world, flow, requests, pause_ms, first_sequence=0):
        self.world = world
        self.flow = flow
        self.first_sequence = first_sequence
        self.requests_left = requests
        self.pause_ms = pause_ms
        self.outcome = "opening"
        self.start = None
        self.began_at = world.now
        self.opened_at = None
        self.position = first_sequence + 1
        self.answered = 0
        world.clients[flow] = self
        self._open(0)
        for delay, copy in self.RETRANSMISSIONS:
            world.after(delay, lambda copy=copy: self._open(copy))
        world.after(self.ATTEMPT_MS, self._give_up_opening)

    def _open(self, copy):
        if self.outcome == "opening":
            packet = make_packet(
                self.flow, PacketKind.OPEN, self.first_sequence, None, 0, copy
            )
            self.world.route(packet)

    def _give_up_opening(self):
        if self.outcome == "opening":
            self.outcome = "no answer"

    def receive(self, packet):
        """Handle a packet of the flow."""
        if packet.kind is PacketKind.ACCEPT:
            if self.outcome == "opening":
                self.outcome = "open"
                self.start = packet.sequence
                self.opened_at = self.world.now
                self._request(self.position, 200)
        elif self.outcome == "open" and packet.acknowledged == self.position + 100:
            self._next()

    def _next(self):
        """Record an answer and schedule the next request."""
        self.answered += 1
        self.position += 100
        self.requests_left -= 1
        if not self.requests_left:
            self.outcome = "served"
            return
        position = self.position
        self.world.after(self.pause_ms, lambda: self._request(position, 200))

    def close(self, kind):
        """Send a packet of a kind that ends the flow, if it is open or served."""
        if self.start is not None:
            acknowledged = (self.start + 1) % MODULUS
            self.world.route(make_packet(self.flow, kind, self.position, acknowledged))

    def _request(self, position, wait):
        """Send a request, and again after doubling waits until it is answered."""
        if self.outcome != "open" or position != self.position:
            return
        if wait > 6_400:
            self.outcome = "deadline"
            return
        acknowledged = (self.start + 1) % MODULUS
        packet = make_packet(
            self.flow, PacketKind.DATA, position, acknowledged, payload=100
        )
        self.world.route(packet)
        self.world.after(wait, lambda: self._request(position, 2 * wait))

    def reset(self):
        """Handle a reset."""
        if self.outcome in ("opening", "open"):
            self.outcome = "reset"


@dataclass(frozen=True)
class Mechanisms:
    """Classes of the cores; tests replace one to disable a mechanism."""

    balancer: type = PlainBalancer
    agent: type = PlainAgent
    chooser: type = LeastWaitChooser

    def make_balancer(self, node):
        """Return the core of a balancer."""
        chooser = self.chooser("zone-a", node.world.random)
        is_enabled = node.world.evacuate_ms is not None
        return self.balancer(
            node.roster,
            node.route_history,
            chooser,
            lambda: node.world.after(STORE_MS, node.list_agents),
            lambda: node.world.after(STORE_MS, node.list_agents),
            node.evacuations if is_enabled else None,
        )

    def make_agent(self, node):
        """Return the core of an agent."""
        core = self.agent(node.service, FLOW_LIMIT_MS, Millis(node.world.now))
        core._evacuation = AgentEvacuation(node.world.evacuate_ms is not None)
        return core


class PlainWorld:
    """Simulated machines, network and clock.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    network : NetworkConditions
        Faults and delays of the network.
    mechanisms : Mechanisms
        Classes of the cores.
    evacuate_ms : int or None
        Time after which an evacuated zone must get no openings; None if zones aren't
        evacuated in this deployment.
    """

    def __init__(self, seed=0, network=None, mechanisms=None, evacuate_ms=None):
        self.evacuate_ms = evacuate_ms
        self.evacuated_at = {}
        self.era = 1
        self.revision = 0
        self.random = random.Random(seed)
        self.network = network or NetworkConditions()
        self.mechanisms = mechanisms or Mechanisms()
        self.now = Millis(1_000)
        self.store_ms = STORE_MS
        self.site = make_site()
        self.store = {}
        self.route_changes = []
        self.balancers = {}
        self.agents = {}
        self.backends = {}
        self.clients = {}
        self.owners = {}
        self.log_events = []
        self.frames = []
        self.handovers = Counter()
        self.violations = []
        self.arrivals = []
        self.query_frames = []
        self._events = []
        self._order = itertools.count()
        self._hosts = itertools.count(1)
        self._transmissions = itertools.count(1)

    # Time

    def at(self, at, callback):
        """Schedule a call of `callback` at the time `at` in ms."""
        heapq.heappush(self._events, (max(at, self.now), next(self._order), callback))

    def after(self, delay, callback):
        """Schedule a call of `callback` after `delay` ms."""
        self.at(self.now + delay, callback)

    def run(self, duration):
        """Advance the clock by `duration` ms, running all events due."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            at, _, callback = heapq.heappop(self._events)
            self.now = Millis(at)
            callback()
        self.now = Millis(end)

    # Machines

    def add_balancer(self, name):
        """Start a balancer on a new machine, or restart it on its own."""
        old = self.balancers.get(name)
        endpoint = old.endpoint if old else Endpoint("10.0.0.1", next(self._hosts))
        if old:
            old.is_alive = False
        self.balancers[name] = BalancerNode(self, name, endpoint)

    def add_agent(
        self, name, service="order", work_ms=20, endpoint=None, zone="zone-a"
    ):
        """Add a machine with a backend server and an agent."""
        endpoint = endpoint or Endpoint("10.0.0.2", next(self._hosts))
        self.backends[name] = Backend(self, name, work_ms)
        self.agents[name] = AgentNode(self, name, endpoint, service, zone)
        self.store_entry(self.agents[name])
        self.backends[name].report()

    def store_entry(self, agent):
        """Store an agent's entry after `STORE_MS`, and notify the balancers."""
        self.after(STORE_MS, lambda: self._put_entry(agent))

    def _put_entry(self, agent):
        self.revision += 1
        self.store[agent.name] = (agent.entry, self.revision)
        self.notify_balancers()

    def expire_entry(self, name):
        """Remove an agent's entry from the store, as at the expiry of its lease."""
        self.store.pop(name, None)
        self.notify_balancers()

    def notify_balancers(self):
        """Have each balancer read the store after a random delay."""
        for balancer in list(self.balancers.values()):
            if balancer.is_deaf:
                continue
            self.after(self.random.randint(1, 700), balancer.list_agents)

    def evacuate(self, zone):
        """Write the key of an evacuated zone."""
        self.evacuated_at.setdefault(zone, self.now)
        self._on_operator_write()

    def withdraw(self, zone):
        """Remove the key of an evacuated zone."""
        self.evacuated_at.pop(zone, None)
        self._on_operator_write()

    def _on_operator_write(self):
        """Notify the balancers if they watch the evacuations."""
        self.revision += 1
        if self.evacuate_ms is not None:
            self.notify_balancers()

    def restore_evacuations(self, revision, zones):
        """Return to older keys; revisions are given out again in a new era."""
        self.revision = revision
        self.evacuated_at = dict.fromkeys(zones, self.now)
        self.era += 1
        self.notify_balancers()

    def apply_site(self, site):
        """Put a configuration in force, and notify the balancers."""
        self.site = site
        self.notify_balancers()

    def reuse_machine(self, name, service):
        """Replace an agent and its backend server by those of another service.

        The machine keeps its endpoint and the store key of its agent.
        """
        old = self.agents[name]
        old.is_alive = False
        self.backends[name].is_alive = False

        def start():
            self.backends[name] = Backend(self, name, self.backends[name].work_ms)
            zone = old.entry.zone
            self.agents[name] = AgentNode(self, name, old.endpoint, service, zone)
            self.store_entry(self.agents[name])
            self.backends[name].report()

        self.after(RESTART_MS, start)

    def replace_machine(self, old, new, service):
        """End a machine without a word, and start another one at its endpoint.

        The old store entry stays, as its lease runs on.
        """
        self.lose_machine(old)
        endpoint, work_ms = self.agents[old].endpoint, self.backends[old].work_ms
        self.after(REUSE_MS, lambda: self.add_agent(new, service, work_ms, endpoint))

    def record_handover(self, balancer, agent, packet):
        """Count a packet that a balancer forwards to an agent."""
        handover = (packet.raw, balancer.endpoint, agent)
        self.handovers[handover] += 1
        if self.handovers[handover] == MAX_HANDOVERS + 1:
            self.violations.append(f"{self.now}: {balancer.name} repeats {handover}")

    def restart_agent(self, name):
        """Kill an agent, not its backend server, and start it after `RESTART_MS`."""
        agent = self.agents[name]
        agent.is_alive = False

        def start():
            zone = agent.entry.zone
            fresh = AgentNode(self, name, agent.endpoint, agent.service, zone)
            self.agents[name] = fresh
            self.store_entry(fresh)

        self.after(RESTART_MS, start)

    def restart_balancer(self, name):
        """Kill a balancer and start it after `RESTART_MS`.

        Routers send it no packets meanwhile.
        """
        self.balancers[name].is_alive = False
        self.after(RESTART_MS, lambda: self.add_balancer(name))

    def crash_backend(self, name):
        """Kill a backend server and start a new run at once, without any flows."""
        old = self.backends[name]
        old.is_alive = False
        self.backends[name] = Backend(self, name, old.work_ms)
        self.after(200, self.backends[name].report)

    def lose_machine(self, name):
        """End an agent and its backend server for good; the store entry stays."""
        self.agents[name].is_alive = False
        self.backends[name].is_alive = False

    def lose_power(self):
        """Kill all processes, and start all that weren't lost before."""
        for name in list(self.balancers):
            self.restart_balancer(name)
        for name, agent in list(self.agents.items()):
            if agent.is_alive:
                self.restart_agent(name)
                self.crash_backend(name)

    def drain(self, name):
        """Have a backend server report immediately that it is draining."""
        self.backends[name].state = ReportedState.DRAINING
        self.backends[name].report()

    def freeze(self, node, duration):
        """Suspend a process for `duration` ms."""
        node.frozen_until = self.now + duration

    def call(self, requests=3, pause_ms=300):
        """Open a flow with a number of requests; return its client."""
        number = len(self.clients) + 1
        flow = FlowKey(b"\x64\x40" + number.to_bytes(2, "big") + b"\x9c\x41" + ENTRY)
        return Client(self, flow, requests, pause_ms)

    def reuse_ports(self, requests, first_sequence):
        """Have each client open a new flow from the port of its first one."""
        for flow in list(self.clients):
            self.owners.pop(flow, None)
            Client(self, flow, requests, 300, first_sequence)

    # Network

    def _deliver(self, callback):
        """Call `callback` after a network delay; it may be lost or duplicated."""
        network = self.network
        if self.random.random() < network.loss:
            return
        for _ in range(2 if self.random.random() < network.duplication else 1):
            self.after(self.random.randint(*network.delay), callback)

    def route(self, packet):
        """Deliver a client's packet to the balancer that the routers choose.

        Its `raw` datagram is a number of its own, so that copies of it are recognised.
        """
        packet = replace(packet, raw=b"%d" % next(self._transmissions))
        names = sorted(name for name, one in self.balancers.items() if one.is_alive)
        if not names:
            return
        chosen = max(names, key=lambda name: zlib.crc32(packet.flow + name.encode()))
        node = self.balancers[chosen]

        def arrive():
            callback = node.core.on_client_packet
            node.run_when_active(lambda: node.perform(callback(packet, self.now)))

        self._deliver(arrive)

    def send_frame(self, sender, peer, frame):
        """Deliver a frame to the process at an endpoint."""
        self.frames.append((self.now, sender.name, peer, frame))
        nodes = self.agents if isinstance(frame, ToAgent) else self.balancers
        if isinstance(frame, ForwardFrame):
            self.record_handover(sender, peer, frame.packet)
        if isinstance(frame, OwnerQueryFrame) and frame.queries:
            self.query_frames.append((self.now, sender, peer, len(frame.queries)))

        def arrive():
            running = (one for one in nodes.values() if one.is_alive)
            node = next((one for one in running if one.endpoint == peer), None)
            if node is not None:
                callback = node.core.on_frame
                node.run_when_active(
                    lambda: node.perform(callback(frame, sender.endpoint, self.now))
                )

        self._deliver(arrive)

    def send_to_agent(self, name, packet):
        """Deliver a backend server's packet to the agent on the same machine."""
        agent = self.agents[name]
        agent.run_when_active(
            lambda: agent.perform(agent.core.on_backend_packet(packet, self.now))
        )

    def send_to_client(self, packet):
        """Deliver a packet to its client."""
        self._deliver(lambda: self.clients[packet.flow].receive(packet))

    # Invariants and records

    def check_evacuation(self, backend):
        """Record a new flow in a zone that was evacuated before, as a violation."""
        zone = self.agents[backend.agent_name].entry.zone
        evacuated_at = self.evacuated_at.get(zone)
        if self.evacuate_ms is None or evacuated_at is None:
            return
        if self.now - evacuated_at > self.evacuate_ms:
            self.violations.append(f"{self.now}: opening in evacuated {zone}")

    def record_open(self, flow, backend):
        """Record the owner of a flow; two live owners are a violation."""
        owner = self.owners.setdefault(flow, backend)
        if owner is not backend and owner.is_alive:
            self.violations.append(f"{flow.hex()} is open at two backend servers")

    def deliver_reset(self, flow, sender):
        """Deliver a reset; resetting an open flow of a live owner is a violation."""
        owner = self.owners.get(flow)
        client = self.clients[flow]
        is_routed = entry_of(flow) in self.site.routes
        if (
            is_routed
            and owner is not None
            and owner.is_alive
            and client.outcome == "open"
        ):
            self.violations.append(
                f"{self.now}: {sender.name} reset {flow.hex()}, which its owner holds"
            )
        self._deliver(client.reset)

    def record_arrival(self, backend, packet):
        """Record a packet that a backend server received."""
        self.arrivals.append((self.now, backend, packet))

    def outcomes(self):
        """Return the number of clients by outcome."""
        found = {}
        for client in self.clients.values():
            found[client.outcome] = found.get(client.outcome, 0) + 1
        return found
