"""Detection of the loss of a whole zone.

The loss of a zone stops the heartbeats of more than a thousand agents at once, and
suspicions sent one by one would take long to disseminate. A balancer suspects all nodes
of a zone if every agent of the zone that it watches is overdue after a liveness request
to another watcher, and if at least `MIN_SUSPECTED_SHARE` of the zone's nodes are
suspected. An agent that is alive refutes the suspicion with its next heartbeat.
"""

from collections import Counter
from collections.abc import Iterator

from papayagw._internal.core.fleet import Fleet
from papayagw._internal.core.watch_list import WatchList
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import BUCKETS_PER_ZONE, Bucket, Record

MIN_SILENT_AGENTS = 3
"""Minimum number of overdue agents of the zone that this balancer watches."""

MIN_SUSPECTED_SHARE = 0.1
"""Minimum share of the zone's nodes that must be under suspicion."""


CHECK_INTERVAL_MS = Millis(500)
"""Interval between two checks."""


class ZoneLossDetector:
    """Suspects all nodes of a zone whose agents are all overdue.

    Parameters
    ----------
    fleet : Fleet
        The fleet state of this balancer.
    watch : WatchList
        The agents that this balancer watches.
    """

    def __init__(self, fleet: Fleet, watch: WatchList):
        self._fleet = fleet
        self._watch = watch
        self._next_at = Millis(0)
        self._lost_zones: frozenset[str] = frozenset()

    def on_tick(self, now: Millis) -> None:
        """Check for lost zones and suspect their nodes."""
        if now < self._next_at:
            return
        self._next_at = Millis(now + CHECK_INTERVAL_MS)
        silent = self._find_silent_zones()
        self._lost_zones &= silent
        for zone in sorted(silent - self._lost_zones):
            if self._suspect_zone(zone, now):
                self._lost_zones |= {zone}

    def _find_silent_zones(self) -> frozenset[str]:
        """Return the zones in which all of several watched agents are overdue."""
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
        """Suspect all nodes of a zone; return False if too few are suspected so far."""
        records = list(self._list_nodes(zone))
        suspected = sum(record.is_suspected for record in records)
        if suspected < MIN_SUSPECTED_SHARE * len(records):
            return False
        for record in records:
            if not record.is_suspected and record.endpoint != self._fleet.own.endpoint:
                self._fleet.toggle_suspicion(record, now)
        return True

    def _list_nodes(self, zone: str) -> Iterator[Record]:
        """Yield the records of all balancers and agents of a zone."""
        for number in range(BUCKETS_PER_ZONE):
            yield from self._fleet.table.list_members(Bucket(zone, number))
