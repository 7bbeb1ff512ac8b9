"""The nodes of `World`: each is a thin shell around the production decisions."""

from papayagw._internal.core.admission import make_adaptive_admission
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.retry import OpeningRetry, TokenBudget
from papayagw._internal.models import lifecycle as on
from papayagw._internal.models.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    AdmissionRequest,
    ReleaseReason,
)
from papayagw._internal.models.agent import AgentRecord, Incarnation
from papayagw._internal.models.decision import Accept, DropReason, Forward
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowOutcome, FlowRoute, FlowTag
from papayagw._internal.models.retry import AttemptEnded, Reopen, RetryPolicy
from papayagw._internal.wire.tag import NONCE_BYTES, TAG_BYTES, TagCodec
from tests.lib.samples import KEY, NO_PEERS
from tests.lib.world import (
    IDEMPOTENT,
    SERVICES,
    Close,
    HandshakeReply,
    Node,
    RequestFrame,
    ResponseFrame,
)

IDLE_TIMEOUT_MS = 3_000
HANDSHAKE_TIMEOUT_MS = 2_000
OPENING_TIMEOUT_MS = 1_500
PROBE_INTERVAL_MS = 500
ANNOUNCE_INTERVAL_MS = 500
SERVICE_TIME_MS = 30
CODEC = TagCodec([KEY])


class Balancer(Node):
    """Routes packets by the core; holds no state of a flow."""

    def __init__(self, world, name):
        super().__init__(world, name)
        self.directory = AgentDirectory()
        self.received_records = {}
        core = world.mechanisms.balancer
        self.core = core(self.directory, RendezvousChooser(), NO_PEERS)
        world.every_tick(self, self.expire)

    def on_record(self, record):
        if self.directory.merge(record):
            self.received_records[record.endpoint] = (self.world.now(), record)

    def expire(self):
        for endpoint, (at, record) in list(self.received_records.items()):
            if self.world.now() - at > 4 * ANNOUNCE_INTERVAL_MS:
                del self.received_records[endpoint]
                self.directory.forget(record)

    def on_packet(self, service_id, connection_id, payload):
        if len(connection_id) == TAG_BYTES:
            route = CODEC.open_route(connection_id)
            decision = self.core.route_tagged(service_id, route)
        else:
            decision = self.core.route_opening(service_id, connection_id)
        if isinstance(decision, Forward):
            agent = self.world.agents_by_endpoint.get(decision.agent)
            message = (service_id, connection_id, payload, 0)
            self.world.send(self, agent, Agent.on_frame, *message)


class Agent(Node):
    """Owns flows; includes its backend server, which may fail separately."""

    def __init__(self, world, name, service, number):
        super().__init__(world, name)
        self.service_id = SERVICES[service]
        self.endpoint = Endpoint("127.0.5.1", 4_000 + number)
        self.incarnation = Incarnation(world.now() + 1)
        self.sequence = 0
        self.backend = "up"
        self.siblings = AgentDirectory()
        self.route = FlowRoute.of(self.service_id, self.endpoint, self.incarnation)
        core = world.mechanisms.agent
        self.core = core(self.route, self.siblings, RendezvousChooser(), 100)
        self.admission = make_adaptive_admission(AdmissionPolicy())
        self.health = world.mechanisms.health()
        self.openings = {}
        self.flows = {}
        world.agents_by_endpoint[self.endpoint] = self
        world.every_tick(self, self.tick)
        self.announce()

    def announce(self):
        """Send the record of this agent to all balancers and agents."""
        self.sequence += 1
        state = self.core.state
        run = (self.incarnation, self.sequence, self.service_id)
        record = AgentRecord(self.endpoint, *run, "a", state)
        for balancer in self.world.balancers.values():
            self.world.send(self, balancer, Balancer.on_record, record)
        for agent in self.world.agents.values():
            self.world.send(self, agent, lambda one, r: one.siblings.merge(r), record)

    def tick(self):
        if self.world.now() % ANNOUNCE_INTERVAL_MS < 100:
            self.announce()
        for flow in list(self.flows.values()):
            flow.tick()
        self.poll()

    def poll(self):
        results = self.admission.poll(self.world.now())
        for number in results.admitted:
            self.find_flow(number).apply(on.Admitted())
        for number in results.refused:
            self.find_flow(number).apply(on.AdmissionRefused())

    def find_flow(self, number):
        return next(flow for flow in self.flows.values() if flow.number == number)

    def drain(self):
        self.core.drain()
        self.announce()
        for flow in list(self.flows.values()):
            flow.apply(on.DrainStarted())

    def die(self):
        self.alive = False
        if self.world.agents_by_endpoint.get(self.endpoint) is self:
            del self.world.agents_by_endpoint[self.endpoint]

    def break_backend(self):
        """Kill the backend server: connections break and new ones are refused."""
        self.backend = "refuse"
        for flow in list(self.flows.values()):
            flow.apply(on.BackendConnectionLost(flow.attempt))

    def on_frame(self, service_id, connection_id, payload, hops):
        flow = self.flows.get(connection_id) or self.openings.get(connection_id)
        if flow is not None:
            flow.on_payload(payload)
        elif len(connection_id) == TAG_BYTES:
            self.on_stray(service_id, connection_id, payload)
        else:
            self.on_opening(service_id, connection_id, payload, hops)

    def on_stray(self, service_id, tag, payload):
        reason = self.core.check_tagged(service_id, CODEC.open_route(tag))
        if reason in (None, DropReason.STALE_INCARNATION):
            caller, _ = payload
            close = Close(tag, FlowOutcome.UNKNOWN)
            self.world.send(self, caller, Caller.on_message, close)

    def on_opening(self, service_id, opening, payload, hops):
        open_flows = sum(flow.lifecycle.outcome is None for flow in self.flows.values())
        reachable = self.health.is_reachable(self.world.now())
        load = (open_flows, hops, reachable)
        decision = self.core.decide_opening(service_id, opening, *load)
        match decision:
            case Accept():
                flow = AgentFlow(self, opening, payload[0])
                self.openings[opening] = self.flows[flow.tag] = flow
                flow.on_payload(payload)
            case Forward(sibling):
                target = self.world.agents_by_endpoint.get(sibling)
                message = (service_id, opening, payload, hops + 1)
                self.world.send(self, target, Agent.on_frame, *message)


