"""Scenarios of evacuations of zones on the real cores."""

import pytest

from papayagw._internal.core.plain.agent import PlainAgent
from papayagw._internal.core.plain.balancer import PlainBalancer
from papayagw._internal.core.plain.membership.agent_evacuation import AgentEvacuation
from papayagw._internal.models.plain.entry_store import StoreRevision
from papayagw._internal.models.plain.frame import EvacuationFrame
from tests.lib.plain_scenario import PlainScenario
from tests.lib.plain_world import Mechanisms

EVACUATE_MS = 5_000
SITE = """
network delay=1-5
balancer b1 b2 b3
agent a1 order 20 zone-a
agent a2 order 20 zone-a
agent a3 order 20 zone-b
agent a4 order 20 zone-b
run 2000
"""

SCENARIOS = {
    "openings go to the other zone, without a detour": """
        at 3000 evacuate zone-a
        at 4000 calls 60 1 50
        run 20000
        expect served all
        expect-openings a1 0 4000 20000
        expect-openings a2 0 4000 20000
        expect-event evacuation changed
        expect-no-event opening returned
    """,
    "open flows are kept, also through restarts": """
        at 2000 calls 20 20 20
        at 3500 evacuate zone-a
        at 4500 restart-balancer b1
        at 5000 restart-agent a1
        at 5500 restart-balancer b2
        at 6000 restart-agent a2
        run 30000
        expect served all
        expect-served a1
        expect-openings a1 0 4500 30000
    """,
    "a zone that returns gets openings at once": """
        at 3000 evacuate zone-a
        at 6000 withdraw zone-a
        at 6750 calls 40 1 20
        run 20000
        expect served all
        expect-served a1
        expect-served a2
        expect-no-event opening returned
    """,
    "openings are refused at once if no other zone is left": """
        at 3000 evacuate zone-a
        at 3000 evacuate zone-b
        at 4000 calls 10 1 20
        run 2250
        expect reset all
        expect-event opening refused
    """,
    "openings wait for an agent of another zone that is only busy": """
        at 3000 evacuate zone-a
        at 4000 calls 30 1 1
        run 20000
        expect served all
        expect-no-event opening refused
    """,
    "a balancer that missed the request reads it again": """
        at 2900 deafen b1
        at 3000 evacuate zone-a
        at 4000 calls 90 1 20
        run 20000
        expect served all
        expect-openings a1 0 4000 20000
        expect-openings a2 0 4000 20000
        expect-event opening returned
        expect-returned-at-most 20
    """,
    "a frozen balancer wakes with openings from before": """
        at 2900 freeze-balancer b1 3000
        at 3000 evacuate zone-a
        at 2910 calls 30 1 5
        run 20000
        expect-openings a1 0 3800 20000
        expect-openings a2 0 3800 20000
        expect-event opening returned
    """,
    "an agent that restarts is told by the balancers of its flows": """
        at 2000 calls 20 40 20
        at 3000 evacuate zone-a
        at 4000 restart-agent a1
        at 4000 restart-agent a2
        at 6000 deafen b1
        at 6000 restart-balancer b2
        run 30000
        expect served all
        expect-evacuated a1 1
        expect-evacuated a2 1
    """,
    "balancers that restart hold openings until they know": """
        at 3000 evacuate zone-a
        at 4000 restart-agent a1
        at 4000 restart-agent a2
        at 4000 store 500
        at 4000 restart-balancer b1
        at 4000 restart-balancer b2
        at 4000 restart-balancer b3
        at 4350 calls 20 1 20
        run 20000
        expect served all
        expect-openings a1 0 4000 20000
        expect-openings a2 0 4000 20000
    """,
    "a restored store has lost the request": """
        at 2500 copy-store
        at 3000 evacuate zone-a
        at 5000 restore-store
        at 6000 calls 40 1 20
        run 20000
        expect served all
        expect-served a1
        expect-served a2
        expect-no-event opening returned
        expect-evacuated a1 0
        expect-evacuated a2 0
    """,
    "a restored store has lost the withdrawal": """
        at 3000 evacuate zone-a
        at 4000 copy-store
        at 5000 withdraw zone-a
        at 6000 restore-store
        at 7000 calls 40 1 20
        run 20000
        expect served all
        expect-openings a1 0 7000 20000
        expect-evacuated a1 1
        expect-evacuated a2 1
    """,
}


