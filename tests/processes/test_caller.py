"""The caller library against a fleet of processes."""

import anyio
import pytest

import papayagw
from tools.fleet import running_fleet
from tools.fleet_folder import FleetPlan, ServicePlan

PLAN = FleetPlan(services=(ServicePlan("order", 1),), block=70)
AUTHORITY = "keys/ca.pem"
TIMEOUT_S = 60


@pytest.fixture(scope="module")
def fleet():
    with running_fleet(PLAN) as fleet:
        yield fleet


async def run_with_caller(fleet, act):
    """Return the result of `act`, run with a caller of the order service."""
    entry = fleet.settings.site.find_service("order").address
    caller = papayagw.Caller("order", str(entry), fleet.folder / AUTHORITY)
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            await caller.start(tasks)
            result = await act(fleet, caller)
            caller.close()
    return result


async def receive_all(flow):
    chunks = []
    while chunk := await flow.receive():
        chunks.append(chunk)
    return b"".join(chunks)


async def place_order(fleet, caller):
    flow = caller.open()
    await flow.send(b"ORDER library-1\n")
    flow.send_eof()
    return await receive_all(flow)


async def follow_feed_of_dying_agent(fleet, caller):
    flow = caller.open()
    await flow.send(b"FEED library-2 1000 50\n")
    await flow.receive()
    fleet.kill("agent-order-1")
    try:
        await receive_all(flow)
    finally:
        fleet.start_process("agent-order-1")


async def order_without_agent(fleet, caller):
    fleet.kill("agent-order-1")
    try:
        flow = caller.open()
        await flow.send(b"ORDER library-3\n")
        await receive_all(flow)
    finally:
        fleet.start_process("agent-order-1")


def test_order_is_answered(fleet):
    answer = anyio.run(run_with_caller, fleet, place_order)
    assert answer == b"DONE library-1 order-1\n"


@pytest.mark.parametrize(
    ("act", "error"),
    [
        (follow_feed_of_dying_agent, papayagw.FlowUnknownError),
        (order_without_agent, papayagw.FlowRefusedError),
    ],
)
def test_error_tells_whether_it_may_have_run(fleet, act, error):
    with pytest.raises(BaseExceptionGroup) as raised:
        anyio.run(run_with_caller, fleet, act)
    assert raised.group_contains(error)
