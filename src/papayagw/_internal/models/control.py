"""The control messages between balancers and agents, and who sends them where."""

from dataclasses import dataclass
from enum import IntEnum

from papayagw._internal.models.agent import AgentRecord, AgentState, Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

Fingerprint = int
"""The 32-bit hash of a whole record."""


@dataclass(frozen=True, slots=True)
class BalancerRecord:
    """What the balancers know of one another.

    Attributes
    ----------
    endpoint : Endpoint
        The inner endpoint, where control messages arrive.
    incarnation : Incarnation
        The run of the balancer.
    zone : str
        Its availability zone.
    sequence : int
        Rises when this incarnation takes back that it is gone.
    state : AgentState
        READY or GONE.
    suspicion : int
        How often it was suspected dead and refuted that; odd while it is under
        suspicion.
    """

    endpoint: Endpoint
    incarnation: Incarnation
    zone: str
    sequence: int = 1
    state: AgentState = AgentState.READY
    suspicion: int = 0

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """What decides which of two records of one endpoint is the newer."""
        return (self.incarnation, self.sequence, self.state, self.suspicion)

    @property
    def is_suspected(self) -> bool:
        """Whether it left probes unanswered."""
        return self.suspicion % 2 == 1


Record = AgentRecord | BalancerRecord


@dataclass(frozen=True, slots=True)
class Announcement:
    """An agent tells its record; each one is acknowledged.

    Attributes
    ----------
    record : AgentRecord
        The agent's own record.
    """

    record: AgentRecord


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life of an agent to one of its watchers.

    Attributes
    ----------
    endpoint : Endpoint
        The agent.
    incarnation : Incarnation
        Its run.
    sequence : int
        The sequence of its last change.
    heartbeat_number : int
        Rises with each heartbeat, so that a late or replayed one counts for
        nothing.
    siblings_digest : int
        What the last acknowledgement with siblings said.
    """

    endpoint: Endpoint
    incarnation: Incarnation
    sequence: int
    heartbeat_number: int
    siblings_digest: int = 0


KEEP_INTERVAL_MS = Millis(0)
"""Told by a balancer that doesn't know the fleet yet: the interval stays."""


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A balancer's answer to an announcement or a heartbeat.

    Attributes
    ----------
    incarnation : Incarnation
        The run of the agent that the balancer knows; 0 for an unknown agent.
    sequence : int
        The last change that the balancer knows.
    state : AgentState
        What the balancer believes of the agent.
    watchers : tuple of Endpoint
        The balancers to which the agent sends its heartbeats.
    interval_ms : Millis
        The time between two heartbeats, or `KEEP_INTERVAL_MS`.
    siblings : tuple of AgentRecord
        Other agents of the service, at most a few; empty when unchanged.
    siblings_digest : int
        Stands for `siblings` in the heartbeats that follow.
    configuration_version : int
        The version that the balancer holds.
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
    """A balancer makes itself known; the answer is a gossip message.

    Attributes
    ----------
    record : BalancerRecord
        The balancer's own record.
    """

    record: BalancerRecord


class GossipKind(IntEnum):
    """What a gossip message is besides a carrier of news."""

    UPDATE = 0
    PROBE = 1
    REPLY = 2


AGENT_BUCKETS = 16
"""Into how many buckets the agents of a zone are divided."""

BALANCER_BUCKET = AGENT_BUCKETS
"""The number of the bucket of a zone's balancers, so that their coming and going
doesn't change the buckets of agents."""

BUCKETS_PER_ZONE = AGENT_BUCKETS + 1


@dataclass(frozen=True, slots=True, order=True)
class Bucket:
    """A share of the records of one zone, by a hash of their endpoints.

    Attributes
    ----------
    zone : str
        The zone.
    number : int
        0 to `BUCKETS_PER_ZONE` - 1.
    """

    zone: str
    number: int


SUSPICION_MODULUS = 16
"""Suspicion counters travel modulo this number."""


@dataclass(frozen=True, slots=True)
class SuspicionVector:
    """Who of a bucket is under suspicion, in half a byte for each record.

    Attributes
    ----------
    bucket : Bucket
        The bucket.
    index_digest : int
        Over endpoint, incarnation and sequence of its records: the vector is of
        use only to a node that holds the same ones.
    counters : tuple of int
        The suspicion of each record modulo `SUSPICION_MODULUS`, by rising endpoint.
    """

    bucket: Bucket
    index_digest: int
    counters: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """Changes of the membership, at most as many as fit a datagram.

    Attributes
    ----------
    agents : tuple of AgentRecord
        Whole records of agents.
    balancers : tuple of BalancerRecord
        Whole records of balancers.
    vectors : tuple of SuspicionVector
        Suspicions and refutations.
    """

    agents: tuple[AgentRecord, ...] = ()
    balancers: tuple[BalancerRecord, ...] = ()
    vectors: tuple[SuspicionVector, ...] = ()

    @property
    def records(self) -> tuple[Record, ...]:
        """The whole records of both kinds."""
        return (*self.balancers, *self.agents)


EMPTY_UPDATE = MembershipUpdate()


@dataclass(frozen=True, slots=True)
class Gossip:
    """What balancers exchange all the time.

    Attributes
    ----------
    kind : GossipKind
        Whether it probes the receiver, answers a probe, or neither.
    number : int
        Binds an answer to its probe.
    digest : int
        Over all records that the sender holds; 0 from a node that is catching up
        and asks for what it needs by itself.
    configuration_version : int
        The version that the sender holds.
    update : MembershipUpdate
        Changes that the sender has heard of lately.
    """

    kind: GossipKind
    number: int
    digest: int
    configuration_version: int
    update: MembershipUpdate = EMPTY_UPDATE


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """The digest of each bucket of the sender's records.

    Attributes
    ----------
    zones : tuple of str
        The zones of the buckets.
    digests : tuple of int
        `BUCKETS_PER_ZONE` for each zone, in the order of `zones`.
    complete : bool
        Whether the sender holds nothing of other zones.
    """

    zones: tuple[str, ...]
    digests: tuple[int, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True)
class BucketSummary:
    """The records that the sender holds in one bucket.

    Attributes
    ----------
    bucket : Bucket
        The bucket.
    fingerprints : tuple of Fingerprint
        One for each record; the receiver sends what is missing here, and asks
        for what it misses itself.
    """

    bucket: Bucket
    fingerprints: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Asks for whole records.

    Attributes
    ----------
    fingerprints : tuple of Fingerprint
        Records of which the receiver told.
    """

    fingerprints: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True)
class RecordResponse:
    """Whole records that the receiver misses; they aren't spread further.

    Attributes
    ----------
    update : MembershipUpdate
        The records.
    """

    update: MembershipUpdate


@dataclass(frozen=True, slots=True)
class LivenessRequest:
    """Asks whether a silent node is alive.

    Attributes
    ----------
    endpoint : Endpoint
        The silent node.
    incarnation : Incarnation
        Its run.
    """

    endpoint: Endpoint
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LivenessResponse:
    """Answers an inquiry: the node was heard.

    Attributes
    ----------
    endpoint : Endpoint
        The node.
    incarnation : Incarnation
        Its run.
    heartbeat_number : int
        The last heartbeat that was heard; 0 for a balancer.
    age_ms : Millis
        How long ago that was.
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
    | RecordResponse
    | LivenessRequest
    | LivenessResponse
)


@dataclass(frozen=True, slots=True)
class Send:
    """A control message for the socket to send.

    Attributes
    ----------
    destination : Endpoint
        Where it goes.
    message : ControlMessage
        What it says.
    """

    destination: Endpoint
    message: ControlMessage
