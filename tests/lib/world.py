"""Simulation of balancers, agents, callers and backend servers on a manual clock.

The decisions are made by the production code. The simulation adds only what connects
them: messages that are delayed, lost, duplicated and reordered, and, in place of QUIC's
loss recovery, streams that resend all their data until it is acknowledged.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from papayagw._internal.core.agent import AgentCore
from papayagw._internal.core.backend_health import ConnectHealth
from papayagw._internal.core.balancer import BalancerCore
from papayagw._internal.core.lifecycle import FlowLifecycle
from papayagw._internal.core.retry import UndeliveredOnly
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.service import ServiceId
from tests.lib.samples import ManualClock

SERVICES = {"order": ServiceId(1), "drawings": ServiceId(2), "rates": ServiceId(3)}
IDEMPOTENT = {SERVICES["rates"]}
TICK_MS = 100


@dataclass(frozen=True)
class RequestFrame:
    """The data that a caller has sent so far, and how much it has received."""

    tag: bytes
    data: bytes
    finished: bool
    received: int
    has_end: bool


@dataclass(frozen=True)
class ResponseFrame:
    """The answer that an agent has sent so far."""

    tag: bytes
    data: bytes
    finished: bool


@dataclass(frozen=True)
class HandshakeReply:
    """An agent's answer to an opening."""

    opening: bytes
    tag: bytes


@dataclass(frozen=True)
class Close:
    """The outcome of a flow as reported by its agent."""

    tag: bytes
    outcome: FlowOutcome


@dataclass(frozen=True)
class Mechanisms:
    """The implementations under test; a mutation replaces one with a double."""

    lifecycle: Callable[[], Any] = FlowLifecycle
    rule: Callable[[], Any] = UndeliveredOnly
    balancer: Any = BalancerCore
    agent: Any = AgentCore
    health: Callable[[], Any] = ConnectHealth
    keeps_first_answer: bool = True


@dataclass
class GroundTruth:
    """The deliveries and runs that took place, for the checks at the end."""

    runs: list[tuple[str, str, int]] = field(default_factory=list)
    deliveries: list[tuple[str, str, ServiceId]] = field(default_factory=list)

    def count_runs(self, call: str) -> int:
        return sum(one == call for one, _, _ in self.runs)

    def has_delivery(self, call: str) -> bool:
        return any(one == call for one, _, _ in self.deliveries)


class World:
    """The clock, the network and the nodes by name.

    Parameters
    ----------
    draw_delays : callable
        Returns the delay of each copy of the next message; no delay means a loss.
    choose : callable
        Returns one element of a sequence, as the fabric does.
    """

    def __init__(self, draw_delays, choose, mechanisms=None):
        self.clock = ManualClock(0)
        self.draw_delays = draw_delays
        self.choose = choose
        self.mechanisms = mechanisms or Mechanisms()
        self.ground_truth = GroundTruth()
        self.balancers: dict[str, Any] = {}
        self.agents: dict[str, Any] = {}
        self.calls: dict[str, Any] = {}
        self.agents_by_endpoint: dict[Endpoint, Any] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.numbers = count(1)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []

    def now(self):
        return self.clock.now()

    def call_later(self, delay, action):
        """Run `action` after `delay` milliseconds."""
        heapq.heappush(self._queue, (self.now() + delay, next(self.numbers), action))

    def every_tick(self, node, action):
        """Run `action` each tick while `node` is alive; a frozen node skips ticks."""

        def tick():
            if node.alive:
                if not node.frozen:
                    action()
                self.call_later(TICK_MS, tick)

        self.call_later(TICK_MS, tick)

    def send(self, source, target, receive, *message):
        """Deliver a message to `target` unless the link is blocked or it gets lost."""
        if target is None or (source.name, target.name) in self.blocked_links:
            return
        for delay in self.draw_delays():
            self.call_later(
                delay, lambda: target.deliver(lambda: receive(target, *message))
            )

    def send_to_any_balancer(self, caller, service_id, connection_id, payload):
        """Send a caller's packet to any live balancer, as the fabric does."""
        live = [one for one in self.balancers.values() if one.alive]
        if live:
            balancer = self.choose(live)
            receive = type(balancer).on_packet
            self.send(caller, balancer, receive, service_id, connection_id, payload)

    def run(self, duration):
        """Advance the clock by `duration` milliseconds and run the actions due."""
        end = self.now() + duration
        while self._queue and self._queue[0][0] <= end:
            at, _, action = heapq.heappop(self._queue)
            self.clock.advance(at - self.now())
            action()
        self.clock.advance(end - self.now())

    def check(self):
        """Raise AssertionError if a guarantee to a caller or a service is violated."""
        for call, agent, service_id in self.ground_truth.deliveries:
            assert self.calls[call].service_id == service_id, (
                f"{call} reached {agent} of another service"
            )
        for call in self.calls.values():
            call.check(self.ground_truth)


class Node:
    """A named node that may die or freeze."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.alive = True
        self.frozen = False
        self._inbox: list[Callable[[], None]] = []

    def deliver(self, action):
        """Process a message, either now or after the node is thawed."""
        if self.frozen:
            self._inbox.append(action)
        elif self.alive:
            action()

    def thaw(self):
        self.frozen = False
        inbox, self._inbox = self._inbox, []
        for action in inbox:
            self.deliver(action)
