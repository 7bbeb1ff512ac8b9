"""Tests of the limit on openings to a cold backend server."""

import pytest

from papayagw._internal.core.plain.admission.cold_start import (
    DELIVERY_JITTER_MS,
    WINDOW_MS,
    ColdStartLimit,
    ColdStartRule,
)
from papayagw._internal.core.plain.agent import PlainAgent
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import LogEvent, SendFrame, SendToBackend
from papayagw._internal.models.plain.frame import (
    LoadFrame,
    OpenFrame,
    ReturnFrame,
    ReturnReason,
    ScopeFrame,
    ServiceLimitsFrame,
)
from papayagw._internal.models.plain.instance import ReportedState, StatusReport
from papayagw._internal.models.plain.packet import FlowKey, PacketKind
from papayagw._internal.models.plain.site import ServiceLimits
from tests.lib.plain_world import ENTRY, make_packet, make_site
from tests.unit.test_plain_balancer import Driver, load

RULE = ColdStartRule(overage=1.5, slack=5.0)
START = 10_000
EDGE = WINDOW_MS + DELIVERY_JITTER_MS
"""Longest time between two openings that count towards the same second."""

SCOPE = ScopeFrame("order", 3, frozenset((ENTRY,)))
LIMITS = ServiceLimitsFrame("order", 3, 10.0)
COLD_MS = 2_000


@pytest.mark.parametrize(
    ("passed", "now", "free", "free_at"),
    [
        ([], 0, 3, None),
        ([0, 0], 0, 1, None),
        ([0, 0, 0], 0, 0, EDGE + 1),
        # Both ends of a second belong to it.
        ([0, 0, 0], EDGE, 0, EDGE + 1),
        ([0, 0, 0], EDGE + 1, 3, None),
        ([0, 500, 1_000], 1_000, 0, EDGE + 1),
        ([0, 500, 1_000], EDGE + 1, 1, None),
        # The server was warm, or the rate higher, when it got more than the limit.
        ([0, 10, 20, 30, 40], 50, 0, EDGE + 21),
        ([0, 10, 20, 30, 40], EDGE + 21, 1, None),
    ],
)
def test_window(passed, now, free, free_at):
    limit = ColdStartLimit(ColdStartRule(1.0, 1.0), -EDGE)
    limit.apply_rate(2.0, 1)
    for at in passed:
        limit.record_opening(at)
    assert (limit.free_openings(now), limit.free_at) == (free, free_at)


@pytest.mark.parametrize(
    ("rates", "max_openings"),
    [
        ([], 5),
        ([(10.0, 3)], 20),
        # No rate is stated: no limit.
        ([(0.0, 3)], None),
        # The two frames of a version, in either order.
        ([(10.0, 3), (0.0, 3)], 20),
        ([(0.0, 3), (10.0, 3)], 20),
        ([(10.0, 3), (20.0, 2)], 20),
        ([(10.0, 3), (0.0, 4)], None),
    ],
)
def test_rate_in_force(rates, max_openings):
    limit = ColdStartLimit(RULE, START)
    for cold_per_s, version in rates:
        limit.apply_rate(cold_per_s, version)
    assert limit.max_openings == max_openings


class Server:
    """A backend server with 50 slots that takes every opening, and its agent."""

    def __init__(self, rule=RULE):
        self.rule = rule
        self.taken = []
        self.count = 0
        self.agent = PlainAgent("order", 60_000, START, cold_rule=rule)

    def report(self, now, cold_ms, born=START, number=1):
        state = ReportedState.READY
        report = StatusReport("i1", "order", state, 50, cold_ms, born, number)
        return self.agent.on_report(report, now - born, now)

    def offer(self, now):
        """Offer an opening; return the actions, after the server has accepted it."""
        self.count += 1
        flow = FlowKey(self.count.to_bytes(6, "big") + ENTRY)
        frame = OpenFrame("order", 3, make_packet(flow, PacketKind.OPEN))
        balancer = Endpoint("10.0.0.1", self.count % 24)
        actions = self.agent.on_frame(frame, balancer, now)
        if isinstance(actions[0], SendToBackend):
            self.taken.append(now)
            accept = make_packet(flow, PacketKind.ACCEPT, 500, 1)
            self.agent.on_backend_packet(accept, now)
        return actions

    def offer_until(self, start, end):
        for now in range(start, end, 5):
            self.offer(now)

    def max_in_a_second(self):
        return max(
            sum(at <= other <= at + WINDOW_MS for other in self.taken)
            for at in self.taken
        )


