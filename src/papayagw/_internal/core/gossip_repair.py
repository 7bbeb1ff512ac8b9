"""Anti-entropy between two balancers, which repairs what gossip has missed.

A node that receives a digest other than its own sends its digests by bucket. The peer
answers with the fingerprints of a few differing buckets; then each side sends the
records that the other lacks and requests those that it lacks itself. The buckets of a
new node are empty, so it receives whole buckets at once.
"""

import random
from collections.abc import Iterator, Sequence

from papayagw._internal.core.gossip_budget import TokenBucket
from papayagw._internal.core.gossip_queue import RECORD_BYTES, make_updates
from papayagw._internal.core.gossip_table import RecordTable
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import (
    BUCKETS_PER_ZONE,
    Bucket,
    BucketDigests,
    BucketSummary,
    MissingRecords,
    Record,
    RecordRequest,
    Send,
)
from papayagw._internal.models.endpoint import Endpoint

DATAGRAM_BYTES = 60
"""Size of a control datagram without its lists, in bytes."""

RECORDS_PER_DATAGRAM = 40
"""Maximum number of records in one datagram."""

FINGERPRINT_BYTES = 4.5
"""Estimated size of a fingerprint in a datagram, in bytes."""

DIGEST_BYTES = 4.5
"""Estimated size of a bucket's digest in a datagram, in bytes."""

REPAIR_INTERVAL_MS = Millis(2_000)
"""Minimum interval between comparisons that a node starts after it has caught up."""

NO_DIGEST = 0
"""Digest sent by a node that is catching up: the peer must not start a comparison."""

GOSSIP_GRACE_MS = Millis(6_000)
"""Time that gossip has to resolve a difference while updates are still queued."""

CATCH_UP_INTERVAL_MS = Millis(300)
"""Value of `REPAIR_INTERVAL_MS` while a new node is catching up."""

BUCKET_INTERVAL_MS = Millis(1_000)
"""Minimum interval between summaries that `Repairer.send_bucket` sends."""

MAX_COMPARED_BUCKETS = 4
"""Maximum number of buckets in a comparison that are compared record by record."""

SMALL_BUCKET_RECORDS = 6
"""Maximum size of a bucket that is sent whole, because requests would cost more."""

CAUGHT_UP_SHARE = 0.05
"""Maximum share of differing buckets at which a node counts as caught up."""