class AgentFlow:
    """One flow at its agent, which executes the actions of the lifecycle."""

    def __init__(self, agent, opening, caller):
        self.agent = agent
        self.world = agent.world
        self.opening = opening
        self.caller = caller
        self.number = next(self.world.numbers)
        nonce = self.number.to_bytes(NONCE_BYTES, "big")
        self.tag = CODEC.seal(FlowTag(KEY.key_id, agent.route, nonce))
        self.lifecycle = self.world.mechanisms.lifecycle()
        self.last_received_at = self.world.now()
        self.handshake_done = False
        self.request, self.finished, self.delivered_bytes = b"", False, 0
        self.answer, self.answer_finished = b"", False
        self.attempt = 0
        self.ran = False
        self.reported_outcome = None

    def send(self, message):
        self.world.send(self.agent, self.caller, Caller.on_message, message)

    def on_payload(self, payload):
        _, frame = payload
        self.last_received_at = self.world.now()
        if self.reported_outcome is not None:
            self.send(Close(self.tag, self.reported_outcome))
        elif frame is None:
            self.send(HandshakeReply(self.opening, self.tag))
        else:
            self.on_request_frame(frame)

    def on_request_frame(self, frame):
        if not self.handshake_done:
            self.handshake_done = True
            self.apply(on.HandshakeCompleted())
            self.request_admission()
        new_data = frame.data[len(self.request) :]
        if new_data:
            self.request += new_data
            self.apply(on.CallerSent(len(new_data)))
        if frame.finished and not self.finished:
            self.finished = True
            self.apply(on.CallerFinished())
        if self.answer_finished and frame.has_end:
            self.apply(on.AnswerAcknowledged())
        elif frame.received < len(self.answer) or self.answer_finished:
            self.send_answer()

    def request_admission(self):
        request = AdmissionRequest(self.number, self.caller.name)
        match self.agent.admission.submit(request, self.world.now()):
            case AdmissionDecision.ADMIT:
                self.apply(on.Admitted())
            case AdmissionDecision.REFUSE:
                self.apply(on.AdmissionRefused())

    def send_answer(self):
        self.send(ResponseFrame(self.tag, self.answer, self.answer_finished))

    def tick(self):
        now = self.world.now()
        timeout_ms = IDLE_TIMEOUT_MS if self.handshake_done else HANDSHAKE_TIMEOUT_MS
        if self.reported_outcome is None and now - self.last_received_at > timeout_ms:
            self.apply(on.IdleTimedOut())

    def apply(self, event):
        """Pass an event to the lifecycle and execute the resulting actions."""
        if not self.agent.alive:
            return
        for action in self.lifecycle.handle(event):
            self.act(action)

    def act(self, action):
        match action:
            case on.ConnectBackend(attempt):
                self.attempt = attempt
                self.world.call_later(1, lambda: self.agent.deliver(self.on_connect))
            case on.DeliverToBackend(size):
                end = self.delivered_bytes + size
                self.on_delivery(self.request[self.delivered_bytes : end])
                self.delivered_bytes = end
            case on.SendToCaller() | on.FinishAnswer():
                self.answer_finished = isinstance(action, on.FinishAnswer)
                self.send_answer()
            case on.CloseFlow(outcome):
                self.reported_outcome = outcome
                self.agent.admission.close(self.number)
                self.send(Close(self.tag, outcome))

    def on_connect(self):
        connected = self.agent.backend != "refuse"
        self.agent.health.record_connect(connected, self.world.now())
        kind = on.BackendConnected if connected else on.BackendConnectFailed
        self.apply(kind(self.attempt))

    def on_delivery(self, data):
        """Simulate the backend server: run a request once its line is complete."""
        name = self.caller.name
        ground_truth = self.world.ground_truth
        ground_truth.deliveries.append((name, self.agent.name, self.agent.service_id))
        line = self.request[: self.delivered_bytes + len(data)]
        if line.endswith(b"\n") and not self.ran:
            self.ran = True
            ground_truth.runs.append((name, self.agent.name, self.world.now()))
            if self.agent.backend != "stall":
                self.world.call_later(SERVICE_TIME_MS, lambda: self.write(1))

    def write(self, line):
        """Simulate the backend server, which answers line by line and then closes."""
        lines = self.caller.lines
        if self.reported_outcome is not None or not self.agent.alive:
            return
        if line > lines:
            self.apply(on.BackendClosed(self.attempt))
            return
        self.agent.admission.finish_work(
            self.number, ReleaseReason.ANSWERED, self.world.now()
        )
        text = self.caller.expect_line(line)
        self.answer += text
        self.apply(on.BackendSent(self.attempt, len(text)))
        self.world.call_later(
            100, lambda: self.agent.deliver(lambda: self.write(line + 1))
        )


