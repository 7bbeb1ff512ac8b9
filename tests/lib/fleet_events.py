"""Faults and operations that tests apply to a simulated fleet."""

from dataclasses import dataclass
from enum import Enum

from papayagw._internal.core.announcer import AgentAnnouncer
from papayagw._internal.core.directory import MAX_SUSPECTED_SHARE
from papayagw._internal.models.agent import AgentState
from papayagw._internal.models.endpoint import Endpoint
from tests.lib.fleet import ZONES, FleetDriver, Network, make_restarted_record


class Event(Enum):
    """Kind of fault or operation; the number of a step selects the node."""

    DRAIN = "drain"
    CLOSE = "close"
    KILL_AGENT = "kill-agent"
    RESTART_AGENT = "restart-agent"
    FREEZE_AGENT = "freeze-agent"
    REPLACE_FROZEN = "replace-frozen"
    THAW = "thaw"
    KILL_BALANCER = "kill-balancer"
    ADD_BALANCER = "add-balancer"
    REPLACE_BALANCERS = "replace-balancers"
    FREEZE_BALANCER = "freeze-balancer"
    CUT_ZONE = "cut-zone"
    CUT_ONE_WAY = "cut-one-way"
    HEAL = "heal"


@dataclass(frozen=True, slots=True)
class Step:
    """Event, number that selects the node, and time to run afterwards."""

    event: Event
    number: int
    wait_ms: int


class FaultInjectingFleet(FleetDriver):
    """Fleet that applies events and checks that no view ever reverts."""

    def __post_init__(self):
        super().__post_init__()
        self.highest_precedence: dict[tuple[Endpoint, Endpoint], tuple[int, ...]] = {}
        self.zombies: list[tuple[Endpoint, AgentAnnouncer]] = []
        self.dead: set[Endpoint] = set()
        self._last_balancer_number = 100

    def apply(self, step: Step) -> None:
        getattr(self, "_" + step.event.value.replace("-", "_"))(step.number)
        self.run(step.wait_ms)

    def settle(self, duration_ms: int) -> None:
        """End all faults and run until the fleet has converged."""
        self.network = Network()
        self.heal()
        self._thaw(0)
        if not self.balancers:
            self._add_balancer(0)
        self.run(duration_ms)

    def list_alive(self) -> set[Endpoint]:
        """Return the agents that are running and report that they are ready."""
        return {
            endpoint
            for endpoint, agent in self.agents.items()
            if agent.own.state is AgentState.READY
        }

    def count_unsuspected_dead(self) -> int:
        """Return how many dead agents remain ready due to the limit on suspicion."""
        ready_or_dead = len(self.list_alive()) + len(self.dead)
        return max(0, len(self.dead) - int(ready_or_dead * MAX_SUSPECTED_SHARE))

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 100):
            super().run(100)
            for endpoint, zombie in self.zombies:
                self.send_all(endpoint, zombie.on_tick(self.now))
            self.check_monotone()

    def check_monotone(self) -> None:
        for own, balancer in self.balancers.items():
            for record in balancer.directory.records:
                key = (own, record.endpoint)
                assert record.precedence >= self.highest_precedence.get(key, ())
                self.highest_precedence[key] = record.precedence

    def _pick(self, nodes: dict, number: int):
        return sorted(nodes)[number % len(nodes)] if nodes else None

    def _drain(self, number: int) -> None:
        endpoint = self._pick(self.agents, number)
        if endpoint is not None and endpoint not in self.frozen:
            self.send_all(endpoint, self.agents[endpoint].drain(self.now))

    def _close(self, number: int) -> None:
        endpoint = self._pick(self.agents, number)
        if endpoint is not None and endpoint not in self.frozen:
            self.send_all(endpoint, self.agents[endpoint].close(self.now))

    def _kill_agent(self, number: int) -> None:
        endpoint = self._pick(self.agents, number)
        if endpoint is not None:
            self.frozen.discard(endpoint)
            if self.kill(endpoint).own.state is AgentState.READY:
                self.dead.add(endpoint)

    def _restart_agent(self, number: int) -> None:
        endpoint = self._pick(self.agents, number)
        if endpoint is not None:
            self.frozen.discard(endpoint)
            self.add_agent(make_restarted_record(self.agents[endpoint].own))

    def _freeze_agent(self, number: int) -> None:
        endpoint = self._pick(self.agents, number)
        if endpoint is not None:
            self.frozen.add(endpoint)

    def _replace_frozen(self, _number: int) -> None:
        """Start a new run at each frozen agent's endpoint and resume the old run."""
        for endpoint in sorted(self.frozen & set(self.agents)):
            old = self.agents[endpoint]
            self.frozen.discard(endpoint)
            self.add_agent(make_restarted_record(old.own))
            self.zombies.append((endpoint, old))

    def _thaw(self, _number: int) -> None:
        self.frozen.clear()

    def _kill_balancer(self, number: int) -> None:
        endpoint = self._pick(self.balancers, number)
        if len(self.balancers) > 1:
            self.frozen.discard(endpoint)
            self.kill(endpoint)

    def _add_balancer(self, _number: int) -> None:
        self._last_balancer_number += 1
        self.add_balancer(self._last_balancer_number)

    def _replace_balancers(self, _number: int) -> None:
        count = len(self.balancers)
        self.frozen -= set(self.balancers)
        self.balancers.clear()
        for _ in range(count):
            self._add_balancer(0)

    def _freeze_balancer(self, number: int) -> None:
        endpoint = self._pick(self.balancers, number)
        if endpoint is not None:
            self.frozen.add(endpoint)

    def _list_nodes_in_zone(self, number: int) -> set[Endpoint]:
        zone = ZONES[number % len(ZONES)]
        return {one for one, node in self._list_nodes() if node.own.zone == zone}

    def _cut_zone(self, number: int) -> None:
        inside = self._list_nodes_in_zone(number)
        outside = {one for one, _ in self._list_nodes()} - inside
        self.block_links(inside, outside)
        self.block_links(outside, inside)

    def _cut_one_way(self, number: int) -> None:
        inside = self._list_nodes_in_zone(number)
        outside = {one for one, _ in self._list_nodes()} - inside
        self.block_links(inside, outside)

    def _heal(self, _number: int) -> None:
        self.heal()