class Repairer:
    """Finds and resolves differences between the records of two nodes.

    Parameters
    ----------
    table : RecordTable
        The records of this node.
    budget : TokenBucket
        The budget for the messages that are sent.
    random_source : random.Random
        The source for jitter and the selection of differing buckets.
    """

    def __init__(
        self, table: RecordTable, budget: TokenBucket, random_source: random.Random
    ):
        self._table = table
        self._budget = budget
        self._random = random_source
        self._next_at = Millis(0)
        self._digests_sent = 0
        self._next_bucket_at = Millis(0)
        self._caught_up = False
        self._differs_since: Millis | None = None

    @property
    def caught_up(self) -> bool:
        """Whether this node has at some time held nearly all records of a peer."""
        return self._caught_up

    def on_gossip_digest(
        self, digest: int, source: Endpoint, gossip_idle: bool, now: Millis
    ) -> Iterator[Send]:
        """Send the digests by bucket if a peer's digest of all records differs.

        While updates are queued (`gossip_idle` is False) the comparison is deferred,
        because gossip resolves most differences at a lower cost.
        """
        if digest == NO_DIGEST and self._caught_up:
            return
        if digest == self._table.digest:
            self._caught_up = True
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = now
        if now < self._next_at or self._budget.get_level(now) <= 0:
            return
        defers = self._caught_up and not gossip_idle
        if defers and now - self._differs_since < GOSSIP_GRACE_MS:
            return
        wait = REPAIR_INTERVAL_MS if self._caught_up else CATCH_UP_INTERVAL_MS
        self._next_at = Millis(now + wait + self._random.randrange(wait))
        self._differs_since = None
        message = self._make_digests()
        self._spend(len(message.digests) * DIGEST_BYTES, now)
        yield Send(source, message)

    def on_bucket_digests(
        self, message: BucketDigests, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Answer a peer's digests with records and summaries of differing buckets."""
        differing = self._find_differing(message)
        max_differing = CAUGHT_UP_SHARE * len(self._table.buckets)
        if message.complete and len(differing) <= max_differing:
            self._caught_up = True
        if self._budget.get_level(now) <= 0:
            return
        self._random.shuffle(differing)
        whole, compared = self._partition(differing, message)
        yield from self._send_records(whole, source, now)
        for bucket in compared[:MAX_COMPARED_BUCKETS]:
            if self._budget.get_level(now) > 0:
                yield self._summarise(bucket, source, now)

    def on_bucket_summary(
        self, message: BucketSummary, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Send the records of a bucket that the peer lacks and request missing ones."""
        theirs = set(message.fingerprints)
        ours = set(self._table.list_fingerprints(message.bucket))
        here_only = [self._table.find(one) for one in sorted(ours - theirs)]
        records = [record for record in here_only if record is not None]
        yield from self._send_records(records, source, now)
        if theirs - ours:
            self._spend(len(theirs - ours) * FINGERPRINT_BYTES, now)
            yield Send(source, RecordRequest(tuple(sorted(theirs - ours))))

    def on_record_request(
        self, message: RecordRequest, source: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Send the records that a peer has requested."""
        found = [self._table.find(one) for one in message.fingerprints]
        records = [record for record in found if record is not None]
        yield from self._send_records(records, source, now)

    def send_bucket(
        self, bucket: Bucket, destination: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Send a summary of a bucket, unless the budget is spent.

        At most one is sent per `BUCKET_INTERVAL_MS`.
        """
        if now >= self._next_bucket_at and self._budget.get_level(now) > 0:
            self._next_bucket_at = Millis(now + BUCKET_INTERVAL_MS)
            yield self._summarise(bucket, destination, now)

    def _partition(
        self, differing: Sequence[Bucket], message: BucketDigests
    ) -> tuple[list[Record], list[Bucket]]:
        """Split differing buckets into records to send and buckets to compare."""
        empty = set(_list_empty_buckets(message))
        whole: list[Record] = []
        compared: list[Bucket] = []
        for bucket in differing:
            members = self._table.list_members(bucket)
            missing = bucket in empty or bucket.zone not in message.zones
            small = len(members) <= SMALL_BUCKET_RECORDS
            if not missing:
                # The sender may also hold records of nodes that are gone here.
                compared.append(bucket)
            if (missing or small) and len(whole) < RECORDS_PER_DATAGRAM:
                whole += members
        return whole, compared

    def _summarise(self, bucket: Bucket, destination: Endpoint, now: Millis) -> Send:
        """Return the message with the fingerprints of a bucket's records."""
        fingerprints = self._table.list_fingerprints(bucket)
        self._spend(len(fingerprints) * FINGERPRINT_BYTES, now)
        return Send(destination, BucketSummary(bucket, fingerprints))

    def _send_records(
        self, records: Sequence[Record], destination: Endpoint, now: Millis
    ) -> Iterator[Send]:
        """Send whole records, in as many datagrams as they need."""
        for start in range(0, len(records), RECORDS_PER_DATAGRAM):
            chunk = list(records[start : start + RECORDS_PER_DATAGRAM])
            self._spend(len(chunk) * RECORD_BYTES, now)
            yield Send(destination, MissingRecords(make_updates(chunk)))

    def _make_digests(self) -> BucketDigests:
        """Return the digests of the buckets of all zones.

        While this node catches up, only one message in as many as there are zones is
        complete; each of the others has the buckets of one zone, in turn.
        """
        zones = self._table.zones
        complete = (
            self._caught_up or len(zones) <= 1 or self._digests_sent % len(zones) == 0
        )
        if not complete:
            zones = (zones[self._digests_sent % len(zones)],)
        self._digests_sent += 1
        digests = tuple(self._table.get_digest(one) for one in _list_buckets(zones))
        return BucketDigests(zones, digests, complete)

    def _find_differing(self, message: BucketDigests) -> list[Bucket]:
        """Return the buckets whose digests differ from those of the peer."""
        theirs = dict(zip(_list_buckets(message.zones), message.digests, strict=False))
        ours = set(self._table.buckets) if message.complete else set()
        buckets = sorted(set(theirs) | ours)
        return [
            bucket
            for bucket in buckets
            if theirs.get(bucket, 0) != self._table.get_digest(bucket)
        ]

    def _spend(self, size_bytes: float, now: Millis) -> None:
        """Charge the budget with a datagram that has lists of `size_bytes`."""
        self._budget.spend(DATAGRAM_BYTES + int(size_bytes), now)


def _list_buckets(zones: Sequence[str]) -> list[Bucket]:
    """Return all buckets of `zones`, in the order of `BucketDigests.digests`."""
    return [
        Bucket(zone, number) for zone in zones for number in range(BUCKETS_PER_ZONE)
    ]


def _list_empty_buckets(message: BucketDigests) -> Iterator[Bucket]:
    """Return the buckets in which the sender of `message` has no records."""
    pairs = zip(_list_buckets(message.zones), message.digests, strict=False)
    return (bucket for bucket, digest in pairs if digest == 0)
