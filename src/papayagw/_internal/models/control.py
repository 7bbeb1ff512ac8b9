"""Control messages that balancers and agents exchange, and their destinations."""

from dataclasses import dataclass
from enum import IntEnum

from papayagw._internal.models.agent import AgentRecord, AgentState, Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

Fingerprint = int
"""A 32-bit hash of a complete record."""


@dataclass(frozen=True, slots=True)
class BalancerRecord:
    """Membership record of a balancer.

    Attributes
    ----------
    endpoint : Endpoint
        The inner endpoint, which receives control messages.
    incarnation : Incarnation
        The incarnation of the balancer's process.
    zone : str
        The availability zone of the balancer.
    sequence : int
        Incremented when this incarnation leaves, or refutes a record that says it
        is gone.
    state : AgentState
        READY or GONE.
    suspicion : int
        Incremented when the balancer is suspected to have failed and again when it
        refutes that, so it is odd while the balancer is suspected.
    """

    endpoint: Endpoint
    incarnation: Incarnation
    zone: str
    sequence: int = 1
    state: AgentState = AgentState.READY
    suspicion: int = 0

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Sort key by which the newer of two records of one endpoint is found."""
        return (self.incarnation, self.sequence, self.state, self.suspicion)

    @property
    def is_suspected(self) -> bool:
        """Whether the balancer is suspected because it did not answer probes."""
        return self.suspicion % 2 == 1


Record = AgentRecord | BalancerRecord


@dataclass(frozen=True, slots=True)
class Announcement:
    """Announces the record of an agent; each announcement is acknowledged.

    Attributes
    ----------
    record : AgentRecord
        The record of the sending agent.
    """

    record: AgentRecord


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat from an agent to one of the balancers that watch it.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint of the agent.
    incarnation : Incarnation
        The incarnation of the agent.
    sequence : int
        The sequence number of the agent's latest record.
    heartbeat_number : int
        Incremented with each heartbeat, so that delayed or replayed heartbeats are
        ignored.
    siblings_digest : int
        The `siblings_digest` of the last acknowledgement that listed siblings.
    """

    endpoint: Endpoint
    incarnation: Incarnation
    sequence: int
    heartbeat_number: int
    siblings_digest: int = 0


KEEP_INTERVAL_MS = Millis(0)
"""Interval sent by a balancer that doesn't know the fleet yet: keep the current one."""


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A balancer's reply to an announcement or a heartbeat.

    Attributes
    ----------
    incarnation : Incarnation
        The agent's incarnation in the balancer's record; 0 for an unknown agent.
    sequence : int
        The sequence number of the balancer's record of the agent.
    state : AgentState
        The state of the agent in the balancer's record.
    watchers : tuple of Endpoint
        The balancers to which the agent must send heartbeats.
    interval_ms : Millis
        The interval between heartbeats, or `KEEP_INTERVAL_MS`.
    siblings : tuple of AgentRecord
        A few other agents of the service; empty if unchanged since the last
        acknowledgement.
    siblings_digest : int
        Digest of `siblings`, which the agent's later heartbeats echo.
    configuration_version : int
        The configuration version of the balancer.
    """

    incarnation: Incarnation
    sequence: int
    state: AgentState
    watchers: tuple[Endpoint, ...]
    interval_ms: Millis
    siblings: tuple[AgentRecord, ...] = ()
    siblings_digest: int = 0
    configuration_version: int = 0


@dataclass(frozen=True, slots=True)
class Join:
    """A balancer's request to join the membership; the reply is a gossip message.

    Attributes
    ----------
    record : BalancerRecord
        The record of the sending balancer.
    """

    record: BalancerRecord


class GossipKind(IntEnum):
    """The role of a gossip message, which carries membership updates in any case."""

    UPDATE = 0
    PROBE = 1
    REPLY = 2


AGENT_BUCKETS = 16
"""Number of buckets into which the agents of a zone are divided."""

BALANCER_BUCKET = AGENT_BUCKETS
"""Number of the bucket with the balancers of a zone.

