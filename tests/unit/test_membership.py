import pytest

from papayagw._internal.models.agent import AgentState
from tests.lib.fleet import FleetDriver, Network
from tests.lib.samples import make_record

LIMIT_MS = 2_000
LOSSY = Network(delay_ms=5, jitter_ms=40, loss=0.1, duplicates=0.1)
NETWORKS = [Network(), LOSSY]


def make_fleet(network, balancers=3, agents=11, seed=1):
    fleet = FleetDriver(seed, network)
    fleet.add_fleet(balancers, agents)
    fleet.run(10_000)
    return fleet


def assert_ready(fleet, endpoints):
    assert fleet.find_ready() == [set(endpoints)] * len(fleet.find_ready())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("balancers", "agents"), [(1, 1), (2, 2), (3, 11), (20, 40)])
def test_every_balancer_learns_every_agent(balancers, agents, seed):
    fleet = make_fleet(LOSSY, balancers, agents, seed)
    fleet.network = Network()
    fleet.run(20_000)
    assert_ready(fleet, fleet.agents)
    assert all(len(one.peers) == balancers - 1 for one in fleet.balancers.values())
    assert all(one.caught_up for one in fleet.balancers.values())


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("network", NETWORKS)
@pytest.mark.parametrize("event", ["join", "drain", "close", "die"])
def test_change_of_an_agent_is_known_within_the_limit(event, network, seed):
    fleet = make_fleet(network, seed=seed)
    changed = make_record(3).endpoint
    expected = set(fleet.agents) - {changed}
    if event == "join":
        expected = {*fleet.agents, fleet.add_agent(make_record(50))}
    elif event == "drain":
        fleet.send_all(changed, fleet.agents[changed].drain(fleet.now))
    elif event == "close":
        fleet.send_all(changed, fleet.agents[changed].close(fleet.now))
    else:
        fleet.kill(changed)
    fleet.run(LIMIT_MS)
    # With packet loss, another agent may be suspected until it refutes the suspicion.
    for ready in fleet.find_ready():
        assert (changed in ready) == (changed in expected)
        assert (make_record(50).endpoint in ready) == (event == "join")
    fleet.network = Network()
    fleet.run(5_000)
    assert_ready(fleet, expected)


@pytest.mark.parametrize("network", NETWORKS)
def test_agents_learn_their_siblings(network):
    fleet = make_fleet(network, agents=7)
    fleet.run(5_000)
    for endpoint, agent in fleet.agents.items():
        siblings = {one.endpoint for one in agent.siblings.find_ready(1)}
        assert siblings == set(fleet.agents) - {endpoint}


@pytest.mark.parametrize("seed", range(3))
def test_balancers_all_replaced_at_once_learn_all_agents(seed):
    fleet = make_fleet(LOSSY, seed=seed)
    for number, endpoint in enumerate(tuple(fleet.balancers)):
        fleet.kill(endpoint)
        fleet.add_balancer(100 + number, incarnation=2_000)
    fleet.run(5_000)
    fleet.network = Network()
    fleet.run(5_000)
    assert_ready(fleet, fleet.agents)


def test_closed_agent_stays_closed():
    fleet = make_fleet(Network())
    closed = make_record(3).endpoint
    fleet.send_all(closed, fleet.agents[closed].close(fleet.now))
    fleet.run(20_000)
    record = next(iter(fleet.balancers.values())).directory.records
    states = {one.endpoint: one.state for one in record}
    assert states[closed] is AgentState.GONE
