"""Load model for placement policies: real cores, one event queue, no network.

Clients, the backend servers' queues and the delays are modelled. Offers, returned
openings, retries and load reports are those of `PlainBalancer` and `PlainAgent`.
`python -m bench.even_load` prints the table of docs/design/even-load.md.
"""

import heapq
from collections import deque
from dataclasses import dataclass
from random import Random
from statistics import fmean

from papayagw._internal.core.plain.agent import PlainAgent
from papayagw._internal.core.plain.balancer import PlainBalancer
from papayagw._internal.core.plain.membership.roster import Roster
from papayagw._internal.core.plain.placement.choice import (
    LeastWaitChooser,
    RandomChooser,
    RoundRobinChooser,
)
from papayagw._internal.core.plain.routing.route_history import RouteHistory
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import SendFrame, SendToBackend
from papayagw._internal.models.plain.frame import (
    ForwardFrame,
    LoadFrame,
    ReturnFrame,
    ToBalancer,
)
from papayagw._internal.models.plain.instance import (
    AgentEntry,
    Departure,
    ReportedState,
    StatusReport,
)
from papayagw._internal.models.plain.packet import FlowKey, PacketKind
from tests.lib.plain_world import ENTRY, FLOW_LIMIT_MS, make_packet, make_site

SERVICE_MS = 80
"""Mean service time of a server of speed 1; a fifth of a usual latency objective."""
CLIENT_TIMEOUT_MS = 1_400
LONG_FLOW_SHARE, LONG_FLOW_REQUESTS, LONG_FLOW_PAUSE_MS = 0.1, 10, 300
WARM_UP_MS = 4_000
WINDOW_MS = 1_000
"""Period over which a server's load is averaged for the ratio of busiest to mean."""
RESTART_MS = 1_000


@dataclass(frozen=True)
class Case:
    """Size, load and faults of one run."""

    balancers: int = 24
    servers: int = 50
    load: float = 0.8
    lost_reports: float = 0.0
    report_delay_ms: int = 0
    restarts: int = 0
    """Number of servers that restart once, half a second after the warm-up."""
    length_ms: int = 6_000
    seed: int = 1


@dataclass(frozen=True)
class Outcome:
    """What the clients got, and how even the load was.

    A wait lasts from a flow's opening, or a later request, to the start of service; the
    response time also covers the service. Clients without an answer waited for
    `CLIENT_TIMEOUT_MS`.
    """

    mean_wait_ms: float
    p99_wait_ms: float
    mean_response_ms: float
    p99_response_ms: float
    busiest: float
    """Requests in progress per slot, busiest server to mean, in windows of a second."""
    unserved: int
    returned: float
    """Returned openings per flow."""


class Server:
    """A backend server with its queue, and its agent."""

    def __init__(self, model, number, slots, speed, zone):
        self.endpoint = Endpoint(f"10.2.{number >> 8}.{number & 255}", 1)
        self.model, self.slots, self.speed, self.zone = model, slots, speed, zone
        self.agent = PlainAgent("order", FLOW_LIMIT_MS, model.now)
        self.queue, self.running, self.run = deque(), 0, 1
        self.busy_ms, self.changed_at = 0.0, 0
        self.due_at = None
        self.report()

    def report(self):
        """Report the backend server's state to its agent."""
        report = StatusReport(
            "s", "order", ReportedState.READY, self.slots, Millis(0), self.run, 1
        )
        self.perform(self.agent.on_report(report, Millis(0), self.model.now))

    def restart(self):
        """End all flows and accept none for `RESTART_MS`."""
        self.account()
        self.queue.clear()
        self.running, self.run = 0, self.run + 1
        self.perform(self.agent.on_departure(Departure("s", None), self.model.now))
        self.model.after(RESTART_MS, self.report)

    def account(self):
        """Add the load since the last change to the window's."""
        elapsed = self.model.now - self.changed_at
        self.busy_ms += elapsed * (self.running + len(self.queue)) / self.slots
        self.changed_at = self.model.now

    def receive(self, frame, source):
        """Pass a balancer's frame to the agent."""
        self.perform(self.agent.on_frame(frame, source, self.model.now))

    def perform(self, actions):
        """Deliver what the agent sends, and wake it when it is due."""
        for action in actions:
            match action:
                case SendFrame(peer, frame):
                    self.model.send_to_balancer(self.endpoint, peer, frame)
                case SendToBackend(packet) if packet.kind is PacketKind.OPEN:
                    self.answer(packet.flow, PacketKind.ACCEPT)
                    self.model.after(2, self.model.clients[packet.flow].open, self)
                case SendToBackend(packet) if packet.payload_bytes:
                    self.account()
                    self.queue.append(packet.flow)
                    self.start_next()
        due_at = self.agent.due_at
        if due_at is not None and (self.due_at is None or due_at < self.due_at):
            self.due_at = due_at
            self.model.after(max(due_at - self.model.now, 0), self.wake, due_at)

    def wake(self, due_at):
        """Handle the agent's timer, unless it was set anew."""
        if due_at == self.due_at:
            self.due_at = None
            self.perform(self.agent.on_timer(self.model.now))

    def start_next(self):
        """Start the requests for which slots are free."""
        while self.queue and self.running < self.slots:
            self.running += 1
            flow = self.queue.popleft()
            self.model.clients[flow].start(self.model.now)
            service_ms = round(self.model.clients[flow].draw_work_ms() / self.speed)
            self.model.after(service_ms, self.finish, flow, self.run)

    def finish(self, flow, run):
        """End a request, unless the server has restarted since."""
        if run == self.run:
            self.account()
            self.running -= 1
            self.answer(flow, PacketKind.DATA, payload=10)
            self.model.clients[flow].finish(self.model.now)
            self.start_next()

    def answer(self, flow, kind, payload=0):
        """Send a packet of the server to its agent."""
        packet = make_packet(flow, kind, 500, None, payload)
        self.perform(self.agent.on_backend_packet(packet, self.model.now))


