"""Failure detection of agents by a balancer.

An agent whose heartbeats stop is suspected, not marked as gone: its next heartbeat at
any watcher refutes the suspicion. It is marked as gone only after
`REMOVAL_TIMEOUT_MS`, and only while enough agents of its service report that they are
ready.
"""

import random
from collections.abc import Iterator, Sequence

from papayagw._internal.core.fleet import WATCHERS_PER_AGENT, Fleet
from papayagw._internal.core.gossip_table import compute_fingerprint
from papayagw._internal.core.unit_hash import unit_hash
from papayagw._internal.core.watch_list import (
    RESUME_GRACE_MS,
    SUSPECT_AFTER_INTERVALS,
    ReceivedHeartbeat,
    WatchList,
)
from papayagw._internal.core.zone_loss import ZoneLossDetector
from papayagw._internal.models.agent import AgentRecord, AgentState, Incarnation
from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.control import (
    KEEP_INTERVAL_MS,
    Acknowledgement,
    Announcement,
    Heartbeat,
    LivenessRequest,
    LivenessResponse,
    Send,
)
from papayagw._internal.models.endpoint import Endpoint

HEARTBEAT_BYTES = 72
"""Size of a heartbeat on the wire, in bytes."""

ACKNOWLEDGEMENT_BYTES = 100
"""Size of an acknowledgement without siblings on the wire, in bytes."""

HEARTBEAT_BYTES_PER_SECOND = 1_500
"""Budget for the heartbeats that one balancer receives, in bytes per second."""

MIN_INTERVAL_MS = Millis(400)
"""Shortest heartbeat interval that a balancer assigns to agents."""

MAX_INTERVAL_MS = Millis(3_000)
"""Longest heartbeat interval that a balancer assigns to agents."""

HEARTBEATS_PER_ACK = 5
"""Number of heartbeats of an agent that a watcher answers by one acknowledgement."""

MAX_SIBLINGS = 8
"""Maximum number of siblings in an acknowledgement."""

REMOVAL_TIMEOUT_MS = Millis(600_000)
"""Time without heartbeats after which an agent is marked as gone."""

MIN_READY_SHARE = 0.5
"""Minimum share of unsuspected agents among a service's ready ones, for a removal.

Ready agents are those that report so, suspected or not. One of them is removed (marked
as gone) only if the share is reached, a draining agent regardless of it.
"""

REMOVAL_CHECK_INTERVAL_MS = Millis(5_000)
"""Interval of the checks for agents to mark as gone, see `REMOVAL_TIMEOUT_MS`."""

AUDIT_TICKS = 600
"""Number of ticks in which all records are checked once for unwatched agents.

These are agents that this balancer should watch but doesn't.
"""


