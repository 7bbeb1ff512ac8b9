"""Failure scenarios as tables of steps, run on the real membership cores."""

from dataclasses import replace
from unittest.mock import patch

import pytest

from papayagw._internal.core import directory as directory_module
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.fleet import Fleet
from papayagw._internal.core.gossip_table import RecordTable
from papayagw._internal.core.membership import BalancerMembership
from papayagw._internal.core.watch_list import WatchList
from papayagw._internal.core.watcher import Watcher
from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.control import Announcement, Send
from tests.lib.fleet import FleetDriver
from tests.lib.fleet_events import Event, FaultInjectingFleet, Step
from tests.lib.samples import ORDER, make_record

SETTLE_MS = 25_000
merge = RecordTable.merge


def merge_always(table, record, now):
    """Merge a record as the newest one, whatever its sequence is."""
    known = table.get(record.endpoint)
    if known is not None and known.sequence > record.sequence:
        record = replace(record, sequence=known.sequence + 1)
    return merge(table, record, now)


def make_fleet(balancers=4, agents=8):
    fleet = FaultInjectingFleet()
    fleet.add_fleet(balancers, agents)
    fleet.run(8_000)
    return fleet


@pytest.mark.parametrize(
    "steps",
    [
        [Step(Event.FREEZE_AGENT, 1, 5_000), Step(Event.THAW, 0, 0)],
        [Step(Event.FREEZE_AGENT, 1, 5_000), Step(Event.REPLACE_FROZEN, 0, 3_000)],
        [Step(Event.FREEZE_BALANCER, 1, 5_000), Step(Event.THAW, 0, 0)],
        [Step(Event.FREEZE_BALANCER, 1, 30_000), Step(Event.THAW, 0, 0)],
        [Step(Event.CUT_ZONE, 1, 30_000)],
        [Step(Event.CUT_ONE_WAY, 1, 30_000)],
        [Step(Event.CUT_ZONE, 0, 5_000), Step(Event.REPLACE_BALANCERS, 0, 1_000)],
        [Step(Event.REPLACE_BALANCERS, 0, 1_000), Step(Event.KILL_AGENT, 2, 0)],
        [Step(Event.KILL_BALANCER, 0, 0), Step(Event.KILL_AGENT, 2, 0)],
        [Step(Event.KILL_BALANCER, 0, 0) for _ in range(3)],
        [Step(Event.RESTART_AGENT, number, 500) for number in range(8)],
        [Step(Event.CLOSE, 1, 0), Step(Event.CUT_ZONE, 1, 5_000)],
    ],
)
def test_views_agree_after_faults(steps):
    fleet = make_fleet()
    for step in steps:
        fleet.apply(step)
    fleet.settle(SETTLE_MS)
    assert fleet.find_ready() == [fleet.list_alive()] * len(fleet.balancers)
    for balancer in fleet.balancers.values():
        assert len(balancer.peers) == len(fleet.balancers) - 1


def test_resumed_stale_run_gets_no_openings_and_removes_no_record():
    fleet = make_fleet()
    endpoint = sorted(fleet.agents)[1]
    fleet.apply(Step(Event.FREEZE_AGENT, 1, 5_000))
    fleet.apply(Step(Event.REPLACE_FROZEN, 0, 5_000))
    _, zombie = fleet.zombies[0]
    fleet.send_all(endpoint, zombie.close(fleet.now))
    fleet.run(3_000)
    newest = fleet.agents[endpoint].own
    for balancer in fleet.balancers.values():
        known = {one.endpoint: one for one in balancer.directory.records}[endpoint]
        assert (known.incarnation, known.state) == (newest.incarnation, newest.state)


@pytest.mark.parametrize("balancers", [1, 3])
@pytest.mark.parametrize("pause_ms", [1_500, 5_000, 60_000])
def test_resumed_balancer_suspects_no_agent(balancers, pause_ms):
    fleet = make_fleet(balancers)
    fleet.frozen_drop_packets = True
    fleet.frozen.add(sorted(fleet.balancers)[0])
    fleet.run(pause_ms)
    fleet.frozen.clear()
    for _ in range(20):
        fleet.run(100)
        assert fleet.find_ready() == [set(fleet.agents)] * balancers


@pytest.mark.parametrize(
    ("agents", "silent", "most_excluded"), [(1, 1, 0), (2, 2, 1), (7, 3, 3), (7, 7, 3)]
)
def test_suspicion_never_empties_a_service(agents, silent, most_excluded):
    fleet = make_fleet(balancers=3, agents=agents)
    fleet.frozen |= set(sorted(fleet.agents)[:silent])
    fleet.run(30_000)
    for ready in fleet.find_ready():
        assert len(ready) == agents - most_excluded


