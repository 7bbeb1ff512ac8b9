"""What a balancer tells the other nodes and learns from them.

Each agent sends heartbeats to a few balancers only. Changes spread by gossip, each
told a bounded number of times; digests repair what was missed. Nothing here reads
a clock or a socket: messages and ticks come in, messages to send come out.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import replace

from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.fleet import Fleet
from papayagw._internal.core.gossip_budget import TokenBucket
from papayagw._internal.core.gossip_news import (
    RECORD_BYTES,
    estimate_bytes,
    make_news,
)
from papayagw._internal.core.gossip_probe import Prober
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
"""What all control traffic may cost a balancer, sent and received together."""

PROBE_BYTES_PER_SECOND = 400
"""What probes and their answers cost without news."""

MIN_NEWS_BYTES_PER_SECOND = 800
"""What is left for gossip and repair at the least."""

REPAIR_SHARE = 0.4
"""The share of that which is kept for repair."""

CATCH_UP_SHARE = 0.8
"""The same while a new balancer is catching up."""

NEWS_BURST_BYTES = 400

MAX_NEWS_BYTES = 1_050
"""The most that news take of one datagram, in bytes."""

FANOUT = 3
"""To how many peers news go at once."""

FANOUT_INTERVAL_MS = Millis(100)

INQUIRED_PEERS = 2
"""How many peers are asked about a silent balancer."""

SUSPECT_KEPT_MS = Millis(10_000)
"""A balancer that doesn't refute a suspicion in this time is given up."""

PAUSE_MS = Millis(700)
"""A gap between ticks that counts as a pause of this process."""

FIRST_JOIN_MS = Millis(200)
MAX_FIRST_JOIN_MS = Millis(2_000)
JOIN_MS = Millis(5_000)
"""The time between two joins of a node that knows peers, in a small fleet."""

JOIN_PEERS = 50
"""The number of peers that doubles `JOIN_MS`."""

MEET_MS = Millis(20)
"""The least time between two answers to nodes that are unknown or taken for gone."""

JOIN_RECORDS = 30
"""How many records the answer to a join carries."""

RELAYS_PER_ZONE = 3
"""How many balancers of a zone watch the platform's store."""

VERSION_COPIES = 8
"""In so many ticks a new version of the configuration is told."""

_FIRST_INQUIRY = 1 << 30
_MAX_INQUIRERS = 64


