"""Invariants of flows of the plain front end under generated sequences of faults."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.lib.plain_world import NetworkConditions, PlainWorld

BALANCERS = ("b1", "b2", "b3")
AGENTS = ("a1", "a2", "a3", "a4")
HISTORY_MS = 8_000
SETTLE_MS = 40_000
EXAMPLES = 60


def _named(verb, names):
    return st.tuples(st.just(verb), st.sampled_from(names))


EVENTS = st.one_of(
    _named("restart_balancer", BALANCERS),
    _named("restart_agent", AGENTS),
    _named("freeze_balancer", BALANCERS),
    _named("freeze_agent", AGENTS),
    _named("expire_entry", AGENTS),
    _named("drain", AGENTS),
    _named("crash_backend", AGENTS),
    _named("reuse_machine", AGENTS),
    st.just(("new_version", "")),
)
HISTORIES = st.lists(st.tuples(st.integers(0, HISTORY_MS), EVENTS), max_size=12)
NETWORKS = st.builds(
    NetworkConditions,
    loss=st.sampled_from([0.0, 0.02, 0.1]),
    duplication=st.sampled_from([0.0, 0.1]),
    delay=st.sampled_from([(1, 1), (1, 10), (1, 60)]),
)
FREEZE_MS = 5_000


def _apply(world, event):
    verb, name = event
    match verb:
        case "freeze_balancer":
            world.freeze(world.balancers[name], FREEZE_MS)
        case "freeze_agent":
            world.freeze(world.agents[name], FREEZE_MS)
        case "reuse_machine":
            world.reuse_machine(name, "drawings")
        case "new_version":
            world.apply_site(
                type(world.site)(
                    world.site.version + 3,
                    world.site.routes,
                    world.site.idle_timeout_ms,
                )
            )
        case _:
            getattr(world, verb)(name)


def play(seed, network, history):
    """Return a world after a sequence of faults, with 40 flows opened meanwhile."""
    world = PlainWorld(seed, network)
    for name in BALANCERS:
        world.add_balancer(name)
    for name in AGENTS:
        world.add_agent(name)
    world.run(2_000)
    start = world.now
    for number in range(40):
        world.at(start + 200 * number, lambda: world.call(6, 700))
    for at, event in history:
        world.at(start + at, lambda event=event: _apply(world, event))
    world.run(HISTORY_MS + SETTLE_MS)
    return world


@settings(
    max_examples=EXAMPLES,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 1 << 32), NETWORKS, HISTORIES)
def test_no_flow_is_reset_or_open_twice_while_its_owner_lives(seed, network, history):
    world = play(seed, network, history)
    assert world.violations == []


@settings(
    max_examples=EXAMPLES,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    st.integers(0, 1 << 32),
    st.lists(
        st.tuples(
            st.integers(0, HISTORY_MS),
            st.one_of(
                _named("restart_balancer", BALANCERS),
                _named("restart_agent", AGENTS),
                _named("expire_entry", AGENTS),
                st.just(("new_version", "")),
            ),
        ),
        max_size=10,
    ),
)
def test_flows_live_through_restarts(seed, history):
    world = play(seed, NetworkConditions(delay=(1, 5)), history)
    outcomes = world.outcomes()
    # Openings sent while all balancers are down may end without an answer, which the
    # client notices. Only broken flows count.
    broken = outcomes.get("reset", 0) + outcomes.get("deadline", 0)
    assert world.violations == []
    assert broken == 0, outcomes


@pytest.mark.parametrize(
    ("balancer_at", "agent_at"), [(212, 217), (202, 203), (400, 420), (1_500, 1_501)]
)
@pytest.mark.parametrize("seed", range(5))
def test_a_fleet_that_has_just_started_resets_no_flow_of_a_dead_agent(
    seed, balancer_at, agent_at
):
    """A start of the whole fleet looks like the return of power."""
    history = [
        (balancer_at, ("restart_balancer", "b1")),
        (agent_at, ("restart_agent", "a1")),
    ]
    world = play(seed, NetworkConditions(delay=(1, 5)), history)
    assert world.violations == []
    assert world.outcomes() == {"served": 40}