def test_agent_unreachable_for_one_watcher_stays_ready():
    fleet = make_fleet(balancers=3)
    unreachable = sorted(fleet.balancers)[0]
    fleet.block_links(fleet.agents, [unreachable])
    for _ in range(200):
        fleet.run(100)
        assert fleet.find_ready() == [set(fleet.agents)] * 3


def test_agent_that_dies_with_its_watchers_is_detected():
    fleet = make_fleet(balancers=6)
    endpoint = sorted(fleet.agents)[1]
    for watcher in fleet.agents[endpoint].watchers:
        fleet.kill(watcher)
    fleet.kill(endpoint)
    fleet.run(60_000)
    assert all(endpoint not in ready for ready in fleet.find_ready())


def test_late_announcement_does_not_revive_a_closed_agent():
    fleet = make_fleet()
    endpoint = sorted(fleet.agents)[1]
    before = fleet.agents[endpoint].own
    fleet.send_all(endpoint, fleet.agents[endpoint].close(fleet.now))
    fleet.run(5_000)
    for balancer in fleet.balancers:
        fleet.send_all(endpoint, (Send(balancer, Announcement(before)),))
    fleet.run(1_000)
    assert all(endpoint not in ready for ready in fleet.find_ready())


def test_configuration_version_reaches_all_balancers_within_four_seconds():
    fleet = FleetDriver()
    fleet.add_fleet(40, 0)
    fleet.run(20_000)
    first = next(iter(fleet.balancers.values()))
    first.set_configuration_version(7)
    for _ in range(40):
        fleet.run(100)
        for balancer in fleet.balancers.values():
            advertised = balancer.advertised_configuration
            if advertised is not None:
                balancer.set_configuration_version(advertised[0])
    assert {one.configuration_version for one in fleet.balancers.values()} == {7}


def test_each_zone_has_a_few_relays_that_all_agree_on():
    fleet = FleetDriver()
    fleet.add_fleet(40, 0)
    fleet.run(20_000)
    for zone in "abcd":
        relays = [one for one in fleet.balancers.values() if one.is_relay(zone)]
        assert len(relays) == 3
        assert {one.own.zone for one in relays} == {zone}


@pytest.mark.parametrize(
    ("states", "ready"),
    [
        ([(AgentState.READY, 0), (AgentState.READY, 1)], 1),
        ([(AgentState.READY, 1), (AgentState.READY, 1)], 1),
        ([(AgentState.READY, 2), (AgentState.READY, 2)], 2),
        ([(AgentState.READY, 1), (AgentState.DRAINING, 0)], 1),
        ([(AgentState.GONE, 0), (AgentState.DRAINING, 1)], 0),
    ],
)
def test_directory_excludes_a_capped_share(states, ready):
    directory = AgentDirectory()
    for number, (state, suspicion) in enumerate(states):
        record = replace(make_record(number, state=state), suspicion=suspicion)
        directory.merge(record)
    assert len(directory.find_ready(ORDER)) == ready


@pytest.mark.parametrize(
    ("target", "name", "double", "scenario"),
    [
        (
            Watcher,
            "on_liveness_request",
            lambda *_: iter(()),
            test_agent_unreachable_for_one_watcher_stays_ready,
        ),
        (
            directory_module,
            "select_excluded",
            lambda reported_ready: {
                one.endpoint.sockaddr for one in reported_ready if one.is_suspected
            },
            lambda: test_suspicion_never_empties_a_service(7, 7, 3),
        ),
        (
            WatchList,
            "compensate_pause",
            lambda *_: None,
            lambda: test_resumed_balancer_suspects_no_agent(1, 5_000),
        ),
        (
            Watcher,
            "_audit",
            lambda *_: None,
            test_agent_that_dies_with_its_watchers_is_detected,
        ),
        (
            AgentRecord,
            "precedence",
            property(lambda one: (one.sequence, one.incarnation, one.state, 0)),
            test_resumed_stale_run_gets_no_openings_and_removes_no_record,
        ),
        (
            RecordTable,
            "merge",
            merge_always,
            test_late_announcement_does_not_revive_a_closed_agent,
        ),
        (
            BalancerMembership,
            "_record_version",
            lambda *_: None,
            test_configuration_version_reaches_all_balancers_within_four_seconds,
        ),
        (
            Fleet,
            "_refute",
            lambda *_: None,
            lambda: test_views_agree_after_faults(
                [Step(Event.FREEZE_BALANCER, 1, 30_000), Step(Event.THAW, 0, 0)]
            ),
        ),
    ],
)
def test_scenario_fails_without_mechanism(target, name, double, scenario):
    with patch.object(target, name, double), pytest.raises(AssertionError):
        scenario()
