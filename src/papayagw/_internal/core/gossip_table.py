"""Table of all records that a balancer holds, with digests for their comparison.

Each zone has `BUCKETS_PER_ZONE` buckets. Records of nodes that are gone are kept as
tombstones, so that an outdated message can't revive the node. They are excluded from
the digests, so that a node that has dropped a tombstone and a node that still holds it
have equal digests.
"""

import hashlib
from dataclasses import dataclass, replace
from enum import Enum

from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import (
    AGENT_BUCKETS,
    BALANCER_BUCKET,
    SUSPICION_MODULUS,
    BalancerRecord,
    Bucket,
    Fingerprint,
    Record,
    SuspicionVector,
)
from papayagw._internal.models.endpoint import Endpoint

GONE_RETENTION_MS = Millis(24 * 3_600_000)
"""Retention period of the record of a node that is gone."""

MAX_GONE_RECORDS = 20_000
"""Maximum number of records of nodes that are gone."""

_HASH_BYTES = 4


class MergeOutcome(Enum):
    """How a merged record compares with the known one: newer, equal or older."""

    NEWER = "newer"
    KNOWN = "known"
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class VectorComparison:
    """Result of comparing a suspicion vector with the local records.

    Attributes
    ----------
    ahead : tuple of Record
        The local records for which the vector is newer, with the vector's suspicion.
    behind : bool
        Whether the vector is older for any record.
    """

    ahead: tuple[Record, ...]
    behind: bool


class RecordTable:
    """The newest record of each balancer and agent.

    Parameters
    ----------
    directory : AgentDirectory
        The directory that is updated with the agents of the table.
    """

    def __init__(self, directory: AgentDirectory):
        self._directory = directory
        self._records: dict[Endpoint, Record] = {}
        self._fingerprints: dict[Endpoint, Fingerprint] = {}
        self._by_fingerprint: dict[Fingerprint, Record] = {}
        self._buckets: dict[Bucket, _BucketState] = {}
        self._digest = 0
        self._gone_at: dict[Endpoint, Millis] = {}
        self._balancers: dict[Endpoint, BalancerRecord] = {}
        self._balancers_version = 0
        self._agents = 0

    @property
    def directory(self) -> AgentDirectory:
        """The agents of the table."""
        return self._directory

    @property
    def digest(self) -> int:
        """The digest over all records of nodes that aren't gone."""
        return self._digest

    @property
    def balancers(self) -> tuple[BalancerRecord, ...]:
        """The balancers that aren't gone."""
        return tuple(self._balancers.values())

    @property
    def balancers_version(self) -> int:
        """A counter that is incremented with each change of `balancers`."""
        return self._balancers_version

    @property
    def agent_count(self) -> int:
        """The number of agents that aren't gone."""
        return self._agents

    @property
    def buckets(self) -> tuple[Bucket, ...]:
        """The buckets that have ever held a record."""
        return tuple(self._buckets)

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones of all records."""
        return tuple(sorted({bucket.zone for bucket in self._buckets}))

    def get(self, endpoint: Endpoint) -> Record | None:
        """Return the record of a node, or None."""
        return self._records.get(endpoint)

    def find(self, fingerprint: Fingerprint) -> Record | None:
        """Return the record with this fingerprint, or None."""
        return self._by_fingerprint.get(fingerprint)

    def merge(self, record: Record, now: Millis) -> MergeOutcome:
        """Store a record if it takes precedence over the known one."""
        known = self._records.get(record.endpoint)
        if known is not None and known.precedence >= record.precedence:
            same = known.precedence == record.precedence
            return MergeOutcome.KNOWN if same else MergeOutcome.STALE
        if known is not None and known.state is not AgentState.GONE:
            self._unindex(known)
        self._records[record.endpoint] = record
        if record.state is AgentState.GONE:
            self._gone_at[record.endpoint] = now
        else:
            self._gone_at.pop(record.endpoint, None)
            self._index(record)
        if isinstance(record, AgentRecord):
            self._directory.merge(record)
        return MergeOutcome.NEWER

    def forget_gone(self, now: Millis) -> None:
        """Remove records of gone nodes that are too old or too many."""
        while self._gone_at:
            endpoint, gone_at = next(iter(self._gone_at.items()))
            if (
                now - gone_at < GONE_RETENTION_MS
                and len(self._gone_at) <= MAX_GONE_RECORDS
            ):
                return
            del self._gone_at[endpoint]
            record = self._records.pop(endpoint)
            if isinstance(record, AgentRecord):
                self._directory.forget(record)

    def get_digest(self, bucket: Bucket) -> int:
        """Return the digest of a bucket, 0 for an empty one."""
        state = self._buckets.get(bucket)
        return 0 if state is None else state.digest

    def get_size(self, bucket: Bucket) -> int:
        """Return the number of records in a bucket."""
        state = self._buckets.get(bucket)
        return 0 if state is None else len(state.members)

    def list_members(self, bucket: Bucket) -> tuple[Record, ...]:
        """Return the records of a bucket."""
        state = self._buckets.get(bucket)
        if state is None:
            return ()
        return tuple(self._records[endpoint] for endpoint in state.members)

    def list_fingerprints(self, bucket: Bucket) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the records of a bucket."""
        state = self._buckets.get(bucket)
        if state is None:
            return ()
        return tuple(self._fingerprints[endpoint] for endpoint in state.members)

    def make_vector(self, bucket: Bucket) -> SuspicionVector:
        """Return the suspicion counters of the members of a bucket."""
        state = self._buckets.get(bucket)
        if state is None:
            return SuspicionVector(bucket, 0, ())
        counters = tuple(
            self._records[endpoint].suspicion % SUSPICION_MODULUS
            for endpoint in state.list_sorted()
        )
        return SuspicionVector(bucket, state.index_digest, counters)

    def compare(self, vector: SuspicionVector) -> VectorComparison | None:
        """Compare a suspicion vector with the local records.

        Return None if the local bucket has other members, incarnations or sequences.
        """
        state = self._buckets.get(vector.bucket)
        if state is None or state.index_digest != vector.index_digest:
            return None
        members = state.list_sorted()
        if len(members) != len(vector.counters):
            return None
        ahead: list[Record] = []
        behind = False
        for endpoint, counter in zip(members, vector.counters, strict=True):
            record = self._records[endpoint]
            steps = (counter - record.suspicion) % SUSPICION_MODULUS
            if steps >= SUSPICION_MODULUS // 2:
                behind = True
            elif steps:
                ahead.append(replace(record, suspicion=record.suspicion + steps))
        return VectorComparison(tuple(ahead), behind)

    def _index(self, record: Record) -> None:
        """Add a record to the fingerprints, digests and counts."""
        fingerprint = compute_fingerprint(record)
        self._fingerprints[record.endpoint] = fingerprint
        self._by_fingerprint[fingerprint] = record
        self._digest ^= fingerprint
        bucket = find_bucket(record)
        state = self._buckets.setdefault(bucket, _BucketState())
        state.add(record, fingerprint)
        if isinstance(record, BalancerRecord):
            self._balancers[record.endpoint] = record
            self._balancers_version += 1
        else:
            self._agents += 1

    def _unindex(self, record: Record) -> None:
        """Remove a record from the fingerprints, digests and counts."""
        fingerprint = self._fingerprints.pop(record.endpoint)
        self._by_fingerprint.pop(fingerprint, None)
        self._digest ^= fingerprint
        self._buckets[find_bucket(record)].remove(record, fingerprint)
        if isinstance(record, BalancerRecord):
            del self._balancers[record.endpoint]
            self._balancers_version += 1
        else:
            self._agents -= 1


