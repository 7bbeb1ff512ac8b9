"""Membership protocol of a balancer: gossip, probing and anti-entropy repair.

Each agent sends heartbeats to only a few balancers. Changes are disseminated by
gossip, with a bounded number of transmissions per change; updates that were missed
are repaired by comparing digests. This module reads no clock and no socket: it takes
messages and ticks, and returns the messages to send.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import replace

from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.fleet import Fleet
from papayagw._internal.core.gossip_budget import TokenBucket
from papayagw._internal.core.gossip_probe import Prober
from papayagw._internal.core.gossip_queue import (
    RECORD_BYTES,
    estimate_bytes,
    make_updates,
)
from papayagw._internal.core.gossip_repair import DATAGRAM_BYTES, NO_DIGEST, Repairer
from papayagw._internal.core.gossip_table import MergeOutcome
from papayagw._internal.core.rendezvous import Rendezvous
from papayagw._internal.core.watcher import Watcher
from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import (
    EMPTY_UPDATE,
    Announcement,
    BalancerRecord,
    BucketDigests,
    BucketSummary,
    ControlMessage,
    Gossip,
    GossipKind,
    Heartbeat,
    Join,
    LivenessRequest,
    LivenessResponse,
    MembershipUpdate,
    MissingRecords,
    Record,
    RecordRequest,
    Send,
)
from papayagw._internal.models.endpoint import Endpoint

CONTROL_BYTES_PER_SECOND = 3_400
"""Budget of a balancer for all control traffic, sent and received together."""

PROBE_BYTES_PER_SECOND = 400
"""Traffic of probes and their answers, without piggybacked updates."""

MIN_GOSSIP_BYTES_PER_SECOND = 800
"""Minimum rate that is reserved for gossip and repair."""

REPAIR_SHARE = 0.4
"""Share of the gossip and repair rate that is reserved for repair."""

CATCH_UP_SHARE = 0.8
"""Value of `REPAIR_SHARE` while a new balancer is catching up."""

GOSSIP_BURST_BYTES = 400
"""Number of bytes that gossip, and likewise repair, may send at once."""

MAX_UPDATE_BYTES = 1_050
"""Maximum size of the updates in one datagram, in bytes."""

FANOUT = 3
"""Number of peers to which updates are sent in each gossip round."""

FANOUT_INTERVAL_MS = Millis(100)
"""Interval between gossip rounds."""

LIVENESS_REQUEST_PEERS = 2
"""Number of peers that receive a liveness request about an unresponsive balancer."""

SUSPICION_TIMEOUT_MS = Millis(10_000)
"""Time after which a balancer that has not refuted a suspicion is marked as gone."""

PAUSE_THRESHOLD_MS = Millis(700)
"""Minimum gap between ticks that is treated as a pause of this process."""

INITIAL_JOIN_INTERVAL_MS = Millis(200)
"""Mean wait after the first join of a node that knows no peers."""

MAX_INITIAL_JOIN_INTERVAL_MS = Millis(2_000)
"""Maximum of that mean wait, which doubles with each further join."""

JOIN_INTERVAL_MS = Millis(5_000)
"""Mean interval between joins of a node that knows peers, in a small fleet."""

PEERS_PER_JOIN_INTERVAL = 50
"""Number of peers for which `JOIN_INTERVAL_MS` is added once more to the interval."""

INTRODUCTION_INTERVAL_MS = Millis(20)
"""Minimum interval between introductions to unknown nodes or nodes marked as gone."""

MAX_JOIN_RECORDS = 30
"""Maximum number of records in the answer to a join, besides the answering node's."""

RELAYS_PER_ZONE = 3
"""Number of relays of a zone: the balancers that watch the platform's store."""

VERSION_TRANSMISSIONS = 8
"""Number of gossip rounds that advertise a new version of the configuration."""

_FIRST_REQUEST_NUMBER = 1 << 30
"""First number of probes sent for other balancers, above those of the own probes."""

_MAX_PENDING_REQUESTS = 64
"""Number of pending liveness requests at which all of them are dropped."""