class EvacuationScenario(PlainScenario):
    """Adds statements on the agents' own state and on returned openings."""

    def do_expect_evacuated(self, agent, expected):
        found = self.world.agents[agent].core._evacuation.is_evacuated
        assert found is bool(int(expected))

    def do_expect_returned_at_most(self, limit):
        events = [log_event.event for _, _, log_event in self.world.log_events]
        assert events.count("opening returned") <= int(limit)


def play(name, seed, mechanisms=None):
    scenario = EvacuationScenario(seed, mechanisms, EVACUATE_MS)
    scenario.execute(SITE + SCENARIOS[name])
    return scenario.world


@pytest.mark.parametrize("name", SCENARIOS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_scenario(name, seed):
    assert play(name, seed).violations == []


class ChoosesAnyZone(PlainBalancer):
    """Offer openings to agents of evacuated zones too."""

    def _choose_agent(self, service, opening, now):
        self._evacuations._zones, zones = frozenset(), self._evacuations._zones
        agent = super()._choose_agent(service, opening, now)
        self._evacuations._zones = zones
        return agent


class WaitsForEvacuatedZones(PlainBalancer):
    """Let openings wait although all agents are in evacuated zones."""

    def _offer(self, opening, route, now):
        self._evacuations.has_emptied = lambda service, now: False
        return super()._offer(opening, route, now)


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


class KeepsRefusing(PlainAgent):
    """Never take openings again."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._evacuation = _NeverEnds(True)


class _NeverEnds(AgentEvacuation):
    def apply(self, frame):
        return frame.is_evacuated and super().apply(frame)


@pytest.mark.parametrize(
    ("double", "name"),
    [
        (ChoosesAnyZone, "openings go to the other zone, without a detour"),
        (
            WaitsForEvacuatedZones,
            "openings are refused at once if no other zone is left",
        ),
        (NeverRefuses, "a balancer that missed the request reads it again"),
        (NeverRefuses, "a frozen balancer wakes with openings from before"),
        (IgnoresEras, "a restored store has lost the request"),
        (KeepsRefusing, "a zone that returns gets openings at once"),
    ],
)
def test_scenario_detects_a_disabled_mechanism(double, name):
    role = "balancer" if issubclass(double, PlainBalancer) else "agent"
    found = 0
    for seed in (1, 2, 3):
        try:
            found += bool(play(name, seed, Mechanisms(**{role: double})).violations)
        except AssertionError:
            found += 1
    assert found, "the scenario passes without the mechanism"


LOAD = "at 2000 calls 60 6 20\nat 4000 restart-balancer b1\nat 4500 restart-agent a1"


@pytest.mark.parametrize(
    ("evacuate_ms", "write"),
    [(None, "at 3000 evacuate zone-a"), (EVACUATE_MS, "")],
)
def test_without_the_setting_or_a_request_nothing_changes(evacuate_ms, write):
    """Frames, choices and log lines are those of a deployment without evacuations."""

    def record(evacuate_ms, write):
        scenario = PlainScenario(1, None, evacuate_ms)
        world, frames = scenario.world, []
        send_frame = world.send_frame

        def send(sender, peer, frame):
            frames.append((world.now, sender.name, peer, frame))
            send_frame(sender, peer, frame)

        world.send_frame = send
        scenario.execute(f"{SITE}\n{LOAD}\n{write}\nrun 10000")
        return frames, world.log_events, world.outcomes()

    expected = record(None, "")
    assert expected[0]
    assert record(evacuate_ms, write) == expected