class Client:
    """A client with one flow of one or several requests, one after the other."""

    def __init__(self, model, flow, balancer, seed):
        self.model, self.flow, self.balancer = model, flow, balancer
        # Draws that don't depend on the policy, so that policies can be compared.
        self.random = Random(seed)
        is_long = self.random.random() < LONG_FLOW_SHARE
        self.remaining = LONG_FLOW_REQUESTS if is_long else 1
        self.asked_at, self.sequence = model.now, 1
        self.server = self.started_at = None

    def open(self, server):
        """Begin the flow at the server that accepted it first."""
        if self.server is None:
            self.server = server
            self.request()

    def request(self):
        """Send a request in the flow."""
        self.send(make_packet(self.flow, PacketKind.DATA, self.sequence, 501, 10))
        self.sequence += 10

    def send(self, packet):
        """Send a packet of the client to the server's agent."""
        self.server.receive(ForwardFrame("order", packet), self.balancer.endpoint)

    def draw_work_ms(self):
        """Return the work of a request; half of its mean is fixed."""
        return SERVICE_MS * (0.5 + self.random.expovariate(2))

    def start(self, now):
        """Record the start of service."""
        self.started_at = now

    def finish(self, now):
        """Record the end of a request, and schedule the next one or the end."""
        if self.asked_at >= WARM_UP_MS:
            self.model.waits.append(self.started_at - self.asked_at)
            self.model.responses.append(now - self.asked_at)
        self.remaining -= 1
        if self.remaining:
            pause = round(self.random.expovariate(1 / LONG_FLOW_PAUSE_MS))
            self.model.after(pause, self.ask_again)
        else:
            self.send(make_packet(self.flow, PacketKind.FINISH, self.sequence, 501))

    def ask_again(self):
        """Send the next request of the flow."""
        self.asked_at = self.model.now
        self.request()

    def give_up(self):
        """Count the client as unserved if no server has accepted its flow."""
        if self.server is None and self.asked_at >= WARM_UP_MS:
            self.model.unserved += 1


class Balancer:
    """A balancer; `make_chooser` is called with its zone and a random generator."""

    def __init__(self, model, number, make_chooser):
        self.endpoint = Endpoint(f"10.1.{number >> 8}.{number & 255}", 1)
        self.model, self.due_at = model, None
        self.roster = Roster()
        for server in model.servers.values():
            entry = AgentEntry(server.endpoint, "order", server.zone)
            self.roster.put(str(server.endpoint), entry, 1)
        chooser = make_chooser(f"zone-{number % 4}", Random(number))
        history = RouteHistory(FLOW_LIMIT_MS)
        self.core = PlainBalancer(self.roster, history, chooser)
        self.core.apply_site(make_site(), model.now)
        self.core.on_agents_listed(Millis(-60_000))

    def handle(self, actions):
        """Deliver the balancer's frames and set its timer."""
        for action in actions:
            if isinstance(action, SendFrame):
                server = self.model.servers[action.peer]
                self.model.after(1, server.receive, action.frame, self.endpoint)
        due_at = self.core.due_at
        if due_at is not None and (self.due_at is None or due_at < self.due_at):
            self.due_at = due_at
            self.model.after(max(due_at - self.model.now, 0), self.wake, due_at)

    def receive(self, frame, source):
        """Handle an agent's frame."""
        self.model.returned += isinstance(frame, ReturnFrame)
        self.handle(self.core.on_frame(frame, source, self.model.now))

    def wake(self, due_at):
        """Handle the balancer's timer, unless it was set anew."""
        if due_at == self.due_at:
            self.due_at = None
            self.handle(self.core.on_timer(self.model.now))