They have their own bucket so that balancers joining or leaving don't change the
buckets of agents.
"""

BUCKETS_PER_ZONE = AGENT_BUCKETS + 1
"""Number of buckets of a zone: those of the agents and that of the balancers."""


@dataclass(frozen=True, slots=True, order=True)
class Bucket:
    """A subset of the records of one zone, which peers compare by its digest.

    A hash of the endpoint selects the bucket of an agent. The balancers of the zone
    are all in `BALANCER_BUCKET`.

    Attributes
    ----------
    zone : str
        The availability zone.
    number : int
        The number of the bucket, 0 to `BUCKETS_PER_ZONE` - 1.
    """

    zone: str
    number: int


SUSPICION_MODULUS = 16
"""Suspicion counters are sent modulo this number."""


@dataclass(frozen=True, slots=True)
class SuspicionVector:
    """The suspicion counters of a bucket, with 4 bits for each record.

    Attributes
    ----------
    bucket : Bucket
        The bucket.
    index_digest : int
        Digest of the endpoint, incarnation and sequence number of each record. The
        vector can only be applied by a node that holds the same records.
    counters : tuple of int
        The suspicion of each record modulo `SUSPICION_MODULUS`, in ascending order
        of the endpoints.
    """

    bucket: Bucket
    index_digest: int
    counters: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """Membership changes, limited to what fits into one datagram.

    Attributes
    ----------
    agents : tuple of AgentRecord
        Complete records of agents.
    balancers : tuple of BalancerRecord
        Complete records of balancers.
    vectors : tuple of SuspicionVector
        Changes of suspicion counters.
    """

    agents: tuple[AgentRecord, ...] = ()
    balancers: tuple[BalancerRecord, ...] = ()
    vectors: tuple[SuspicionVector, ...] = ()

    @property
    def records(self) -> tuple[Record, ...]:
        """The complete records of balancers and agents."""
        return (*self.balancers, *self.agents)


EMPTY_UPDATE = MembershipUpdate()


@dataclass(frozen=True, slots=True)
class Gossip:
    """The message that balancers exchange periodically to spread changes.

    Attributes
    ----------
    kind : GossipKind
        Whether the message probes the receiver, replies to a probe, or neither.
    number : int
        Matches a reply to its probe.
    digest : int
        Digest of all records that the sender holds; 0 from a node that is still
        synchronising and requests the records that it needs itself.
    configuration_version : int
        The configuration version of the sender.
    update : MembershipUpdate
        Changes that the sender received recently.
    """

    kind: GossipKind
    number: int
    digest: int
    configuration_version: int
    update: MembershipUpdate = EMPTY_UPDATE


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """The digests of the sender's buckets, by which the receiver finds differing ones.

    Attributes
    ----------
    zones : tuple of str
        The zones of the buckets.
    digests : tuple of int
        `BUCKETS_PER_ZONE` digests for each zone, in the order of `zones`.
    complete : bool
        Whether the sender holds no records of zones other than `zones`.
    """

    zones: tuple[str, ...]
    digests: tuple[int, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True)
class BucketSummary:
    """The fingerprints of the records that the sender holds in one bucket.

    Attributes
    ----------
    bucket : Bucket
        The bucket.
    fingerprints : tuple of Fingerprint
        One for each record. The receiver sends the records that are not listed and
        requests the listed ones that it doesn't hold.
    """

    bucket: Bucket
    fingerprints: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Requests complete records.

    Attributes
    ----------
    fingerprints : tuple of Fingerprint
        Fingerprints from a `BucketSummary` of the receiver.
    """

    fingerprints: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True)
class MissingRecords:
    """Complete records that the receiver lacks; they aren't gossiped further.

    Attributes
    ----------
    update : MembershipUpdate
        The records.
    """

    update: MembershipUpdate


@dataclass(frozen=True, slots=True)
class LivenessRequest:
    """Asks a balancer whether it has heard from an unresponsive node.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint of the unresponsive node.
    incarnation : Incarnation
        The incarnation of the node.
    """

    endpoint: Endpoint
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LivenessResponse:
    """Replies to a liveness request when the node was heard from.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint of the node.
    incarnation : Incarnation
        The incarnation of the node.
    heartbeat_number : int
        The number of the last heartbeat received; 0 for a balancer.
    age_ms : Millis
        The time since the node was last heard from.
    """

    endpoint: Endpoint
    incarnation: Incarnation
    heartbeat_number: int
    age_ms: Millis = Millis(0)


ControlMessage = (
    Announcement
    | Heartbeat
    | Acknowledgement
    | Join
    | Gossip
    | BucketDigests
    | BucketSummary
    | RecordRequest
    | MissingRecords
    | LivenessRequest
    | LivenessResponse
)


@dataclass(frozen=True, slots=True)
class Send:
    """A control message to send.

    Attributes
    ----------
    destination : Endpoint
        The receiver.
    message : ControlMessage
        The message.
    """

    destination: Endpoint
    message: ControlMessage
