from pathlib import Path

import pytest

from papayagw._internal.core.agent import AgentCore
from tests.lib.scenario import Scenario
from tests.lib.world import Mechanisms
from tests.properties import lifecycle_proof, retry_proof, world_proof

FILES = sorted(Path(__file__).parent.glob("*.txt"))


class NeverDrains(AgentCore):
    """Keeps accepting openings while draining."""

    def drain(self):
        pass


class NoHealth:
    """Treats every backend server as reachable."""

    def is_reachable(self, now):
        return True

    def record_connect(self, reached, now):
        pass


def run_scenario(stem, mechanisms=None):
    path = Path(__file__).parent / f"{stem}.txt"
    scenario = Scenario(mechanisms)
    scenario.execute(path.read_text(encoding="utf-8"))
    scenario.world.check()


@pytest.mark.parametrize("stem", [path.stem for path in FILES])
def test_scenario(stem):
    run_scenario(stem)


@pytest.mark.parametrize(
    ("stem", "mechanisms"),
    [
        ("agent_drains", Mechanisms(agent=NeverDrains)),
        ("rolling_restart", Mechanisms(agent=NeverDrains)),
        ("agent_dies", Mechanisms(rule=retry_proof.RetriesWithoutOutcome)),
        ("agent_freezes", Mechanisms(rule=retry_proof.RetriesAlways)),
        ("lost_answers", Mechanisms(rule=retry_proof.RetriesAlways)),
        ("backend_breaks", Mechanisms(lifecycle=lifecycle_proof.CountsWritesOnly)),
        ("backend_refuses", Mechanisms(lifecycle=lifecycle_proof.DeliversEarly)),
        ("backend_refuses", Mechanisms(health=NoHealth)),
        ("views_differ", Mechanisms(keeps_first_answer=False)),
        (
            "address_reused",
            Mechanisms(
                agent=world_proof.AcceptsAnyService,
                balancer=world_proof.RoutesByTagOnly,
            ),
        ),
    ],
)
def test_scenario_fails_for_mutant(stem, mechanisms):
    with pytest.raises(AssertionError):
        run_scenario(stem, mechanisms)
