"""Scenario language for the simulated world; each line is one statement.

    network seed=1 delay=1-20 loss=0.1 double=0.1
    balancer NAME...            agent NAME SERVICE
    at MS VERB WORD...          run MS
    expect CALL OUTCOME...      (CALL may contain *; any outcome matches)
    expect-runs CALL COUNT      expect-idle AGENT MS    (no work after MS)

Verbs: call NAME SERVICE LINES, calls PREFIX COUNT SERVICE LINES EVERY_MS, kill,
start BALANCER, restart AGENT SERVICE, drain, freeze, thaw, cut FROM TO, split NODE
NODE, heal, backend AGENT up|refuse|stall|break. `#` begins a comment.
"""

import random
from fnmatch import fnmatch

from tests.lib.world import World
from tests.lib.world_nodes import Agent, Balancer, Caller


class Scenario:
    """Interpreter that executes statements on a simulated world."""

    def __init__(self, mechanisms=None):
        self.random = random.Random(0)
        self.delay = (1, 1)
        self.loss = self.duplication = 0.0
        self.world = World(self.draw_delays, self.random.choice, mechanisms)
        self.agent_numbers = {}

    def draw_delays(self):
        if self.random.random() < self.loss:
            return ()
        copies = 2 if self.random.random() < self.duplication else 1
        return tuple(self.random.randint(*self.delay) for _ in range(copies))

    def execute(self, text):
        """Execute each line of `text`."""
        for line in text.splitlines():
            words = line.partition("#")[0].split()
            if words:
                self.do(*words)

    def do(self, verb, *words):
        getattr(self, "do_" + verb.replace("-", "_"))(*words)

    def find_node(self, name):
        nodes = {**self.world.balancers, **self.world.agents, **self.world.calls}
        return nodes[name]

    def do_network(self, *words):
        options = dict(word.split("=") for word in words)
        self.random.seed(int(options.get("seed", 0)))
        self.delay = tuple(int(end) for end in options.get("delay", "1-1").split("-"))
        self.loss = float(options.get("loss", 0))
        self.duplication = float(options.get("double", 0))

    def do_balancer(self, *names):
        for name in names:
            self.world.balancers[name] = Balancer(self.world, name)

    do_start = do_balancer

    def do_agent(self, name, service):
        number = self.agent_numbers.setdefault(name, len(self.agent_numbers) + 1)
        self.world.agents[name] = Agent(self.world, name, service, number)

    def do_at(self, at, *words):
        self.world.call_later(int(at) - self.world.now(), lambda: self.do(*words))

    def do_run(self, duration):
        self.world.run(int(duration))

    def do_call(self, name, service, lines):
        self.world.calls[name] = Caller(self.world, name, service, int(lines))

    def do_calls(self, prefix, count, service, lines, every):
        for number in range(int(count)):
            words = ("call", f"{prefix}{number}", service, lines)
            self.world.call_later(
                number * int(every), lambda words=words: self.do(*words)
            )

    def do_kill(self, name):
        node = self.find_node(name)
        node.die() if isinstance(node, Agent) else setattr(node, "alive", False)

    def do_restart(self, name, service):
        self.do_kill(name)
        self.do_agent(name, service)

    def do_drain(self, name):
        self.find_node(name).drain()

    def do_freeze(self, name):
        self.find_node(name).frozen = True

    def do_thaw(self, name):
        self.find_node(name).thaw()

    def do_cut(self, source, target):
        self.world.blocked_links.add((source, target))

    def do_split(self, one, other):
        self.world.blocked_links |= {(one, other), (other, one)}

    def do_heal(self):
        self.world.blocked_links.clear()

    def do_backend(self, name, mode):
        if mode == "break":
            self.find_node(name).break_backend()
        else:
            self.find_node(name).backend = mode

    def do_expect(self, pattern, *outcomes):
        calls = [c for c in self.world.calls.values() if fnmatch(c.name, pattern)]
        assert calls, f"no call matches the pattern {pattern}"
        for call in calls:
            reported = (
                "open" if call.reported_outcome is None else call.reported_outcome.value
            )
            assert reported in outcomes, (
                f"{call.name} got the outcome {reported!r}, expected one of {outcomes}"
            )

    def do_expect_runs(self, name, count):
        assert self.world.ground_truth.count_runs(name) == int(count)

    def do_expect_idle(self, name, after):
        runs = [run for run in self.world.ground_truth.runs if run[1] == name]
        assert all(at <= int(after) for _, _, at in runs), (
            f"{name} got work after {after} ms"
        )