class PlacementModel:
    """Clients, balancers and servers on one event queue."""

    def __init__(self, case, make_chooser):
        self.case, self.now = case, Millis(0)
        self.random, self.loss_random = Random(case.seed), Random(case.seed)
        self.events, self.sequence = [], 0
        self.waits, self.responses, self.ratios = [], [], []
        self.unserved = self.returned = 0
        self.clients = {}
        self.servers = {}
        for number in range(case.servers):
            slots, speed = 1 + number % 5, (0.6, 1.0, 1.6)[number % 3]
            server = Server(self, number, slots, speed, f"zone-{number % 4}")
            self.servers[server.endpoint] = server
        self.balancers = {}
        for number in range(case.balancers):
            balancer = Balancer(self, number, make_chooser)
            self.balancers[balancer.endpoint] = balancer
        capacity = sum(one.slots * one.speed for one in self.servers.values())
        requests = 1 + LONG_FLOW_SHARE * (LONG_FLOW_REQUESTS - 1)
        self.flow_gap_ms = SERVICE_MS * requests / (case.load * capacity)

    def after(self, delay_ms, action, *arguments):
        """Schedule a call after a delay."""
        self.sequence += 1
        at = self.now + delay_ms
        heapq.heappush(self.events, (at, self.sequence, action, arguments))

    def send_to_balancer(self, source, peer, frame):
        """Deliver an agent's frame; faults concern load reports that answer nothing."""
        assert isinstance(frame, ToBalancer)
        delay = 1
        if isinstance(frame, LoadFrame):
            if self.loss_random.random() < self.case.lost_reports:
                return
            delay += self.case.report_delay_ms
        self.after(delay, self.balancers[peer].receive, frame, source)

    def arrive(self):
        """Open a flow by way of a random balancer, and schedule the next one."""
        number = len(self.clients)
        flow = FlowKey((number + 1).to_bytes(6, "big") + ENTRY)
        balancer = self.random.choice(self.balancer_list)
        client = self.clients[flow] = Client(self, flow, balancer, self.random.random())
        opening = make_packet(flow, PacketKind.OPEN)
        balancer.handle(balancer.core.on_client_packet(opening, self.now))
        self.after(CLIENT_TIMEOUT_MS, client.give_up)
        self.next_flow_at += self.random.expovariate(1 / self.flow_gap_ms)
        self.after(max(round(self.next_flow_at) - self.now, 0), self.arrive)

    def end_window(self):
        """Record the ratio of the busiest server's load to the mean."""
        loads = []
        for server in self.servers.values():
            server.account()
            loads.append(server.busy_ms)
            server.busy_ms = 0.0
        if self.now > WARM_UP_MS:
            self.ratios.append(max(loads) / fmean(loads))
        self.after(WINDOW_MS, self.end_window)

    def run(self):
        """Run the case and return what came of it."""
        self.balancer_list = list(self.balancers.values())
        self.next_flow_at = 0.0
        self.arrive()
        self.after(WINDOW_MS, self.end_window)
        for server in list(self.servers.values())[: self.case.restarts]:
            self.after(WARM_UP_MS + 500, server.restart)
        while self.events[0][0] < WARM_UP_MS + self.case.length_ms:
            at, _, action, arguments = heapq.heappop(self.events)
            self.now = Millis(at)
            action(*arguments)
        given_up = [CLIENT_TIMEOUT_MS] * self.unserved
        waits = sorted(self.waits + given_up)
        responses = sorted(self.responses + given_up)
        return Outcome(
            fmean(waits),
            waits[len(waits) * 99 // 100],
            fmean(responses),
            responses[len(responses) * 99 // 100],
            fmean(self.ratios),
            self.unserved,
            self.returned / len(self.clients),
        )


class TwoChoices:
    """The better of two random candidates by least wait."""

    def __init__(self, zone, random):
        self.random, self.least_wait = random, LeastWaitChooser(zone, random)

    def choose(self, flow, candidates, now):
        """Return the better one of two random candidates."""
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return self.least_wait.choose(flow, pair, now)


def run_case(case, make_chooser):
    return PlacementModel(case, make_chooser).run()


BASELINES = {
    "least wait": LeastWaitChooser,
    "random": lambda zone, random: RandomChooser(random),
    "round robin": lambda zone, random: RoundRobinChooser(),
    "two choices": TwoChoices,
}