@pytest.mark.parametrize(
    ("frames", "limit"), [([LIMITS, SCOPE], 20), ([SCOPE, LIMITS], 20), ([], 5)]
)
@pytest.mark.parametrize("restart_ms", [None, 300, 1_300])
def test_a_cold_server_gets_no_more_openings_than_its_limit(frames, limit, restart_ms):
    """The agent may restart in the cold time, beside the server that keeps running."""
    server = Server()
    server.report(START, COLD_MS)
    for frame in frames:
        server.agent.on_frame(frame, Endpoint("10.0.0.1", 1), START)
    if restart_ms is not None:
        restarted_at = START + restart_ms
        server.offer_until(START, restarted_at)
        server.agent = PlainAgent("order", 60_000, restarted_at, cold_rule=RULE)
        for frame in frames:
            server.agent.on_frame(frame, Endpoint("10.0.0.1", 1), restarted_at)
        # Until the report, an agent doesn't know that its server is cold.
        server.offer_until(restarted_at, restarted_at + 100)
        left_ms = COLD_MS - restart_ms - 100
        server.report(restarted_at + 100, left_ms, number=2)
        server.offer_until(restarted_at + 100, START + COLD_MS)
    else:
        server.offer_until(START, START + COLD_MS)
    assert server.max_in_a_second() == limit
    count = len(server.taken)
    server.offer_until(START + COLD_MS, START + COLD_MS + 200)
    assert len(server.taken) == count + 40


@pytest.mark.parametrize(
    ("rule", "frames", "cold_ms"),
    [
        (None, [LIMITS, SCOPE], COLD_MS),
        # The configuration states no rate.
        (RULE, [SCOPE], COLD_MS),
        (RULE, [LIMITS, SCOPE], 0),
    ],
)
def test_a_server_without_a_limit_gets_every_opening(rule, frames, cold_ms):
    server = Server(rule)
    server.report(START, cold_ms)
    for frame in frames:
        server.agent.on_frame(frame, Endpoint("10.0.0.1", 1), START)
    server.offer_until(START, START + 400)
    assert len(server.taken) == 80


def test_without_the_setting_the_actions_are_the_same():
    """The rate in the configuration alone changes nothing."""
    results = []
    for frames in ([SCOPE], [LIMITS, SCOPE]):
        server = Server(None)
        server.report(START, COLD_MS)
        for frame in frames:
            server.agent.on_frame(frame, Endpoint("10.0.0.1", 1), START)
        results.append([server.offer(START + at) for at in range(200)])
    assert results[0] == results[1]


@pytest.mark.parametrize(
    ("cold_ms", "due_at"), [(COLD_MS, START + EDGE + 1), (800, START + 800)]
)
def test_a_returned_opening_is_logged_and_its_balancer_notified(cold_ms, due_at):
    """Of the end of the window, or of the cold time if that comes first."""
    server = Server()
    server.report(START, cold_ms)
    server.agent.on_frame(LIMITS, Endpoint("10.0.0.1", 1), START)
    for _ in range(20):
        server.offer(START)
    returned, _, log_event = server.offer(START + 5)
    assert isinstance(returned.frame, ReturnFrame)
    assert returned.frame.reason is ReturnReason.BUSY
    assert returned.frame.load.busy == 100
    assert isinstance(log_event, LogEvent)
    assert log_event.fields["cold_limit"] == log_event.fields["cold_openings"] == 20
    # The expected first requests of the accepted flows end first.
    server.agent.on_timer(START + 40)
    assert server.agent.due_at == due_at
    [action] = server.agent.on_timer(due_at)
    assert action.peer == returned.peer
    assert isinstance(action.frame, LoadFrame)
    assert server.agent.due_at is None or server.agent.due_at > due_at


@pytest.mark.parametrize(
    ("limits", "reports", "frames"),
    [
        (None, [(0, 100)], [ScopeFrame]),
        (ServiceLimits(2_000, 0.0), [(0, 100)], [ScopeFrame]),
        (ServiceLimits(2_000, 9.0), [(0, 100)], [ServiceLimitsFrame, ScopeFrame]),
        (ServiceLimits(2_000, 9.0), [(0, 100), (0, 100)], []),
        # Repeated while the server is cold, as the frame may have been lost.
        (ServiceLimits(2_000, 9.0), [(2, 100)], [ServiceLimitsFrame]),
        (ServiceLimits(2_000, 9.0), [(2, 2_001)], []),
        (ServiceLimits(2_000, 9.0), [(2, None)], []),
        (ServiceLimits(2_000, 0.0), [(2, 100)], []),
    ],
)
def test_a_balancer_tells_agents_the_stated_rate(limits, reports, frames):
    driver = Driver()
    stated = {} if limits is None else {"order": limits}
    driver.run_step(make_site(2, limits=stated))
    agent = driver.roster.list_service("order")[0].endpoint
    for version, age in reports:
        frame = LoadFrame(load(version=version, run_age=age))
        actions = driver.run_step((agent, frame))
    sent = [one.frame for one in actions if isinstance(one, SendFrame)]
    assert [type(one) for one in sent] == frames
    if ServiceLimitsFrame in frames:
        assert sent[0] == ServiceLimitsFrame("order", 2, 9.0)
