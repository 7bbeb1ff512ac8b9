"""The changes that a balancer still has to tell others about.

Each change is told a number of times that grows with the logarithm of the fleet;
hearing it from somebody else counts as one of them (rumour mongering with feedback
and counter, Demers et al. 1987). What hasn't reached a node then is repaired by
comparing digests.
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
"""What a whole record costs in a datagram, in bytes."""

VECTOR_BYTES = 22
"""What an empty suspicion vector costs in a datagram, in bytes."""

VECTOR_MEMBER_BYTES = 0.6
"""What one record adds to a suspicion vector, in bytes."""

COPIES_FACTOR = 1.0
"""How many times the logarithm of the fleet's size a change is told."""

MIN_COPIES = 2

HEARD_COPIES = 2
"""How much hearing a change again counts against telling it once more."""

_URGENCY_LEAVING = 0
_URGENCY_SUSPICION = 1
_URGENCY_READY = 2


@dataclass(frozen=True, slots=True)
class _Rumour:
    """A change and how often it is still to be told."""

    urgency: int
    copies: int


class NewsQueue:
    """Changes to tell, the most urgent and least told ones first.

    Parameters
    ----------
    table : RecordTable
        Where the changes are read from when they are told.
    """

    def __init__(self, table: RecordTable):
        self._table = table
        self._rumours: dict[Endpoint | Bucket, _Rumour] = {}

    def __len__(self) -> int:
        return len(self._rumours)

    def add_record(self, record: Record, nodes: int) -> None:
        """Tell of a whole record in a fleet of `nodes` balancers."""
        leaving = record.state is not AgentState.READY
        urgency = _URGENCY_LEAVING if leaving else _URGENCY_READY
        self._rumours.pop(record.endpoint, None)
        self._rumours[record.endpoint] = _Rumour(urgency, compute_copies(nodes))

    def add_suspicion(self, bucket: Bucket, nodes: int) -> None:
        """Tell of a suspicion or a refutation in `bucket`."""
        self._rumours.pop(bucket, None)
        self._rumours[bucket] = _Rumour(_URGENCY_SUSPICION, compute_copies(nodes))

    def note_heard(self, subject: Endpoint | Bucket) -> None:
        """Note that somebody told what this node knows already."""
        rumour = self._rumours.get(subject)
        if rumour is not None:
            self._count_down(subject, rumour, HEARD_COPIES)

    def take(self, room_bytes: float) -> MembershipUpdate:
        """Return what fits into `room_bytes`, counted as told once."""
        records: list[Record] = []
        vectors: list[SuspicionVector] = []
        for subject, rumour in self._sort():
            told = self._read(subject)
            size_bytes = 0 if told is None else estimate_bytes(told)
            if size_bytes > room_bytes:
                break
            room_bytes -= size_bytes
            self._count_down(subject, rumour, 1)
            if isinstance(told, SuspicionVector):
                vectors.append(told)
            elif told is not None:
                records.append(told)
        return make_news(records, vectors)

    def _sort(self) -> list[tuple[Endpoint | Bucket, _Rumour]]:
        return sorted(
            self._rumours.items(), key=lambda item: (item[1].urgency, -item[1].copies)
        )

    def _read(self, subject: Endpoint | Bucket) -> Record | SuspicionVector | None:
        if isinstance(subject, Bucket):
            return self._table.make_vector(subject)
        return self._table.get(subject)

    def _count_down(
        self, subject: Endpoint | Bucket, rumour: _Rumour, count: int
    ) -> None:
        copies = rumour.copies - count
        if copies <= 0:
            del self._rumours[subject]
        else:
            self._rumours[subject] = replace(rumour, copies=copies)


def make_news(
    records: list[Record], vectors: list[SuspicionVector] | None = None
) -> MembershipUpdate:
    """Return news of whole records and suspicion vectors."""
    return MembershipUpdate(
        tuple(record for record in records if isinstance(record, AgentRecord)),
        tuple(record for record in records if isinstance(record, BalancerRecord)),
        tuple(vectors or ()),
    )


def estimate_bytes(told: Record | SuspicionVector) -> float:
    """Return what a record or a vector costs in a datagram, in bytes."""
    if not isinstance(told, SuspicionVector):
        return RECORD_BYTES
    if len(set(told.counters)) <= 1:
        return VECTOR_BYTES
    return VECTOR_BYTES + VECTOR_MEMBER_BYTES * len(told.counters)


def compute_copies(nodes: int) -> int:
    """Return how often a change is told in a fleet of `nodes` balancers."""
    return MIN_COPIES + math.ceil(COPIES_FACTOR * math.log(nodes + 1))
