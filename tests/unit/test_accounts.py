from dataclasses import replace

import pytest

from papayagw._internal.models.agent import AgentState
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.net.balancer_account import describe_agents
from tests.lib.samples import SITE, make_record

CONFIGURATION = Configuration(1, SITE)


@pytest.mark.parametrize(
    ("record", "service", "state"),
    [
        (make_record(1), "order", "ready"),
        (replace(make_record(1), suspicion=1), "order", "suspected"),
        (replace(make_record(1), suspicion=2), "order", "ready"),
        (make_record(1, state=AgentState.DRAINING), "order", "draining"),
        (
            replace(make_record(1, state=AgentState.GONE), suspicion=1),
            "order",
            "gone",
        ),
        (make_record(1, 999), "999", "ready"),
    ],
)
def test_agent_is_listed_with_its_state(record, service, state):
    (listed,) = describe_agents([record], CONFIGURATION)
    assert (listed.service, listed.state) == (service, state)
    assert (listed.endpoint, listed.weight) == (str(record.endpoint), 64)
