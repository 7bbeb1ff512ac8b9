"""Tests of a balancer's view of the agents."""

import pytest

from papayagw._internal.core.plain.membership.roster import (
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
        roster.put(str(number), AgentEntry(endpoint, "order", "zone-a"), number)
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


REUSED = Endpoint("10.0.0.2", 1)
STALE = (AgentEntry(REUSED, "order", "zone-a"), 5)
LIVE = (AgentEntry(REUSED, "drawings", "zone-a"), 9)
LIVE_SAME_SERVICE = (AgentEntry(REUSED, "order", "zone-b"), 9)


def find_used(roster):
    """Return the entry in use at the reused endpoint, which all lookups must agree on.

    None if there is none.
    """
    view = roster.find(REUSED)
    listed = [
        one for name in ("order", "drawings") for one in roster.list_service(name)
    ]
    assert listed == list(roster) == ([] if view is None else [view])
    assert len(roster) == len(listed)
    return None if view is None else view.entry


def remove(roster, key):
    roster.mark_missing(key, START)
    roster.remove_gone(START + MISSING_GRACE_MS + 1)


@pytest.mark.parametrize("live", [LIVE, LIVE_SAME_SERVICE], ids=["other", "same"])
@pytest.mark.parametrize("order", [("stale", "live"), ("live", "stale")])
def test_a_reused_endpoint_belongs_to_the_entry_written_last(live, order):
    """The order in which entries are read, that of their keys, doesn't matter."""
    entries = {"stale": STALE, "live": live}
    roster = Roster()
    for key in order:
        roster.put(key, *entries[key])
    assert find_used(roster) == live[0]
    for key in order:
        roster.put(key, *entries[key])
    assert find_used(roster) == live[0]
    remove(roster, "stale")
    assert find_used(roster) == live[0]
    remove(roster, "live")
    assert find_used(roster) is None


@pytest.mark.parametrize("live", [LIVE, LIVE_SAME_SERVICE], ids=["other", "same"])
def test_a_reused_endpoint_goes_back_to_the_entry_that_is_left(live):
    """A late write of the earlier machine is in use only until it lapses."""
    roster = Roster()
    roster.put("live", *live)
    roster.put("stale", STALE[0], 12)
    assert find_used(roster) == STALE[0]
    roster.mark_missing("stale", START)
    assert find_used(roster) == live[0]
    roster.remove_gone(START + MISSING_GRACE_MS + 1)
    assert find_used(roster) == live[0]


def test_an_entry_that_moves_to_another_endpoint_leaves_the_first_one():
    roster = Roster()
    roster.put("a", *STALE)
    roster.put("a", AgentEntry(Endpoint("10.0.0.2", 2), "order", "zone-a"), 6)
    assert roster.find(REUSED) is None
    assert len(roster) == len(roster.list_service("order")) == 1