class _BucketState:
    """The members and digests of one bucket."""

    def __init__(self) -> None:
        self.members: set[Endpoint] = set()
        self.digest = 0
        self.index_digest = 0
        self._sorted: list[Endpoint] | None = None

    def add(self, record: Record, fingerprint: Fingerprint) -> None:
        """Add a record to the members and digests."""
        self.members.add(record.endpoint)
        self._update_digests(record, fingerprint)

    def remove(self, record: Record, fingerprint: Fingerprint) -> None:
        """Remove a record from the members and digests."""
        self.members.discard(record.endpoint)
        self._update_digests(record, fingerprint)

    def list_sorted(self) -> list[Endpoint]:
        """Return the members sorted by endpoint."""
        if self._sorted is None:
            self._sorted = sorted(self.members)
        return self._sorted

    def _update_digests(self, record: Record, fingerprint: Fingerprint) -> None:
        # XOR is its own inverse: the same step adds or removes a record.
        self.digest ^= fingerprint
        self.index_digest ^= _compute_identity(record)
        self._sorted = None


def find_bucket(record: Record) -> Bucket:
    """Return the bucket of a record."""
    if isinstance(record, BalancerRecord):
        return Bucket(record.zone, BALANCER_BUCKET)
    number = _hash(str(record.endpoint)) % AGENT_BUCKETS
    return Bucket(record.zone, number)


def compute_fingerprint(record: Record) -> Fingerprint:
    """Return a hash of the endpoint and precedence of a record."""
    return _hash(f"{record.endpoint} {record.precedence}")


def _compute_identity(record: Record) -> int:
    """Return a hash that ignores state and suspicion, for the index digest."""
    return _hash(f"{record.endpoint} {record.incarnation} {record.sequence}")


def _hash(text: str) -> int:
    digest = hashlib.blake2s(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
