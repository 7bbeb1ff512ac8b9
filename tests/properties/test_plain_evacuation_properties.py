"""Invariants of evacuations under interleavings of requests and restarts."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.lib.plain_world import NetworkConditions, PlainWorld

BALANCERS = ("b1", "b2", "b3")
AGENTS = {"a1": "zone-a", "a2": "zone-a", "a3": "zone-b", "a4": "zone-b"}
ZONES = ("zone-a", "zone-b")
HISTORY_MS = 8_000
SETTLE_MS = 12_000
EVACUATE_MS = 1_000
"""A balancer of the simulation reads a change within 700 ms."""

EVENTS = st.one_of(
    st.tuples(st.sampled_from(("evacuate", "withdraw")), st.sampled_from(ZONES)),
    st.tuples(st.just("restart_balancer"), st.sampled_from(BALANCERS)),
    st.tuples(st.just("restart_agent"), st.sampled_from(sorted(AGENTS))),
)
HISTORIES = st.lists(st.tuples(st.integers(0, HISTORY_MS), EVENTS), max_size=16)


@settings(
    max_examples=60,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 1 << 32), HISTORIES)
def test_no_opening_reaches_an_evacuated_zone(seed, history):
    """Also guards against flows that an evacuation ends, and a zone that stays out."""
    world = PlainWorld(seed, NetworkConditions(delay=(1, 20)), evacuate_ms=EVACUATE_MS)
    for name in BALANCERS:
        world.add_balancer(name)
    for name, zone in AGENTS.items():
        world.add_agent(name, zone=zone)
    world.run(2_000)
    start = world.now
    for number in range(80):
        world.at(start + 100 * number, lambda: world.call(6, 700))
    for at, (verb, name) in history:
        world.at(start + at, lambda verb=verb, name=name: getattr(world, verb)(name))
    world.run(HISTORY_MS + SETTLE_MS)
    outcomes = world.outcomes()
    assert world.violations == []
    assert outcomes.get("deadline", 0) == 0, outcomes

    for zone in ZONES:
        world.withdraw(zone)
    world.run(2_000)
    later = [world.call(1) for _ in range(20)]
    world.run(3_000)
    assert {client.outcome for client in later} == {"served"}
    assert not any(node.core._evacuation.is_evacuated for node in world.agents.values())
