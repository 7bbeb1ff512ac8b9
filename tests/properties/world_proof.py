"""Properties: guarantees to callers and services under random faults of a small site.

The site covers the interaction of all decisions: balancers with different views, two
services whose agents swap addresses, openings that are duplicated, lost and delayed,
and callers that open again.
"""

from hypothesis import strategies as st

from papayagw._internal.core.agent import AgentCore
from papayagw._internal.core.balancer import BalancerCore
from papayagw._internal.core.lifecycle import FlowLifecycle
from papayagw._internal.models.decision import Accept
from tests.lib.scenario import Scenario
from tests.lib.world import Mechanisms
from tests.properties.lifecycle_proof import CountsWritesOnly
from tests.properties.proving import Mutation, Property
from tests.properties.retry_proof import RetriesAlways, RetriesWithoutOutcome

SITE = """
balancer b1 b2
agent a1 order
agent a2 order
agent a3 drawings
run 300
calls order 5 order 3 60
calls drawing 4 drawings 3 70
calls rate 2 rates 1 90
agent a4 rates
"""
SETTLING_MS = 15_000
BALANCERS = st.sampled_from(["b1", "b2"])
AGENTS = st.sampled_from(["a1", "a2", "a3", "a4"])
SERVICES = st.sampled_from(["order", "drawings"])
MODES = st.sampled_from(["refuse", "stall", "break", "up"])
FAULTS = st.one_of(
    st.tuples(st.just("kill"), BALANCERS),
    st.tuples(st.just("start"), BALANCERS),
    st.tuples(st.just("kill"), AGENTS),
    st.tuples(st.just("restart"), AGENTS, SERVICES),
    st.tuples(st.just("drain"), AGENTS),
    st.tuples(st.just("freeze"), AGENTS),
    st.tuples(st.just("thaw"), AGENTS),
    st.tuples(st.just("cut"), AGENTS, BALANCERS),
    st.tuples(st.just("cut"), BALANCERS, AGENTS),
    st.tuples(st.just("backend"), AGENTS, MODES),
)
NETWORKS = st.builds(
    "network seed={} delay=1-{} loss={} double={}".format,
    st.integers(0, 1_000),
    st.sampled_from([1, 30, 200]),
    st.sampled_from([0, 0.1, 0.4]),
    st.sampled_from([0, 0.5]),
)
HISTORIES = st.tuples(
    NETWORKS, st.lists(st.tuples(st.integers(300, 2_000), FAULTS), max_size=8)
)


def check(mechanisms, history):
    """Run the site under the faults, end all of them and wait until it settles."""
    network, faults = history
    scenario = Scenario(mechanisms)
    scenario.execute(network + SITE)
    for at, words in faults:
        scenario.do("at", at, *words)
    scenario.execute("run 3000\nheal")
    world = scenario.world
    for agent in world.agents.values():
        agent.thaw()
        agent.break_backend()
    world.run(SETTLING_MS)
    world.check()
    assert all(call.reported_outcome for call in world.calls.values()), (
        "a caller received no outcome"
    )
    flows = [f for a in world.agents.values() if a.alive for f in a.flows.values()]
    assert all(flow.reported_outcome for flow in flows), "a flow was never closed"


class AcceptsAnyService(AgentCore):
    """Accepts openings of other services."""

    def decide_opening(self, *_):
        return Accept()


class RoutesByTagOnly(BalancerCore):
    """Ignores the address to which a tagged packet was sent."""

    def route_tagged(self, service_id, route):
        own = service_id if route is None else route.service_id
        return super().route_tagged(own, route)


class RefusesUntilAnswer(FlowLifecycle):
    """Reports REFUSED whenever no answer has started."""

    __slots__ = ()

    def _fail(self):
        self._delivered = self._delivered if self._answer_bytes else 0
        return super()._fail()


REAL = Mechanisms()
PROOF = Property("world", HISTORIES, check, REAL)
MUTATIONS = [
    Mutation(f"World{name}", PROOF, mechanisms)
    for name, mechanisms in {
        "CountsWritesOnly": Mechanisms(lifecycle=CountsWritesOnly),
        "RefusesUntilAnswer": Mechanisms(lifecycle=RefusesUntilAnswer),
        "RetriesWithoutOutcome": Mechanisms(rule=RetriesWithoutOutcome),
        "RetriesAlways": Mechanisms(rule=RetriesAlways),
        "KeepsEveryAnswer": Mechanisms(keeps_first_answer=False),
        "NoServiceChecks": Mechanisms(
            balancer=RoutesByTagOnly, agent=AcceptsAnyService
        ),
    }.items()
]
