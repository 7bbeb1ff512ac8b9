"""Tests of a balancer's view of the agents."""

import pytest

from papayagw._internal.core.plain.roster import (
    MAX_WATCH_INTERVAL_MS,
    MIN_WATCH_INTERVAL_MS,
    MISSING_GRACE_MS,
    Roster,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.instance import AgentEntry

START = Millis(10_000)
CHANGES_PER_SECOND = 4
"""Entries that change in a second while many backend servers are replaced."""


def make_roster(agents):
    roster = Roster()
    for number in range(agents):
        endpoint = Endpoint("10.0.0.2", number + 1)
        roster.put(str(number), AgentEntry(endpoint, "order", "zone-a"))
    return roster


@pytest.mark.parametrize(
    ("agents", "at_least_ms", "at_most_ms"),
    [
        (0, MIN_WATCH_INTERVAL_MS, MIN_WATCH_INTERVAL_MS),
        (11, MIN_WATCH_INTERVAL_MS, MIN_WATCH_INTERVAL_MS),
        (61, 1_000, 2_000),
        (100, 3_000, MAX_WATCH_INTERVAL_MS),
        (136, MAX_WATCH_INTERVAL_MS, MAX_WATCH_INTERVAL_MS),
        (9_500, MAX_WATCH_INTERVAL_MS, MAX_WATCH_INTERVAL_MS),
    ],
)
def test_the_watch_interval_grows_with_the_number_of_agents(
    agents, at_least_ms, at_most_ms
):
    assert at_least_ms <= make_roster(agents).watch_interval_ms <= at_most_ms


@pytest.mark.parametrize(
    ("agents", "missing", "is_short"),
    [
        (136, 0, False),
        (136, 1, False),
        (136, 13, False),
        (136, 14, True),
        (136, 136, True),
        (61, 7, True),
    ],
)
def test_the_watch_interval_is_short_while_many_entries_are_missing(
    agents, missing, is_short
):
    roster = make_roster(agents)
    usual = roster.watch_interval_ms
    for number in range(missing):
        roster.mark_missing(str(number), START)
    assert roster.watch_interval_ms == (MIN_WATCH_INTERVAL_MS if is_short else usual)
    assert not is_short or roster.watch_interval_ms < MISSING_GRACE_MS


def test_watches_a_minute_dont_depend_on_how_many_entries_change():
    """While backend servers are replaced, a watch returns once in an interval."""
    for changes in (CHANGES_PER_SECOND, 10 * CHANGES_PER_SECOND):
        roster = make_roster(136)
        watches, now, next_watch = 0, START, START
        while now < START + 60_000:
            now += 1_000 // changes
            if now >= next_watch:
                watches += 1
                next_watch = now + roster.watch_interval_ms
        assert watches <= 60_000 // roster.watch_interval_ms + 1