class BalancerMembership:
    """Membership state machine of a balancer.

    Parameters
    ----------
    own : BalancerRecord
        The record of this balancer.
    control_address : Endpoint
        The address at which a datagram reaches any one of the balancers.
    directory : AgentDirectory
        The directory that is updated with the known agents.
    random_source : random.Random
        The source for jitter and the selection of peers.
    """

    def __init__(
        self,
        own: BalancerRecord,
        control_address: Endpoint,
        directory: AgentDirectory,
        random_source: random.Random,
    ):
        self._control_address = control_address
        self._random = random_source
        self._fleet = Fleet(own, directory)
        self._budget = TokenBucket(MIN_GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES)
        self._watcher = Watcher(self._fleet, random_source)
        self._prober = Prober(random_source)
        self._repair_budget = TokenBucket(
            MIN_GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES
        )
        self._repairer = Repairer(self._fleet.table, self._repair_budget, random_source)
        self._suspected_since: dict[Endpoint, Millis] = {}
        self._pending_requests: dict[int, tuple[Endpoint, LivenessRequest]] = {}
        self._request_number = _FIRST_REQUEST_NUMBER
        self._ticked_at: Millis | None = None
        self._join_at = Millis(0)
        self._join_interval = INITIAL_JOIN_INTERVAL_MS
        self._fanout_at = Millis(0)
        self._introduction_at = Millis(0)
        self._configuration_version = 0
        self._version_transmissions = 0
        self._advertised_configuration: tuple[int, Endpoint] | None = None
        self._handlers: dict[type, Callable[..., Iterator[Send]]] = {
            Announcement: self._on_announcement,
            Heartbeat: self._on_heartbeat,
            Join: self._on_join,
            Gossip: self._on_gossip,
            BucketDigests: self._repairer.on_bucket_digests,
            BucketSummary: self._repairer.on_bucket_summary,
            RecordRequest: self._repairer.on_record_request,
            MissingRecords: self._on_missing_records,
            LivenessRequest: self._on_liveness_request,
            LivenessResponse: self._on_liveness_response,
        }

    @property
    def own(self) -> BalancerRecord:
        """The balancer's own record."""
        return self._fleet.own

    @property
    def directory(self) -> AgentDirectory:
        """The directory of known agents."""
        return self._fleet.table.directory

    @property
    def peers(self) -> tuple[Endpoint, ...]:
        """The inner endpoints of the other balancers that aren't suspected."""
        return self._fleet.reachable

    @property
    def balancers(self) -> tuple[BalancerRecord, ...]:
        """The balancers that aren't gone, including this one."""
        return self._fleet.table.balancers

    @property
    def caught_up(self) -> bool:
        """Whether this node knows nearly all agents, or has no peers to sync from."""
        return self._repairer.caught_up or not self._fleet.peers

    @property
    def superseded(self) -> bool:
        """Whether a later process or an agent has taken over this node's endpoint."""
        return self._fleet.superseded

    @property
    def watched_count(self) -> int:
        """The number of agents that this balancer watches."""
        return self._watcher.watched_count

    @property
    def configuration_version(self) -> int:
        """The version of the configuration that this node holds."""
        return self._configuration_version

    @property
    def advertised_configuration(self) -> tuple[int, Endpoint] | None:
        """The highest advertised version and a peer that has it; None if not newer."""
        if (
            self._advertised_configuration is None
            or self._advertised_configuration[0] <= self._configuration_version
        ):
            return None
        return self._advertised_configuration

    def set_configuration_version(self, version: int) -> None:
        """Set the version that this node holds and advertise it to the peers."""
        if version <= self._configuration_version:
            return
        self._configuration_version = version
        self._version_transmissions = VERSION_TRANSMISSIONS
        self._watcher.set_configuration_version(version)

    def is_relay(self, zone: str) -> bool:
        """Return whether this balancer has to watch the store for `zone`."""
        zone_balancers = [
            one
            for one in self._fleet.table.balancers
            if one.zone == zone and not one.is_suspected
        ]
        relays = Rendezvous(zone_balancers).choose(f"relay {zone}", RELAYS_PER_ZONE)
        return self._fleet.own.endpoint in relays

    def on_message(
        self, message: ControlMessage, source: Endpoint, now: Millis
    ) -> tuple[Send, ...]:
        """Handle a control message and return the messages to send.

        Parameters
        ----------
        message : ControlMessage
            The received message.
        source : Endpoint
            The endpoint of the sender.
        now : Millis
            The current time.
        """
        self._compensate_pause(now)
        handler = self._handlers.get(type(message))
        return () if handler is None else tuple(handler(message, source, now))

    def on_tick(self, now: Millis) -> tuple[Send, ...]:
        """Return the messages that are due; to be called about every 100 ms."""
        self._compensate_pause(now)
        if self._fleet.superseded:
            return ()
        isolated = self._is_isolated(now)
        self._mark_expired_suspects_gone(isolated, now)
        self._watcher.set_caught_up(self.caught_up)
        return (
            *self._send_join(now),
            *self._run_probes(now),
            *self._watcher.on_tick(isolated, now),
            *self._disseminate(now),
        )

    def leave(self, now: Millis) -> tuple[Send, ...]:
        """Return the messages that announce to some peers that this balancer leaves.

        The caller must send nothing afterwards.
        """
        self._fleet.leave(now)
        updates = make_updates([self._fleet.own])
        targets = self._sample_peers(2 * FANOUT)
        return tuple(
            self._make_gossip(GossipKind.UPDATE, target, 0, updates)
            for target in targets
        )

    def _is_isolated(self, now: Millis) -> bool:
        """Return whether this node receives no answers from peers and no heartbeats.

        Missing messages are then no evidence that another node has failed.
        """
        return self._prober.is_isolated and not self._watcher.receives_heartbeats(now)

    def _compensate_pause(self, now: Millis) -> None:
        """Extend the time-outs if this process was paused since the last call."""
        if self._ticked_at is not None and now - self._ticked_at > PAUSE_THRESHOLD_MS:
            pause_ms = Millis(now - self._ticked_at)
            self._watcher.compensate_pause(pause_ms, now)
            self._prober.drop_pending()
            self._suspected_since = {
                endpoint: Millis(since + pause_ms)
                for endpoint, since in self._suspected_since.items()
            }
        self._ticked_at = now

    def _send_join(self, now: Millis) -> Iterator[Send]:
        """Send a join to the control address if one is due."""
        if now < self._join_at:
            return
        peers = len(self._fleet.peers)
        if peers:
            wait = JOIN_INTERVAL_MS * (1 + peers // PEERS_PER_JOIN_INTERVAL)
        else:
            wait = self._join_interval
            self._join_interval = Millis(min(2 * wait, MAX_INITIAL_JOIN_INTERVAL_MS))
        self._join_at = Millis(now + wait // 2 + self._random.randrange(wait))
        yield Send(self._control_address, Join(self._fleet.own))

    def _run_probes(self, now: Millis) -> Iterator[Send]:
        """Probe the next balancer, and act on probes that remain unanswered."""
        step = self._prober.on_tick(self._fleet.peers, now)
        if step.probe is not None:
            updates = self._take_updates(now)
            yield self._make_gossip(GossipKind.PROBE, step.probe, step.number, updates)
        if step.request_liveness is not None:
            yield from self._request_liveness(step.request_liveness)
        if step.suspect is not None:
            self._suspect(step.suspect, now)

    def _request_liveness(self, unresponsive: Endpoint) -> Iterator[Send]:
        """Ask a few peers to probe an unresponsive balancer."""
        record = self._fleet.table.get(unresponsive)
        if record is None:
            return
        for peer in self._sample_peers(LIVENESS_REQUEST_PEERS):
            if peer != unresponsive:
                yield Send(peer, LivenessRequest(unresponsive, record.incarnation))

    def _suspect(self, unresponsive: Endpoint, now: Millis) -> None:
        """Suspect a balancer, unless this node is isolated."""
        record = self._fleet.table.get(unresponsive)
        if not isinstance(record, BalancerRecord) or record.is_suspected:
            return
        if record.state is not AgentState.GONE and not self._is_isolated(now):
            self._fleet.toggle_suspicion(record, now)

    def _mark_expired_suspects_gone(self, isolated: bool, now: Millis) -> None:
        """Mark balancers as gone that haven't refuted a suspicion in time."""
        suspected = self._fleet.suspected
        self._suspected_since = {
            one.endpoint: self._suspected_since.get(one.endpoint, now)
            for one in suspected
        }
        for record in suspected:
            since = self._suspected_since[record.endpoint]
            if now - since >= SUSPICION_TIMEOUT_MS and not isolated:
                # Every node times the suspicion out itself, so no gossip is needed.
                gone = replace(record, state=AgentState.GONE)
                self._fleet.merge_without_gossip(gone, now)

    def _disseminate(self, now: Millis) -> Iterator[Send]:
        """Send queued updates and a new configuration version to a few peers."""
        if now < self._fanout_at:
            return
        self._fanout_at = Millis(now + FANOUT_INTERVAL_MS)
        self._fleet.table.forget_gone(now)
        self._update_gossip_rates(now)
        if not self._fleet.updates and not self._version_transmissions:
            return
        self._version_transmissions = max(0, self._version_transmissions - 1)
        for peer in self._sample_peers(FANOUT):
            if not self._has_gossip_budget(now) and not self._version_transmissions:
                return
            updates = self._take_updates(now)
            if updates == EMPTY_UPDATE and not self._version_transmissions:
                return
            self._budget.spend(DATAGRAM_BYTES, now)
            yield self._make_gossip(GossipKind.UPDATE, peer, 0, updates)

    def _has_gossip_budget(self, now: Millis) -> bool:
        """Return whether the budget covers all queued updates, or is at its maximum."""
        wanted = DATAGRAM_BYTES + RECORD_BYTES * len(self._fleet.updates)
        return self._budget.get_level(now) >= min(wanted, GOSSIP_BURST_BYTES)

    def _update_gossip_rates(self, now: Millis) -> None:
        """Divide the rate left by heartbeats and probes between gossip and repair."""
        heartbeat_rate = self._watcher.estimate_bytes_per_second()
        remaining = CONTROL_BYTES_PER_SECOND - PROBE_BYTES_PER_SECOND - heartbeat_rate
        rate = max(MIN_GOSSIP_BYTES_PER_SECOND, remaining)
        share = REPAIR_SHARE if self.caught_up else CATCH_UP_SHARE
        self._repair_budget.set_rate(int(share * rate), now)
        self._budget.set_rate(int((1 - share) * rate), now)

    def _take_updates(self, now: Millis) -> MembershipUpdate:
        """Return the queued updates that the budget allows, and charge it for them."""
        room = min(MAX_UPDATE_BYTES, self._budget.get_level(now))
        updates = self._fleet.updates.take(room)
        self._budget.spend(_estimate_bytes(updates), now)
        return updates

    def _sample_peers(self, count: int) -> list[Endpoint]:
        """Return up to `count` random peers that aren't suspected."""
        peers = self._fleet.reachable
        return self._random.sample(peers, min(count, len(peers)))

    def _make_gossip(
        self,
        kind: GossipKind,
        destination: Endpoint,
        number: int,
        updates: MembershipUpdate,
    ) -> Send:
        """Return a gossip message with this node's digest and configuration version."""
        digest = self._fleet.table.digest if self.caught_up else NO_DIGEST
        return Send(
            destination,
            Gossip(kind, number, digest, self._configuration_version, updates),
        )

    def _on_announcement(
        self, message: Announcement, _source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        return self._watcher.on_announcement(message, now)

    def _on_heartbeat(
        self, message: Heartbeat, _source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        return self._watcher.on_heartbeat(message, now)

    def _on_join(self, message: Join, _source: Endpoint, now: Millis) -> Iterator[Send]:
        """Send a joining balancer this node's record and, if it is new, others."""
        joiner = message.record.endpoint
        if joiner == self._fleet.own.endpoint:
            self._fleet.merge(message.record, now)
            return
        outcome = self._fleet.merge(message.record, now)
        records: list[Record] = [self._fleet.own]
        if outcome is MergeOutcome.NEWER:
            records += self._select_join_records(joiner)
        elif (known := self._fleet.table.get(joiner)) != message.record and known:
            records.append(known)
        self._budget.spend(RECORD_BYTES * len(records), now)
        yield self._make_gossip(GossipKind.UPDATE, joiner, 0, make_updates(records))

    def _select_join_records(self, joiner: Endpoint) -> list[Record]:
        """Return the balancers and, if all fit, the agents that a new node is sent."""
        others = [one for one in self.balancers if one.endpoint != joiner]
        balancers = self._random.sample(others, min(len(others), MAX_JOIN_RECORDS))
        agents = [
            one for one in self.directory.records if one.state is not AgentState.GONE
        ]
        fits = len(balancers) + len(agents) <= MAX_JOIN_RECORDS
        return [*balancers, *agents] if fits else [*balancers]

    def _on_gossip(
        self, message: Gossip, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Merge a gossip message, reply to it and compare the digests."""
        self._budget.spend(_estimate_bytes(message.update), now)
        yield from self._merge_updates(message.update, source, now)
        self._record_version(message.configuration_version, source)
        yield from self._handle_probe_or_reply(message, source, now)
        known = self._fleet.table.get(source)
        if known is None or known.state is AgentState.GONE:
            yield from self._send_introduction(known, source, now)
            return
        gossip_idle = not self._fleet.updates
        yield from self._repairer.on_gossip_digest(
            message.digest, source, gossip_idle, now
        )

    def _handle_probe_or_reply(
        self, message: Gossip, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Reply to a probe, or match a reply to the own probe or another node's."""
        if message.kind is GossipKind.PROBE:
            updates = self._take_updates(now)
            yield self._make_gossip(GossipKind.REPLY, source, message.number, updates)
        elif message.kind is GossipKind.REPLY:
            self._prober.record_answer(message.number)
            waiting = self._pending_requests.pop(message.number, None)
            if waiting is not None:
                requester, request = waiting
                response = LivenessResponse(request.endpoint, request.incarnation, 0)
                yield Send(requester, response)

    def _send_introduction(
        self, known: Record | None, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Answer a sender that is unknown or marked as gone, so that it can rejoin.

        A sender that is marked as gone receives that record, which it can refute.
        """
        if now < self._introduction_at:
            return
        self._introduction_at = Millis(now + INTRODUCTION_INTERVAL_MS)
        if known is not None:
            yield self._make_gossip(GossipKind.UPDATE, source, 0, make_updates([known]))
        yield Send(source, Join(self._fleet.own))

    def _merge_updates(
        self, updates: MembershipUpdate, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Merge updates; send a summary of buckets that can't be compared."""
        for record in updates.records:
            self._fleet.merge(record, now)
        for vector in updates.vectors:
            if not self._fleet.merge_vector(vector, now):
                yield from self._repairer.send_bucket(vector.bucket, source, now)

    def _on_missing_records(
        self, message: MissingRecords, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Merge repaired records, and return those for which a newer one is known."""
        updates = message.update
        self._repair_budget.spend(DATAGRAM_BYTES + _estimate_bytes(updates), now)
        newer: list[Record] = []
        for record in updates.records:
            outcome = self._fleet.merge_without_gossip(record, now)
            known = self._fleet.table.get(record.endpoint)
            if outcome is MergeOutcome.STALE and known is not None:
                newer.append(known)
        if newer:
            yield Send(source, MissingRecords(make_updates(newer)))

    def _on_liveness_request(
        self, message: LivenessRequest, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Report an agent's last heartbeat, or probe a balancer for the requester."""
        record = self._fleet.table.get(message.endpoint)
        if isinstance(record, AgentRecord):
            yield from self._watcher.on_liveness_request(message, source, now)
        elif isinstance(record, BalancerRecord):
            self._request_number += 1
            if len(self._pending_requests) >= _MAX_PENDING_REQUESTS:
                self._pending_requests.clear()
            self._pending_requests[self._request_number] = (source, message)
            yield self._make_gossip(
                GossipKind.PROBE, message.endpoint, self._request_number, EMPTY_UPDATE
            )

    def _on_liveness_response(
        self, message: LivenessResponse, _source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Record that a peer has heard from an agent or balancer."""
        self._watcher.on_liveness_response(message, now)
        self._prober.record_alive(message.endpoint)
        yield from ()

    def _record_version(self, version: int, source: Endpoint) -> None:
        """Record the highest configuration version advertised by a peer."""
        if version > max(
            self._configuration_version,
            self._advertised_configuration[0] if self._advertised_configuration else 0,
        ):
            self._advertised_configuration = (version, source)


def _estimate_bytes(updates: MembershipUpdate) -> int:
    """Return the estimated size of all updates, in bytes."""
    return int(sum(estimate_bytes(one) for one in (*updates.records, *updates.vectors)))
