"""Inference that a whole zone is lost.

The loss of a zone silences more than a thousand agents at once; told one by one,
the suspicions would take long to spread. A balancer that misses every agent of a
zone that it watches, though the agents' other watchers were asked, and that has
heard the same of a part of the zone's nodes, suspects all the rest of it too. An
agent that is alive refutes that with its next heartbeat.
"""

from collections import Counter
from collections.abc import Iterator

from papayagw._internal.core.fleet import Fleet
from papayagw._internal.core.watch_list import WatchList
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import BUCKETS_PER_ZONE, Bucket, Record

MIN_SILENT_AGENTS = 3
"""How many agents of the zone this balancer must miss itself."""

MIN_SUSPECTED_SHARE = 0.1
"""The share of the zone's nodes that must be under suspicion."""


CHECK_INTERVAL_MS = Millis(500)
"""The time between two checks."""


class ZoneLossDetector:
    """Suspects the nodes of zones that fell silent as a whole.

    Parameters
    ----------
    fleet : Fleet
        What this balancer knows.
    watch : WatchList
        The agents that it watches.
    """

    def __init__(self, fleet: Fleet, watch: WatchList):
        self._fleet = fleet
        self._watch = watch
        self._next_at = Millis(0)
        self._lost: frozenset[str] = frozenset()

    def on_tick(self, now: Millis) -> None:
        """Check the signs."""
        if now < self._next_at:
            return
        self._next_at = Millis(now + CHECK_INTERVAL_MS)
        silent = self._find_silent_zones()
        self._lost &= silent
        for zone in sorted(silent - self._lost):
            if self._suspect_zone(zone, now):
                self._lost |= {zone}

    def _find_silent_zones(self) -> frozenset[str]:
        silent: Counter[str] = Counter()
        responsive: set[str] = set()
        for endpoint, is_silent in self._watch.list_watched():
            record = self._fleet.table.get(endpoint)
            if record is None:
                continue
            if is_silent:
                silent[record.zone] += 1
            else:
                responsive.add(record.zone)
        silent_zones = {
            zone for zone, count in silent.items() if count >= MIN_SILENT_AGENTS
        }
        return frozenset(silent_zones - responsive)

    def _suspect_zone(self, zone: str, now: Millis) -> bool:
        records = list(self._list_nodes(zone))
        suspected = sum(record.is_suspected for record in records)
        if suspected < MIN_SUSPECTED_SHARE * len(records):
            return False
        for record in records:
            if not record.is_suspected and record.endpoint != self._fleet.own.endpoint:
                self._fleet.toggle_suspicion(record, now)
        return True

    def _list_nodes(self, zone: str) -> Iterator[Record]:
        for number in range(BUCKETS_PER_ZONE):
            yield from self._fleet.table.list_members(Bucket(zone, number))
