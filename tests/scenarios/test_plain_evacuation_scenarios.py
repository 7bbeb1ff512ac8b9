"""Scenarios and a property of evacuations of zones, on the real cores."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from papayagw._internal.core.plain.agent import PlainAgent
from papayagw._internal.core.plain.balancer import PlainBalancer
from papayagw._internal.models.plain.entry_store import StoreRevision
from papayagw._internal.models.plain.frame import EvacuationFrame
from tests.lib.plain_scenario import PlainScenario
from tests.lib.plain_world import Mechanisms

SITE = """
network delay=1-5
balancer b1 b2 b3
agent a1 order 20 zone-a
agent a2 order 20 zone-a
agent a3 order 20 zone-b
agent a4 order 20 zone-b
run 2000
"""
NONE_IN_ZONE_A = "expect-openings a1 0 3900 30000; expect-openings a2 0 3900 30000"
SOME_IN_ZONE_A = "expect-served a1; expect-served a2; expect-no-event opening returned"
SERVED = "run 30000; expect served all"
SCENARIOS = {
    "openings go to the other zone": f"""
        at 3000 evacuate zone-a; at 4000 calls 60 1 50
        {SERVED}; {NONE_IN_ZONE_A}; expect-no-event opening returned""",
    "open flows are kept through restarts": f"""
        at 2000 calls 20 20 20; at 3500 evacuate zone-a
        at 4500 restart-balancer b1; at 5000 restart-agent a1
        {SERVED}; expect-served a1; expect-openings a1 0 4500 30000""",
    "a zone that returns gets openings at once": f"""
        at 3000 evacuate zone-a; at 6000 withdraw zone-a; at 6750 calls 40 1 20
        {SERVED}; {SOME_IN_ZONE_A}""",
    "openings are refused at once if no other zone is left": """
        at 3000 evacuate zone-a; at 3000 evacuate zone-b; at 4000 calls 10 1 20
        run 2250; expect reset all""",
    "openings wait for agents of another zone that are only busy": f"""
        at 3000 evacuate zone-a; at 4000 calls 30 1 1; {SERVED}""",
    "a balancer that missed the request reads it again": f"""
        at 2900 deafen b1; at 3000 evacuate zone-a; at 4000 calls 90 1 20
        {SERVED}; {NONE_IN_ZONE_A}; expect-event opening returned""",
    "a frozen balancer wakes with openings from before": f"""
        at 2900 freeze-balancer b1 3000; at 3000 evacuate zone-a
        at 2910 calls 30 1 5; run 30000; {NONE_IN_ZONE_A}""",
    "balancers that restart hold openings until they know": f"""
        at 3000 evacuate zone-a; at 4000 store 500
        at 4000 restart-agent a1; at 4000 restart-agent a2
        at 4000 restart-balancer b1; at 4000 restart-balancer b2
        at 4000 restart-balancer b3; at 4350 calls 20 1 20
        {SERVED}; {NONE_IN_ZONE_A}""",
    "a restored store has lost the request": f"""
        at 2500 copy-store; at 3000 evacuate zone-a; at 5000 restore-store
        at 6000 calls 40 1 20; {SERVED}; {SOME_IN_ZONE_A}""",
    "a restored store has lost the withdrawal": f"""
        at 3000 evacuate zone-a; at 4000 copy-store; at 5000 withdraw zone-a
        at 6000 restore-store; at 7000 calls 40 1 20; {SERVED}; {NONE_IN_ZONE_A}""",
}


def play(text, seed, mechanisms=None, evacuate_ms=5_000):
    scenario = PlainScenario(seed, mechanisms, evacuate_ms)
    scenario.execute(SITE + text.replace(";", "\n"))
    return scenario.world


@pytest.mark.parametrize("name", SCENARIOS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_scenario(name, seed):
    assert play(SCENARIOS[name], seed).violations == []


class WaitsForEvacuatedZones(PlainBalancer):
    """Let openings wait although all agents are in evacuated zones."""

    def _offer(self, opening, route, now):
        self._evacuations.has_emptied = lambda service, now: False
        return super()._offer(opening, route, now)


class ChoosesAnyZone(PlainBalancer):
    """Offer openings to agents of evacuated zones too."""

    def __init__(self, *args):
        super().__init__(*args)
        self._evacuations.list_in_service = lambda views: views


class NeverRefuses(PlainAgent):
    """Leave the refusal to the balancers."""

    def _on_evacuation(self, frame, source, now):
        return []


class IgnoresEras(PlainAgent):
    """Compare revisions of different eras."""

    def _on_evacuation(self, frame, source, now):
        revision = StoreRevision(0, frame.revision.number)
        frame = EvacuationFrame(frame.service, frame.is_evacuated, revision)
        return super()._on_evacuation(frame, source, now)


@pytest.mark.parametrize(
    ("double", "name"),
    [
        (ChoosesAnyZone, "openings go to the other zone"),
        (
            WaitsForEvacuatedZones,
            "openings are refused at once if no other zone is left",
        ),
        (NeverRefuses, "a balancer that missed the request reads it again"),
        (NeverRefuses, "a frozen balancer wakes with openings from before"),
        (IgnoresEras, "a restored store has lost the request"),
    ],
)
def test_scenario_detects_a_disabled_mechanism(double, name):
    role = "balancer" if issubclass(double, PlainBalancer) else "agent"
    with pytest.raises(AssertionError):
        assert play(SCENARIOS[name], 1, Mechanisms(**{role: double})).violations == []


@pytest.mark.parametrize(
    ("evacuate_ms", "write"), [(None, "at 3000 evacuate zone-a"), (5_000, "")]
)
def test_without_the_setting_or_a_request_nothing_changes(evacuate_ms, write):
    """Frames, choices and log lines are those of a deployment without evacuations."""
    load = "at 2000 calls 60 6 20; at 4000 restart-balancer b1; run 10000"
    expected = play(load, 1, None, None)
    found = play(f"{write}\n{load}", 1, None, evacuate_ms)
    assert (found.frames, found.log_events) == (expected.frames, expected.log_events)


EVENTS = st.one_of(
    st.tuples(
        st.sampled_from(["evacuate", "withdraw"]), st.sampled_from(["zone-a", "zone-b"])
    ),
    st.tuples(st.just("restart-balancer"), st.sampled_from(["b1", "b2", "b3"])),
    st.tuples(st.just("restart-agent"), st.sampled_from(["a1", "a2", "a3", "a4"])),
)


@settings(
    max_examples=60,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    st.integers(0, 1 << 32),
    st.lists(st.tuples(st.integers(2_000, 10_000), EVENTS), max_size=16),
)
def test_no_opening_reaches_an_evacuated_zone(seed, history):
    """Nor does an open flow end, or a zone stay out of service at the end.

    A balancer of the simulation reads a change within 700 ms.
    """
    lines = [f"at {at} {verb} {name}" for at, (verb, name) in history]
    text = "\n".join(["at 2000 calls 80 6 100 700", *lines])
    end = "at 21000 withdraw zone-a; at 21000 withdraw zone-b; run 21000"
    world = play(f"{text}\n{end}\nexpect deadline 0", seed, evacuate_ms=1_000)
    later = [world.call(1) for _ in range(20)]
    world.run(3_000)
    assert world.violations == []
    assert {client.outcome for client in later} == {"served"}
    assert not any(node.core._evacuation.is_evacuated for node in world.agents.values())