class Caller(Node):
    """One call: opens a flow, sends a request and expects `lines` lines of answer."""

    def __init__(self, world, name, service, lines=1, deadline=None):
        super().__init__(world, name)
        self.service_id = SERVICES[service]
        self.lines = lines
        policy = RetryPolicy()
        self.retry = OpeningRetry(
            policy,
            TokenBudget(policy),
            idempotent=self.service_id in IDEMPOTENT,
            draw=lambda: 1.0,
            deadline=deadline,
            rule=world.mechanisms.rule(),
        )
        self.request = f"run {name}\n".encode()
        self.received = b""
        self.reported_outcome = None
        self.stray_messages = 0
        self.open()
        world.every_tick(self, self.tick)

    def expect_line(self, line):
        return f"{self.name} {line};".encode()

    def open(self):
        self.opening = next(self.world.numbers).to_bytes(8, "big")
        self.tags = []
        self.sent = 0
        self.has_end = False
        self.last_received_at = self.sent_at = self.world.now()
        self.send()

    def send(self):
        self.sent_at = self.world.now()
        if not self.tags:
            self.world.send_to_any_balancer(
                self, self.service_id, self.opening, (self, None)
            )
        for tag in self.tags:
            data = self.request[: self.sent]
            finished = self.sent == len(self.request)
            frame = RequestFrame(tag, data, finished, len(self.received), self.has_end)
            self.world.send_to_any_balancer(self, self.service_id, tag, (self, frame))

    def tick(self):
        now = self.world.now()
        if self.reported_outcome is not None or not self.opening:
            return
        timeout_ms = IDLE_TIMEOUT_MS if self.tags else OPENING_TIMEOUT_MS
        if now - self.last_received_at > timeout_ms:
            self.end(None)
        elif self.sent < len(self.request) or now - self.sent_at >= PROBE_INTERVAL_MS:
            self.sent = min(len(self.request), self.sent + 4)
            self.send()
        elif not self.tags:
            self.send()

    def on_message(self, message):
        if self.reported_outcome is not None:
            self.stray_messages += 1
        elif isinstance(message, HandshakeReply):
            self.on_handshake_reply(message)
        elif message.tag not in self.tags:
            self.stray_messages += 1
        elif isinstance(message, Close):
            self.end(message.outcome)
        else:
            self.on_answer(message)

    def on_handshake_reply(self, reply):
        keeps = not (self.tags and self.world.mechanisms.keeps_first_answer)
        if reply.opening == self.opening and keeps and reply.tag not in self.tags:
            self.tags.append(reply.tag)
            self.last_received_at = self.world.now()
            self.sent = min(4, len(self.request))
            self.send()
        else:
            self.stray_messages += 1

    def on_answer(self, down):
        self.last_received_at = self.world.now()
        self.received = max(self.received, down.data, key=len)
        self.has_end = down.finished
        self.sent = len(self.request)
        self.send()
        if self.has_end:
            self.end(FlowOutcome.ANSWERED)

    def end(self, outcome):
        """Pass the end of an attempt to the retry policy and execute its decision."""
        started = bool(self.received)
        ended = AttemptEnded(self.retry.attempt, outcome, bool(self.tags), started)
        action = self.retry.handle_attempt_ended(ended, self.world.now())
        self.tags, self.opening = [], b""
        if isinstance(action, Reopen):
            delay = action.at - self.world.now()
            self.last_received_at = self.world.now() + delay
            self.world.call_later(delay, self.open)
        else:
            self.reported_outcome = action.outcome

    def check(self, ground_truth):
        """Raise AssertionError if a guarantee to this call is violated."""
        runs = ground_truth.count_runs(self.name)
        whole = b"".join(self.expect_line(line + 1) for line in range(self.lines))
        idempotent = self.service_id in IDEMPOTENT
        assert runs <= 1 or idempotent, f"{self.name} ran {runs} times"
        assert whole.startswith(self.received), (
            f"{self.name} got the answer of another call"
        )
        if self.reported_outcome is FlowOutcome.REFUSED:
            assert not ground_truth.has_delivery(self.name), (
                f"{self.name} refused but delivered"
            )
        if self.reported_outcome is FlowOutcome.ANSWERED:
            assert self.received == whole, f"{self.name} got an incomplete answer"