class BalancerMembership:
    """A balancer's part in the membership.

    Parameters
    ----------
    own : BalancerRecord
        This balancer.
    control_address : Endpoint
        Where a datagram reaches some balancer.
    directory : AgentDirectory
        Kept equal to what is known of agents.
    random_source : random.Random
        For jitter and the choice of peers.
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
        self._budget = TokenBucket(MIN_NEWS_BYTES_PER_SECOND, NEWS_BURST_BYTES)
        self._watcher = Watcher(self._fleet, random_source)
        self._prober = Prober(random_source)
        self._repair_budget = TokenBucket(MIN_NEWS_BYTES_PER_SECOND, NEWS_BURST_BYTES)
        self._repairer = Repairer(self._fleet.table, self._repair_budget, random_source)
        self._suspects: dict[Endpoint, Millis] = {}
        self._inquirers: dict[int, tuple[Endpoint, LivenessRequest]] = {}
        self._inquiry_number = _FIRST_INQUIRY
        self._ticked_at: Millis | None = None
        self._join_at = Millis(0)
        self._join_wait = FIRST_JOIN_MS
        self._fanout_at = Millis(0)
        self._meet_at = Millis(0)
        self._version = 0
        self._version_copies = 0
        self._heard: tuple[int, Endpoint] | None = None
        self._handlers: dict[type, Callable[..., Iterator[Send]]] = {
            Announcement: self._on_announcement,
            Heartbeat: self._on_heartbeat,
            Join: self._on_join,
            Gossip: self._on_gossip,
            BucketDigests: self._repairer.on_digests,
            BucketSummary: self._repairer.on_summary,
            RecordRequest: self._repairer.on_request,
            MissingRecords: self._on_records,
            LivenessRequest: self._on_inquiry,
            LivenessResponse: self._on_voucher,
        }

    @property
    def own(self) -> BalancerRecord:
        """The balancer's own record."""
        return self._fleet.own

    @property
    def directory(self) -> AgentDirectory:
        """The agents."""
        return self._fleet.table.directory

    @property
    def peers(self) -> tuple[Endpoint, ...]:
        """The inner endpoints of the other balancers that aren't suspected."""
        return self._fleet.reachable

    @property
    def balancers(self) -> tuple[BalancerRecord, ...]:
        """The balancers that aren't gone, this one among them."""
        return self._fleet.table.balancers

    @property
    def caught_up(self) -> bool:
        """Whether this node knows nearly all agents, or has nobody to learn from."""
        return self._repairer.caught_up or not self._fleet.peers

    @property
    def superseded(self) -> bool:
        """Whether a later run has taken over this balancer's endpoint."""
        return self._fleet.superseded

    @property
    def watched_count(self) -> int:
        """How many agents this balancer watches."""
        return self._watcher.watched_count

    @property
    def configuration_version(self) -> int:
        """The version of the configuration that this node holds."""
        return self._version

    @property
    def heard_configuration(self) -> tuple[int, Endpoint] | None:
        """The highest version heard of and a peer that has it; None if not higher."""
        if self._heard is None or self._heard[0] <= self._version:
            return None
        return self._heard

    def set_configuration_version(self, version: int) -> None:
        """Tell others of the version that this node now holds."""
        if version <= self._version:
            return
        self._version = version
        self._version_copies = VERSION_COPIES
        self._watcher.set_configuration_version(version)

    def is_relay(self, zone: str) -> bool:
        """Return whether this balancer is to watch the store for `zone`."""
        of_zone = [
            one
            for one in self._fleet.table.balancers
            if one.zone == zone and not one.is_suspected
        ]
        relays = Rendezvous(of_zone).choose(f"relay {zone}", RELAYS_PER_ZONE)
        return self._fleet.own.endpoint in relays

    def on_message(
        self, message: ControlMessage, source: Endpoint, now: Millis
    ) -> tuple[Send, ...]:
        """Take in a message.

        Parameters
        ----------
        message : ControlMessage
            What arrived.
        source : Endpoint
            The endpoint that it came from.
        now : Millis
            The time.
        """
        self._excuse_pause(now)
        handler = self._handlers.get(type(message))
        return () if handler is None else tuple(handler(message, source, now))

    def on_tick(self, now: Millis) -> tuple[Send, ...]:
        """Return what is due; to be called about every 100 ms."""
        self._excuse_pause(now)
        if self._fleet.superseded:
            return ()
        cut_off = self._is_cut_off(now)
        self._give_up_suspects(cut_off, now)
        self._watcher.set_caught_up(self.caught_up)
        return (
            *self._join(now),
            *self._probe(now),
            *self._watcher.on_tick(cut_off, now),
            *self._spread(now),
        )

    def leave(self, now: Millis) -> tuple[Send, ...]:
        """Say good-bye to some peers; nothing else is to be sent afterwards."""
        self._fleet.leave(now)
        news = make_news([self._fleet.own])
        targets = self._sample_peers(2 * FANOUT)
        return tuple(
            self._gossip(GossipKind.UPDATE, target, 0, news) for target in targets
        )

    def _is_cut_off(self, now: Millis) -> bool:
        """Return whether nobody at all is heard, so that silence tells nothing."""
        return self._prober.is_isolated and not self._watcher.hears_agents(now)

    def _excuse_pause(self, now: Millis) -> None:
        if self._ticked_at is not None and now - self._ticked_at > PAUSE_MS:
            pause_ms = Millis(now - self._ticked_at)
            self._watcher.excuse(pause_ms, now)
            self._prober.drop_pending()
            self._suspects = {
                endpoint: Millis(since + pause_ms)
                for endpoint, since in self._suspects.items()
            }
        self._ticked_at = now

    def _join(self, now: Millis) -> Iterator[Send]:
        if now < self._join_at:
            return
        peers = len(self._fleet.peers)
        if peers:
            wait = JOIN_MS * (1 + peers // JOIN_PEERS)
        else:
            wait = self._join_wait
            self._join_wait = Millis(min(2 * wait, MAX_FIRST_JOIN_MS))
        self._join_at = Millis(now + wait // 2 + self._random.randrange(wait))
        yield Send(self._control_address, Join(self._fleet.own))

    def _probe(self, now: Millis) -> Iterator[Send]:
        step = self._prober.on_tick(self._fleet.peers, now)
        if step.probe is not None:
            news = self._take_news(now)
            yield self._gossip(GossipKind.PROBE, step.probe, step.number, news)
        if step.inquire is not None:
            yield from self._inquire(step.inquire)
        if step.suspect is not None:
            self._suspect(step.suspect, now)

    def _inquire(self, silent: Endpoint) -> Iterator[Send]:
        record = self._fleet.table.get(silent)
        if record is None:
            return
        for peer in self._sample_peers(INQUIRED_PEERS):
            if peer != silent:
                yield Send(peer, LivenessRequest(silent, record.incarnation))

    def _suspect(self, silent: Endpoint, now: Millis) -> None:
        record = self._fleet.table.get(silent)
        if not isinstance(record, BalancerRecord) or record.is_suspected:
            return
        if record.state is not AgentState.GONE and not self._is_cut_off(now):
            self._fleet.set_suspicion(record, now)

    def _give_up_suspects(self, cut_off: bool, now: Millis) -> None:
        suspected = self._fleet.suspected
        self._suspects = {
            one.endpoint: self._suspects.get(one.endpoint, now) for one in suspected
        }
        for record in suspected:
            since = self._suspects[record.endpoint]
            if now - since >= SUSPECT_KEPT_MS and not cut_off:
                # All nodes come to this by themselves: it needs no telling.
                gone = replace(record, state=AgentState.GONE)
                self._fleet.merge_quietly(gone, now)

    def _spread(self, now: Millis) -> Iterator[Send]:
        if now < self._fanout_at:
            return
        self._fanout_at = Millis(now + FANOUT_INTERVAL_MS)
        self._fleet.table.forget_gone(now)
        self._set_news_rate(now)
        if not self._fleet.news and not self._version_copies:
            return
        self._version_copies = max(0, self._version_copies - 1)
        for peer in self._sample_peers(FANOUT):
            if not self._may_send_news(now) and not self._version_copies:
                return
            news = self._take_news(now)
            if news == EMPTY_UPDATE and not self._version_copies:
                return
            self._budget.spend(DATAGRAM_BYTES, now)
            yield self._gossip(GossipKind.UPDATE, peer, 0, news)

    def _may_send_news(self, now: Millis) -> bool:
        """Return whether the budget lets a datagram be well filled."""
        wanted = DATAGRAM_BYTES + RECORD_BYTES * len(self._fleet.news)
        return self._budget.get_level(now) >= min(wanted, NEWS_BURST_BYTES)

    def _set_news_rate(self, now: Millis) -> None:
        watching = self._watcher.estimate_bytes_per_second()
        left = CONTROL_BYTES_PER_SECOND - PROBE_BYTES_PER_SECOND - watching
        rate = max(MIN_NEWS_BYTES_PER_SECOND, left)
        share = REPAIR_SHARE if self.caught_up else CATCH_UP_SHARE
        self._repair_budget.set_rate(int(share * rate), now)
        self._budget.set_rate(int((1 - share) * rate), now)

    def _take_news(self, now: Millis) -> MembershipUpdate:
        room = min(MAX_NEWS_BYTES, self._budget.get_level(now))
        news = self._fleet.news.take(room)
        self._budget.spend(_estimate_bytes(news), now)
        return news

    def _sample_peers(self, count: int) -> list[Endpoint]:
        peers = self._fleet.reachable
        return self._random.sample(peers, min(count, len(peers)))

    def _gossip(
        self,
        kind: GossipKind,
        destination: Endpoint,
        number: int,
        news: MembershipUpdate,
    ) -> Send:
        digest = self._fleet.table.digest if self.caught_up else NO_DIGEST
        return Send(destination, Gossip(kind, number, digest, self._version, news))

    def _on_announcement(
        self, message: Announcement, _source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        return self._watcher.on_announcement(message, now)

    def _on_heartbeat(
        self, message: Heartbeat, _source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        return self._watcher.on_heartbeat(message, now)

    def _on_join(self, message: Join, _source: Endpoint, now: Millis) -> Iterator[Send]:
        joiner = message.record.endpoint
        if joiner == self._fleet.own.endpoint:
            self._fleet.merge(message.record, now)
            return
        outcome = self._fleet.merge(message.record, now)
        records: list[Record] = [self._fleet.own]
        if outcome is MergeOutcome.NEWS:
            records += self._introduce(joiner)
        elif (known := self._fleet.table.get(joiner)) != message.record and known:
            records.append(known)
        self._budget.spend(RECORD_BYTES * len(records), now)
        yield self._gossip(GossipKind.UPDATE, joiner, 0, make_news(records))

    def _introduce(self, joiner: Endpoint) -> list[Record]:
        others = [one for one in self.balancers if one.endpoint != joiner]
        balancers = self._random.sample(others, min(len(others), JOIN_RECORDS))
        agents = [
            one for one in self.directory.records if one.state is not AgentState.GONE
        ]
        fits = len(balancers) + len(agents) <= JOIN_RECORDS
        return [*balancers, *agents] if fits else [*balancers]

    def _on_gossip(
        self, message: Gossip, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        self._budget.spend(_estimate_bytes(message.update), now)
        yield from self._take_in(message.update, source, now)
        self._note_version(message.configuration_version, source)
        yield from self._answer(message, source, now)
        known = self._fleet.table.get(source)
        if known is None or known.state is AgentState.GONE:
            yield from self._meet(known, source, now)
            return
        settled = not self._fleet.news
        yield from self._repairer.on_digest(message.digest, source, settled, now)

    def _answer(self, message: Gossip, source: Endpoint, now: Millis) -> Iterator[Send]:
        if message.kind is GossipKind.PROBE:
            news = self._take_news(now)
            yield self._gossip(GossipKind.REPLY, source, message.number, news)
        elif message.kind is GossipKind.REPLY:
            self._prober.note_answer(message.number)
            waiting = self._inquirers.pop(message.number, None)
            if waiting is not None:
                inquirer, inquiry = waiting
                voucher = LivenessResponse(inquiry.endpoint, inquiry.incarnation, 0)
                yield Send(inquirer, voucher)

    def _meet(
        self, known: Record | None, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Make a node known that speaks though it is unknown, or taken for gone."""
        if now < self._meet_at:
            return
        self._meet_at = Millis(now + MEET_MS)
        if known is not None:
            yield self._gossip(GossipKind.UPDATE, source, 0, make_news([known]))
        yield Send(source, Join(self._fleet.own))

    def _take_in(
        self, news: MembershipUpdate, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        for record in news.records:
            self._fleet.merge(record, now)
        for vector in news.vectors:
            if not self._fleet.merge_vector(vector, now):
                yield from self._repairer.send_bucket(vector.bucket, source, now)

    def _on_records(
        self, message: MissingRecords, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        news = message.update
        self._repair_budget.spend(DATAGRAM_BYTES + _estimate_bytes(news), now)
        newer: list[Record] = []
        for record in news.records:
            outcome = self._fleet.merge_quietly(record, now)
            known = self._fleet.table.get(record.endpoint)
            if outcome is MergeOutcome.STALE and known is not None:
                newer.append(known)
        if newer:
            yield Send(source, MissingRecords(make_news(newer)))

    def _on_inquiry(
        self, message: LivenessRequest, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        record = self._fleet.table.get(message.endpoint)
        if isinstance(record, AgentRecord):
            yield from self._watcher.on_inquiry(message, source, now)
        elif isinstance(record, BalancerRecord):
            self._inquiry_number += 1
            if len(self._inquirers) >= _MAX_INQUIRERS:
                self._inquirers.clear()
            self._inquirers[self._inquiry_number] = (source, message)
            yield self._gossip(
                GossipKind.PROBE, message.endpoint, self._inquiry_number, EMPTY_UPDATE
            )

    def _on_voucher(
        self, message: LivenessResponse, _source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        self._watcher.on_voucher(message, now)
        self._prober.note_alive(message.endpoint)
        yield from ()

    def _note_version(self, version: int, source: Endpoint) -> None:
        if version > max(self._version, self._heard[0] if self._heard else 0):
            self._heard = (version, source)


def _estimate_bytes(news: MembershipUpdate) -> int:
    return int(sum(estimate_bytes(one) for one in (*news.records, *news.vectors)))
