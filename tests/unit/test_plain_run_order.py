"""Tests of a backend server's runs when clocks are set.

They guard against a report that is acknowledged but not used, against an earlier run
that takes the place of the live one, and against an agent that denies flows of a run
that an earlier agent has served.
"""

import pytest

from papayagw._internal.core.plain.agent import PlainAgent
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import (
    OwnerQuery,
    OwnerQueryFrame,
    Ownership,
)
from papayagw._internal.models.plain.instance import (
    Departure,
    ReportedState,
    StatusReport,
)
from papayagw._internal.models.plain.packet import FlowKey
from tests.lib.plain_world import ENTRY

INTERVAL_MS, TAKEOVER_MS = 1_200, 2_600
STEP_MS = 2_400
"""How far a clock is ahead or behind."""

BALANCER = Endpoint("10.0.0.1", 1)
FLOW = FlowKey(b"\x64\x40\x00\x07\x9c\x41" + ENTRY)
FIRST_START = 10_000
"""Start of the first run, by the agent's clock, which is never set."""

SECOND_START = FIRST_START + 1_300


def make_report(run, number, state=ReportedState.READY, instance="i1"):
    return StatusReport(instance, "order", state, 1, 0, run, number)


class Machine:
    """Passes reports to an agent; the wall clock is off by `offset_ms`."""

    def __init__(self):
        self.agent = PlainAgent("order", 60_000, FIRST_START - 500)
        self.offset_ms = 0

    def report(self, at, run, number, **fields):
        """Deliver a report; return whether it is in force and so acknowledged."""
        report = make_report(run, number, **fields)
        age_ms = at + self.offset_ms - run
        self.agent.on_report(report, age_ms, at)
        return self.agent.is_in_force(report)

    def report_for(self, duration_ms, at, run, number, interval_ms=200):
        """Deliver reports for a time; return the acknowledgement of the last."""
        return [
            self.report(at + passed, run, number + passed // interval_ms)
            for passed in range(0, duration_ms + 1, interval_ms)
        ][-1]

    @property
    def ownership(self):
        """The agent's reply for a flow that it doesn't know."""
        query = OwnerQueryFrame("order", (OwnerQuery(FLOW, None),))
        (action,) = self.agent.on_frame(query, BALANCER, FIRST_START + 20_000)
        return action.frame.replies[0].ownership

    @property
    def is_draining(self):
        return self.agent._admission.backend.is_draining


OFFSETS = [-STEP_MS, 0, STEP_MS]


@pytest.mark.parametrize("first_offset", OFFSETS)
@pytest.mark.parametrize("second_offset", OFFSETS)
@pytest.mark.parametrize("offset_later", OFFSETS)
@pytest.mark.parametrize("instance", ["i1", "i2"])
def test_a_draining_report_that_is_acknowledged_is_in_force(
    first_offset, second_offset, offset_later, instance
):
    machine = Machine()
    machine.offset_ms = first_offset
    first = FIRST_START + first_offset
    assert machine.report(FIRST_START, first, 1)
    machine.offset_ms = second_offset
    second = SECOND_START + second_offset
    machine.report(SECOND_START, second, 1, instance=instance)
    machine.offset_ms = offset_later
    for number in range(2, 20):
        at = SECOND_START + 200 * number
        machine.report(at, second, number, instance=instance)
    # A late report of the first run, which has ended.
    assert not machine.report(SECOND_START + 4_200, first, 2)
    state = ReportedState.DRAINING
    at = SECOND_START + 5_000
    assert machine.report(at, second, 20, state=state, instance=instance)
    assert machine.is_draining


@pytest.mark.parametrize("offset", OFFSETS)
@pytest.mark.parametrize("gap", [2, 100, 1_000])
def test_a_run_after_one_that_crashed_at_once_is_used_at_once(offset, gap):
    machine = Machine()
    machine.offset_ms = offset
    machine.report(FIRST_START, FIRST_START + offset, 1)
    machine.offset_ms = 0
    at = FIRST_START + gap
    assert machine.report(at, at, 1)
    assert machine.report(at + gap, at + gap, 1)


@pytest.mark.parametrize(
    ("run", "number", "state", "is_acknowledged"),
    [
        # The same report once more says nothing new, and what it says is in force.
        (FIRST_START, 3, ReportedState.DRAINING, True),
        (FIRST_START, 2, ReportedState.READY, False),
        (FIRST_START, 1, ReportedState.READY, False),
        # An earlier run that this agent hasn't seen.
        (FIRST_START - 9_000, 9, ReportedState.READY, False),
    ],
)
def test_late_and_duplicate_reports(run, number, state, is_acknowledged):
    machine = Machine()
    for known in (1, 2):
        machine.report(FIRST_START + known, FIRST_START, known)
    machine.report(FIRST_START + 9, FIRST_START, 3, state=ReportedState.DRAINING)
    acknowledged = machine.report(FIRST_START + 20, run, number, state=state)
    assert acknowledged is is_acknowledged
    assert machine.is_draining


@pytest.mark.parametrize("other_start", [-9_000, 9_000])
@pytest.mark.parametrize("other_interval", [200, INTERVAL_MS])
def test_another_writer_stays_out_or_is_followed_by_the_live_run(
    other_start, other_interval
):
    machine = Machine()
    assert machine.report(FIRST_START, FIRST_START, 1)
    other = FIRST_START + other_start
    at = FIRST_START + 100
    # While the server reports, a writer with an earlier start never takes its place.
    is_later = other_start > 0
    assert machine.report(at, other, 1) is is_later
    for number in range(2, 12):
        at += other_interval
        assert machine.report(at, other, number) is is_later
        assert machine.report(at + 1, FIRST_START, number) is not is_later
    # Once the other is silent, the live run's reports are used again.
    assert machine.report_for(TAKEOVER_MS, at + 200, FIRST_START, 20)


def test_late_reports_in_one_batch_dont_replace_the_live_run():
    machine = Machine()
    machine.report(SECOND_START, SECOND_START, 1)
    at = SECOND_START + 4_000
    for number in range(5, 12):
        assert not machine.report(at, FIRST_START, number)
    assert machine.report(at, SECOND_START, 2)


@pytest.mark.parametrize(
    ("known", "departure", "is_acknowledged"),
    [
        (None, Departure("i1", FIRST_START), False),
        (FIRST_START, Departure("i1", FIRST_START), True),
        (FIRST_START, Departure("i1", None), True),
        (FIRST_START, Departure("i1", FIRST_START - 1), False),
        (FIRST_START, Departure("i2", None), False),
    ],
)
def test_a_departure_that_isnt_used_isnt_acknowledged(
    known, departure, is_acknowledged
):
    machine = Machine()
    if known is not None:
        machine.report(FIRST_START, known, 1)
    for at in (FIRST_START + 1, FIRST_START + 2):
        machine.agent.on_departure(departure, at)
        assert machine.agent.is_in_force(departure) is is_acknowledged
    if is_acknowledged:
        assert not machine.report(FIRST_START + 3, known, 2)


@pytest.mark.parametrize("offset", OFFSETS)
@pytest.mark.parametrize("offset_later", OFFSETS)
@pytest.mark.parametrize("age_ms", [100, 900, 1_300, 2_500, 3_300])
@pytest.mark.parametrize("number", [2, 4, 12])
def test_an_agent_that_starts_after_its_server_isnt_certain_of_all_flows(
    offset, offset_later, age_ms, number
):
    """An earlier agent may have served the run, whatever its age seems to be."""
    machine = Machine()
    machine.offset_ms = offset_later
    machine.report(FIRST_START, FIRST_START - age_ms + offset, number)
    assert machine.ownership is not Ownership.NOT_OWNER


@pytest.mark.parametrize("offset", OFFSETS)
@pytest.mark.parametrize(
    ("reports", "ownership"),
    [
        # The run's first report comes to this agent.
        ([(FIRST_START, FIRST_START, 1)], Ownership.NOT_OWNER),
        # Earlier ones found no agent, or another one.
        ([(FIRST_START, FIRST_START - 300, 5)], Ownership.UNCONFIRMED),
        ([(FIRST_START, FIRST_START - 9_000, 5)], Ownership.UNKNOWN),
        # A run that began after one that reported to this agent.
        (
            [
                (FIRST_START, FIRST_START - 9_000, 9),
                (FIRST_START + 900, FIRST_START + 800, 3),
            ],
            Ownership.NOT_OWNER,
        ),
        # Another writer was taken for a later run; then the live one goes on.
        (
            [
                (FIRST_START, FIRST_START - 9_000, 9),
                (FIRST_START + 900, FIRST_START + 800, 1),
                (FIRST_START + 1_000, FIRST_START - 9_000, 10),
                (FIRST_START + 3_600, FIRST_START - 9_000, 11),
            ],
            Ownership.UNKNOWN,
        ),
    ],
)
def test_what_an_agent_knows_of_all_flows(offset, reports, ownership):
    machine = Machine()
    machine.offset_ms = offset
    for at, run, number in reports:
        machine.report(at, run + offset, number)
    assert machine.ownership is ownership