class Watcher:
    """Acknowledges agents and suspects those whose heartbeats stop.

    Parameters
    ----------
    fleet : Fleet
        The fleet state of this balancer.
    random_source : random.Random
        Selects the watcher that receives a liveness request, and which heartbeats are
        acknowledged, so that the acknowledgements of an agent's watchers alternate.
    """

    def __init__(self, fleet: Fleet, random_source: random.Random):
        self._fleet = fleet
        self._random = random_source
        self._ack_offset = random_source.randrange(HEARTBEATS_PER_ACK)
        self._watch = WatchList()
        self._zone_loss = ZoneLossDetector(fleet, self._watch)
        self._configuration_version = 0
        self._caught_up = False
        self._next_removal_check_at = Millis(0)
        self._audit_queue: list[AgentRecord] = []
        self._accepts_refutations_at = Millis(0)

    @property
    def watched_count(self) -> int:
        """The number of agents that this balancer watches."""
        return len(self._watch)

    def set_configuration_version(self, version: int) -> None:
        """Set the configuration version that acknowledgements carry."""
        self._configuration_version = version

    def set_caught_up(self, caught_up: bool) -> None:
        """Set whether this balancer knows enough agents to assign an interval."""
        self._caught_up = caught_up

    def compute_interval(self) -> Millis:
        """Return the heartbeat interval that keeps heartbeats within their budget."""
        balancers = self._fleet.balancer_count
        watched = (
            self._fleet.table.agent_count
            * min(WATCHERS_PER_AGENT, balancers)
            / balancers
        )
        seconds = watched * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND
        interval = int(seconds * MILLIS_PER_SECOND)
        return Millis(max(MIN_INTERVAL_MS, min(MAX_INTERVAL_MS, interval)))

    def estimate_bytes_per_second(self) -> int:
        """Return the heartbeat and acknowledgement traffic, in bytes per second."""
        each = HEARTBEAT_BYTES + ACKNOWLEDGEMENT_BYTES // HEARTBEATS_PER_ACK
        per_interval = self._watch.direct_count * each
        return per_interval * MILLIS_PER_SECOND // self.compute_interval()

    def on_announcement(self, message: Announcement, now: Millis) -> Iterator[Send]:
        """Merge an agent's record and acknowledge it."""
        self._fleet.merge(message.record, now)
        known = self._fleet.table.get(message.record.endpoint)
        if isinstance(known, AgentRecord) and _refutes_suspicion(known, message.record):
            self._clear_suspicion(message.record.endpoint, now)
        yield self._make_acknowledgement(message.record.endpoint, 0, now)

    def on_heartbeat(self, message: Heartbeat, now: Millis) -> Iterator[Send]:
        """Record a heartbeat, and acknowledge one in `HEARTBEATS_PER_ACK`.

        A heartbeat that doesn't match the known record is acknowledged at once, so
        that the agent announces itself.
        """
        known = self._fleet.table.get(message.endpoint)
        if not _is_current(known, message):
            yield self._make_acknowledgement(
                message.endpoint, message.siblings_digest, now
            )
            return
        if not self._watch.record_heartbeat(
            message.endpoint, message.incarnation, message.heartbeat_number, now
        ):
            return
        self._clear_suspicion(message.endpoint, now)
        if (message.heartbeat_number + self._ack_offset) % HEARTBEATS_PER_ACK == 0:
            yield self._make_acknowledgement(
                message.endpoint, message.siblings_digest, now
            )

    def on_liveness_request(
        self, message: LivenessRequest, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Answer a liveness request if the agent sent a heartbeat recently."""
        since = Millis(now - int(SUSPECT_AFTER_INTERVALS * self.compute_interval()))
        heartbeat = self._watch.get_heartbeat(
            message.endpoint, message.incarnation, since
        )
        if heartbeat is not None:
            age_ms = Millis(now - heartbeat.received_at)
            yield Send(
                source,
                LivenessResponse(
                    message.endpoint, message.incarnation, heartbeat.number, age_ms
                ),
            )

    def on_liveness_response(self, message: LivenessResponse, now: Millis) -> None:
        """Record a heartbeat that another watcher has received."""
        heartbeat = ReceivedHeartbeat(
            message.heartbeat_number, Millis(now - message.age_ms)
        )
        if self._watch.record_liveness_response(
            message.endpoint, message.incarnation, heartbeat
        ):
            self._clear_suspicion(message.endpoint, now)

    def on_tick(self, isolated: bool, now: Millis) -> Iterator[Send]:
        """Send liveness requests, suspect overdue agents and mark agents as gone."""
        overdue = self._watch.find_overdue(now)
        for endpoint in overdue.request_liveness:
            yield from self._request_liveness(endpoint)
        for endpoint in overdue.suspect:
            self._suspect(endpoint, isolated, now)
        if not isolated:
            self._zone_loss.on_tick(now)
        self._audit(now)
        if now >= self._next_removal_check_at:
            self._next_removal_check_at = Millis(now + REMOVAL_CHECK_INTERVAL_MS)
            self._remove_expired(now)

    def receives_heartbeats(self, now: Millis) -> bool:
        """Return whether any watched agent sent a heartbeat recently."""
        since = Millis(now - int(SUSPECT_AFTER_INTERVALS * self.compute_interval()))
        return len(self._watch.list_silent_since(since)) < len(self._watch)

    def compensate_pause(self, pause_ms: Millis, now: Millis) -> None:
        """Extend the timeouts of all agents by a pause of this process.

        Datagrams that waited in the socket may be as old as the pause, so for
        `RESUME_GRACE_MS` no heartbeat refutes a suspicion.
        """
        self._watch.compensate_pause(pause_ms)
        self._accepts_refutations_at = Millis(now + RESUME_GRACE_MS)

    def _clear_suspicion(self, endpoint: Endpoint, now: Millis) -> None:
        """Withdraw the suspicion of a node, except just after a pause."""
        if now < self._accepts_refutations_at:
            return
        known = self._fleet.table.get(endpoint)
        if known is not None and known.is_suspected:
            self._fleet.toggle_suspicion(known, now)

    def _make_acknowledgement(
        self, agent: Endpoint, siblings_digest: int, now: Millis
    ) -> Send:
        """Return an acknowledgement with what is known about the agent."""
        known = self._fleet.table.get(agent)
        interval = self.compute_interval() if self._caught_up else KEEP_INTERVAL_MS
        watchers = self._fleet.list_watchers(agent)
        if not isinstance(known, AgentRecord):
            unknown = Acknowledgement(
                Incarnation(0), 0, AgentState.READY, watchers, interval
            )
            return Send(agent, unknown)
        if interval != KEEP_INTERVAL_MS:
            self._watch.set_interval(agent, interval)
        siblings = self._list_siblings(known)
        own_digest = _compute_siblings_digest(siblings)
        return Send(
            agent,
            Acknowledgement(
                known.incarnation,
                known.sequence,
                known.state,
                watchers,
                interval,
                () if own_digest == siblings_digest else siblings,
                own_digest,
                self._configuration_version,
            ),
        )

    def _list_siblings(self, record: AgentRecord) -> tuple[AgentRecord, ...]:
        """Return the few other agents of the service that an agent is told about."""
        ready = self._fleet.table.directory.find_ready(record.service_id)
        others = [one for one in ready if one.endpoint != record.endpoint]
        if len(others) > MAX_SIBLINGS:
            key = str(record.endpoint).encode()
            others.sort(key=lambda one: unit_hash(key, str(one.endpoint).encode()))
        return tuple(others[:MAX_SIBLINGS])

    def _request_liveness(self, endpoint: Endpoint) -> Iterator[Send]:
        """Ask another watcher of an agent whether it receives heartbeats."""
        known = self._fleet.table.get(endpoint)
        if known is None:
            return
        reachable = set(self._fleet.reachable)
        watchers = self._fleet.list_watchers(endpoint)
        others = [watcher for watcher in watchers if watcher in reachable]
        if others:
            other = self._random.choice(others)
            yield Send(other, LivenessRequest(endpoint, known.incarnation))

    def _suspect(self, endpoint: Endpoint, isolated: bool, now: Millis) -> None:
        """Suspect an overdue agent, or stop watching one that is not this node's."""
        known = self._fleet.table.get(endpoint)
        gone = known is None or known.state is AgentState.GONE
        if known is None or gone or not self._fleet.is_watcher(endpoint):
            self._watch.remove(endpoint)
        elif not known.is_suspected and not isolated:
            self._fleet.toggle_suspicion(known, now)

    def _audit(self, now: Millis) -> None:
        """Start to watch agents that were missed, checking a few records per tick."""
        if not self._audit_queue:
            self._audit_queue = list(self._fleet.table.directory.records)
        for _ in range(1 + len(self._audit_queue) // AUDIT_TICKS):
            if not self._audit_queue:
                return
            record = self._audit_queue.pop()
            if self._needs_watch(record):
                self._watch.add(record.endpoint, record.incarnation, now)

    def _needs_watch(self, record: AgentRecord) -> bool:
        """Return whether this balancer should watch an agent but doesn't."""
        return (
            record.endpoint not in self._watch
            and record.state is not AgentState.GONE
            and self._fleet.is_watcher(record.endpoint)
        )

    def _remove_expired(self, now: Millis) -> None:
        """Mark agents as gone that sent no heartbeat for `REMOVAL_TIMEOUT_MS`."""
        since = Millis(now - REMOVAL_TIMEOUT_MS)
        for endpoint in self._watch.list_silent_since(since):
            known = self._fleet.table.get(endpoint)
            if isinstance(known, AgentRecord) and self._may_remove(known):
                self._fleet.mark_gone(known, now)
                self._watch.remove(endpoint)

    def _may_remove(self, record: AgentRecord) -> bool:
        """Return whether an agent is suspected and, if ready, enough others are not."""
        if record.state is AgentState.DRAINING:
            return record.is_suspected
        reported_ready = self._fleet.table.directory.find_reported_ready(
            record.service_id
        )
        unsuspected = [one for one in reported_ready if not one.is_suspected]
        return record.is_suspected and len(unsuspected) >= MIN_READY_SHARE * len(
            reported_ready
        )


def _is_current(known: object, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat matches the known record of its agent."""
    return (
        isinstance(known, AgentRecord)
        and known.incarnation == heartbeat.incarnation
        and known.sequence == heartbeat.sequence
        and known.state is not AgentState.GONE
    )


def _refutes_suspicion(known: AgentRecord, announced: AgentRecord) -> bool:
    """Return whether an announcement refutes the suspicion in the known record."""
    return (
        known.is_suspected
        and known.incarnation == announced.incarnation
        and known.sequence == announced.sequence
        and known.state == announced.state
    )


def _compute_siblings_digest(records: Sequence[AgentRecord]) -> int:
    """Return the digest by which an agent recognises unchanged siblings."""
    digest = 0
    for record in records:
        digest ^= compute_fingerprint(record)
    return digest
