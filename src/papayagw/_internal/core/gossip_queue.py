"""Queue of the updates that a balancer still has to send by gossip.

The number of transmissions of an update grows with the logarithm of the fleet's size;
receiving the update from a peer reduces it (rumour mongering with feedback and
counter, Demers et al. 1987). Nodes that an update hasn't reached by then are repaired
by comparing digests.
"""

import math
from dataclasses import dataclass, replace

from papayagw._internal.core.gossip_table import RecordTable
from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.control import (
    BalancerRecord,
    Bucket,
    MembershipUpdate,
    Record,
    SuspicionVector,
)
from papayagw._internal.models.endpoint import Endpoint

RECORD_BYTES = 26
"""Size of a whole record in a datagram, in bytes."""

VECTOR_BYTES = 22
"""Size of an empty suspicion vector in a datagram, in bytes."""

VECTOR_MEMBER_BYTES = 0.6
"""Estimated size of one record's counter in a suspicion vector, in bytes.

Counters are packed two per byte.
"""

TRANSMISSIONS_FACTOR = 1.0
"""Transmissions of an update, as a multiple of the logarithm of the fleet's size."""

MIN_TRANSMISSIONS = 2
"""Transmissions of an update in addition to those that grow with the fleet."""

TRANSMISSIONS_PER_DUPLICATE = 2
"""Number of transmissions that are dropped for each duplicate received from a peer."""

# Updates with a lower priority number are sent first.
_PRIORITY_LEAVING = 0
_PRIORITY_SUSPICION = 1
_PRIORITY_READY = 2


@dataclass(frozen=True, slots=True)
class _QueuedUpdate:
    """The priority and the remaining transmissions of an update."""

    priority: int
    transmissions: int


class UpdateQueue:
    """Updates to send, ordered by priority and then by most remaining transmissions.

    Parameters
    ----------
    table : RecordTable
        The table from which the content of an update is read when it is sent.
    """

    def __init__(self, table: RecordTable):
        self._table = table
        self._queued: dict[Endpoint | Bucket, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def add_record(self, record: Record, nodes: int) -> None:
        """Queue a whole record; the fleet has `nodes` balancers."""
        leaving = record.state is not AgentState.READY
        priority = _PRIORITY_LEAVING if leaving else _PRIORITY_READY
        self._queued.pop(record.endpoint, None)
        self._queued[record.endpoint] = _QueuedUpdate(
            priority, compute_transmissions(nodes)
        )

    def add_suspicion(self, bucket: Bucket, nodes: int) -> None:
        """Queue the suspicion counters of `bucket`; the fleet has `nodes` balancers."""
        self._queued.pop(bucket, None)
        self._queued[bucket] = _QueuedUpdate(
            _PRIORITY_SUSPICION, compute_transmissions(nodes)
        )

    def record_duplicate(self, subject: Endpoint | Bucket) -> None:
        """Reduce the transmissions of an update that a peer already knows."""
        queued = self._queued.get(subject)
        if queued is not None:
            self._count_down(subject, queued, TRANSMISSIONS_PER_DUPLICATE)

    def take(self, room_bytes: float) -> MembershipUpdate:
        """Return the updates that fit into `room_bytes` and count them as sent once."""
        records: list[Record] = []
        vectors: list[SuspicionVector] = []
        for subject, queued in self._sort_by_priority():
            update = self._read_content(subject)
            size_bytes = 0 if update is None else estimate_bytes(update)
            if size_bytes > room_bytes:
                break
            room_bytes -= size_bytes
            self._count_down(subject, queued, 1)
            if isinstance(update, SuspicionVector):
                vectors.append(update)
            elif update is not None:
                records.append(update)
        return make_updates(records, vectors)

    def _sort_by_priority(self) -> list[tuple[Endpoint | Bucket, _QueuedUpdate]]:
        return sorted(
            self._queued.items(),
            key=lambda item: (item[1].priority, -item[1].transmissions),
        )

    def _read_content(
        self, subject: Endpoint | Bucket
    ) -> Record | SuspicionVector | None:
        """Return the current record or suspicion vector, or None if it was removed."""
        if isinstance(subject, Bucket):
            return self._table.make_vector(subject)
        return self._table.get(subject)

    def _count_down(
        self, subject: Endpoint | Bucket, queued: _QueuedUpdate, count: int
    ) -> None:
        """Reduce the remaining transmissions, and remove the update at zero."""
        transmissions = queued.transmissions - count
        if transmissions <= 0:
            del self._queued[subject]
        else:
            self._queued[subject] = replace(queued, transmissions=transmissions)


def make_updates(
    records: list[Record], vectors: list[SuspicionVector] | None = None
) -> MembershipUpdate:
    """Return a gossip payload of whole records and suspicion vectors."""
    return MembershipUpdate(
        tuple(record for record in records if isinstance(record, AgentRecord)),
        tuple(record for record in records if isinstance(record, BalancerRecord)),
        tuple(vectors or ()),
    )


def estimate_bytes(update: Record | SuspicionVector) -> float:
    """Return the estimated size of a record or a vector in a datagram, in bytes."""
    if not isinstance(update, SuspicionVector):
        return RECORD_BYTES
    if len(set(update.counters)) <= 1:
        return VECTOR_BYTES
    return VECTOR_BYTES + VECTOR_MEMBER_BYTES * len(update.counters)


def compute_transmissions(nodes: int) -> int:
    """Return how often an update is sent in a fleet of `nodes` balancers."""
    return MIN_TRANSMISSIONS + math.ceil(TRANSMISSIONS_FACTOR * math.log(nodes + 1))
