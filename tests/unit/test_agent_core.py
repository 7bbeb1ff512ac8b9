import pytest

from papayagw._internal.core.agent import MAX_HOPS, AgentCore
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.models.decision import Accept, Drop, DropReason, Forward
from papayagw._internal.models.flow import FlowRoute
from tests.lib.samples import DRAWINGS, ORDER, make_record

OWN, SIBLING = make_record(1), make_record(2)
FORWARDED = Forward(SIBLING.endpoint)


@pytest.mark.parametrize(
    ("service_id", "siblings", "flows", "hops", "reachable", "decision"),
    [
        (ORDER, [SIBLING], 0, 0, True, Accept()),
        (ORDER, [SIBLING], 5, 0, True, FORWARDED),
        (ORDER, [], 5, 0, True, Drop(DropReason.OVERLOADED)),
        (ORDER, [SIBLING], 5, MAX_HOPS, True, Drop(DropReason.TOO_MANY_HOPS)),
        (ORDER, [SIBLING], 0, 0, False, FORWARDED),
        (ORDER, [SIBLING], 0, MAX_HOPS, False, Accept()),
        (ORDER, [], 0, 0, False, Accept()),
        (DRAWINGS, [SIBLING], 0, 0, True, Drop(DropReason.WRONG_SERVICE)),
        (DRAWINGS, [], 0, MAX_HOPS, False, Drop(DropReason.TOO_MANY_HOPS)),
    ],
)
def test_opening(service_id, siblings, flows, hops, reachable, decision):
    directory = AgentDirectory()
    for record in (OWN, *siblings):
        directory.merge(record)
    route = FlowRoute.of(ORDER, OWN.endpoint, OWN.incarnation)
    core = AgentCore(route, directory, RendezvousChooser(), max_flows=5)
    found = core.decide_opening(service_id, b"opening1", flows, hops, reachable)
    assert found == decision
