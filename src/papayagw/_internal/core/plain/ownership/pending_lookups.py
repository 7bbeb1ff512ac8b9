"""Owner lookups, with the packets held for the owner and the agents' denials."""

from collections.abc import Collection
from enum import Enum

from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import Ownership
from papayagw._internal.models.plain.instance import AgentEntry
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket

REPLY_TIMEOUT_MS = Millis(40)
"""How long to wait for replies to owner queries.

Packets are then forwarded to possible owners. Later replies still count.

Several round trips between zones, and below the client's retransmission timeout of
200 ms.
"""

LOOKUP_RETRY_MS = Millis(150)
"""Time after its queries from which a lookup without an owner queries again.

The next packet of the flow then causes queries to the agents that haven't denied it.

Slightly below the client's shortest retransmission interval.
"""

LOOKUP_VALIDITY_MS = Millis(4_000)
"""How long a lookup is kept after the last packet of its flow.

More than two of the clients' longest retransmission intervals of 1.6 s, so that the
denials of a flow whose client still waits outlast one lost packet.
"""

MAX_LOOKUPS = 2_048
"""Maximum number of lookups; beyond it, the oldest that has no reply due is dropped."""

MAX_HELD_PACKETS = 16
"""Maximum number of packets held per lookup: the most a client has in flight."""

MAX_TRIAL_PACKETS = 2
"""Maximum number of packets of a flow forwarded before its owner is confirmed.

Both ends of a flow acknowledge every second packet, and the acknowledgement reveals the
owner.
"""


class Stage(Enum):
    """Stage of an owner lookup."""

    QUERYING = "querying"
    """Waiting for the agents' replies."""
    TRYING = "trying"
    """Forwarding packets to possible owners until one confirms ownership."""
    CONFIRMING = "confirming"
    """All known agents deny owning the flow; the list of agents isn't certain yet."""
    FAILED = "failed"
    """No possible owner was found before the timeout."""


class PendingLookup:
    """The lookup of the owner of one flow.

    An agent that denied the flow isn't queried again: a flow that exists is never given
    to another backend server.

    Parameters
    ----------
    packet : FlowPacket
        The client's packet that started the lookup.
    now : Millis
        Time at which it arrived.

    Attributes
    ----------
    queried_agents : frozenset of AgentEntry
        All agents queried so far, or known to deny the flow. An endpoint may be given
        to another agent meanwhile, which must be queried too.
    pending_agents : set of Endpoint
        Agents that haven't replied yet.
    candidates : set of Endpoint
        Agents that replied that they may own the flow.
    unconfirmed : set of Endpoint
        Those of `candidates` that own it only if their wall clocks were set back.
    held_packets : list of FlowPacket
        Packets of the flow, held until the owner is known.
    last_packet : FlowPacket
        The flow's latest packet.
    began_at : Millis
        When the flow's first packet arrived.
    seen_at : Millis
        When the flow's latest packet arrived.
    queried_at : Millis
        When the agents were queried last.
    is_listed : bool
        Whether the list of agents was read since the last denial, and showed no agent
        that wasn't queried.
    """

    __slots__ = (
        "_acknowledged",
        "_trial_packet_count",
        "began_at",
        "candidates",
        "flow",
        "held_packets",
        "is_listed",
        "last_packet",
        "pending_agents",
        "queried_agents",
        "queried_at",
        "seen_at",
        "stage",
        "unconfirmed",
    )

    def __init__(self, packet: FlowPacket, now: Millis):
        self.flow = packet.flow
        self.last_packet = packet
        self.began_at = self.seen_at = self.queried_at = now
        self.queried_agents: frozenset[AgentEntry] = frozenset()
        self.pending_agents: set[Endpoint] = set()
        self.candidates: set[Endpoint] = set()
        self.unconfirmed: set[Endpoint] = set()
        self.held_packets: list[FlowPacket] = []
        self.stage = Stage.QUERYING
        self.is_listed = False
        self._acknowledged = packet.acknowledged
        self._trial_packet_count = 0

    @property
    def is_denied(self) -> bool:
        """Whether every queried agent has replied that it doesn't own the flow."""
        return not self.pending_agents and not self.candidates

    def may_query_again(self, now: Millis) -> bool:
        """Return whether agents that haven't denied the flow may be queried again."""
        return (
            self.stage in (Stage.TRYING, Stage.FAILED)
            and now - self.queried_at >= LOOKUP_RETRY_MS
        )

    def is_outdated_by(self, packet: FlowPacket, now: Millis) -> bool:
        """Return whether the denials so far may not hold for a packet.

        With another acknowledgement number it may be of a later flow from the same
        port, unless it follows the queries at once.
        """
        if packet.acknowledged == self._acknowledged:
            return False
        return self.stage is Stage.CONFIRMING or self.may_query_again(now)

    def hold_packet(self, packet: FlowPacket) -> None:
        """Hold a packet until the owner is known; drop it if there are too many."""
        self.last_packet = packet
        if len(self.held_packets) < MAX_HELD_PACKETS:
            self.held_packets.append(packet)

    def release_packets(self) -> None:
        """Drop the held packets, before their flow is looked up again."""
        self.held_packets = []
        self._trial_packet_count = 0

    def next_trial_packets(self) -> list[FlowPacket]:
        """Return the held packets that possible owners haven't received yet.

        Possible owners receive at most `MAX_TRIAL_PACKETS` in all.
        """
        start, self._trial_packet_count = (
            self._trial_packet_count,
            min(len(self.held_packets), MAX_TRIAL_PACKETS),
        )
        return self.held_packets[start : self._trial_packet_count]

    def list_packets_for_owner(self, owner: Endpoint) -> list[FlowPacket]:
        """Return the held packets that `owner` hasn't received yet."""
        return self.held_packets[
            self._trial_packet_count if owner in self.candidates else 0 :
        ]

    def record_reply(self, agent: Endpoint, ownership: Ownership) -> bool:
        """Record that an agent denies owning the flow, or doesn't know.

        Return False if that changes nothing: an agent that has denied the flow, or
        returned a packet of it, isn't the owner, whatever a late reply says.
        """
        if agent in self.pending_agents:
            self.pending_agents.discard(agent)
            if ownership is not Ownership.NOT_OWNER:
                self.candidates.add(agent)
            if ownership is Ownership.UNCONFIRMED:
                self.unconfirmed.add(agent)
            return True
        if agent in self.candidates and ownership is Ownership.NOT_OWNER:
            self._remove_candidate(agent)
            return True
        return False

    def record_return(self, agent: Endpoint) -> None:
        """Record that an agent returned a packet of the flow, so it isn't the owner."""
        self.pending_agents.discard(agent)
        self._remove_candidate(agent)

    def _remove_candidate(self, agent: Endpoint) -> None:
        """Record that an agent that may own the flow doesn't."""
        self.candidates.discard(agent)
        self.unconfirmed.discard(agent)


class PendingLookups:
    """The lookups in progress, and recent ones that found no owner."""

    def __init__(self) -> None:
        self._lookups: dict[FlowKey, PendingLookup] = {}
        self._deadlines: DeadlineQueue[FlowKey] = DeadlineQueue()

    @property
    def due_at(self) -> Millis | None:
        """Time of the next timeout of a lookup; None if there is none."""
        return self._deadlines.next_at

    def find(self, flow: FlowKey) -> PendingLookup | None:
        """Return the lookup of a flow's owner, or None."""
        return self._lookups.get(flow)

    def begin(self, packet: FlowPacket, now: Millis) -> PendingLookup | None:
        """Start and return a lookup, or return None if there are too many."""
        if len(self._lookups) >= MAX_LOOKUPS and not self._drop_oldest(now):
            return None
        lookup = self._lookups[packet.flow] = PendingLookup(packet, now)
        return lookup

    def query(
        self,
        lookup: PendingLookup,
        entries: Collection[AgentEntry],
        sent_at: Millis,
    ) -> None:
        """Enter the stage of querying, and wait for replies of the given agents only.

        Parameters
        ----------
        lookup : PendingLookup
            The lookup.
        entries : collection of AgentEntry
            Agents that haven't denied the flow.
        sent_at : Millis
            Time at which the queries are sent.
        """
        lookup.queried_agents |= frozenset(entries)
        lookup.pending_agents = {entry.endpoint for entry in entries}
        lookup.candidates = set()
        lookup.unconfirmed = set()
        lookup.stage = Stage.QUERYING
        self.restart_wait(lookup, sent_at)

    def restart_wait(self, lookup: PendingLookup, sent_at: Millis) -> None:
        """Wait for replies to queries that are sent at `sent_at`."""
        lookup.queried_at = sent_at
        self._deadlines.set(lookup.flow, Millis(sent_at + REPLY_TIMEOUT_MS))

    def finish_querying(self, lookup: PendingLookup) -> None:
        """Try the possible owners if there are any, else mark the lookup as failed."""
        self._set_stage(lookup, Stage.TRYING if lookup.candidates else Stage.FAILED)

    def start_confirming(self, lookup: PendingLookup) -> None:
        """Wait until the list of agents is certain."""
        lookup.is_listed = False
        # A set keeps the memory of the elements that were removed.
        lookup.pending_agents = set()
        self._set_stage(lookup, Stage.CONFIRMING)

    def list_in(self, stage: Stage) -> list[PendingLookup]:
        """Return the lookups in a stage."""
        return [one for one in self._lookups.values() if one.stage is stage]

    def end(self, flow: FlowKey) -> PendingLookup | None:
        """Remove and return a lookup, or return None if there is none."""
        self._deadlines.set(flow, None)
        return self._lookups.pop(flow, None)

    def pop_due(self, now: Millis) -> list[PendingLookup]:
        """Return the lookups with overdue replies.

        In a later stage, a lookup whose flow had no packet for `LOOKUP_VALIDITY_MS` is
        removed.
        """
        overdue = []
        for flow in self._deadlines.pop_due(now):
            lookup = self._lookups[flow]
            expires_at = Millis(lookup.seen_at + LOOKUP_VALIDITY_MS)
            if lookup.stage is Stage.QUERYING:
                overdue.append(lookup)
            elif now < expires_at:
                self._deadlines.set(flow, expires_at)
            else:
                del self._lookups[flow]
        return overdue

    def _drop_oldest(self, now: Millis) -> bool:
        """Remove the oldest lookup that waits for no reply; return whether one did."""
        for flow, lookup in self._lookups.items():
            if (
                lookup.stage is not Stage.QUERYING
                and now - lookup.queried_at >= LOOKUP_RETRY_MS
            ):
                self.end(flow)
                return True
        return False

    def _set_stage(self, lookup: PendingLookup, stage: Stage) -> None:
        """Enter a stage after the queries, and keep the lookup while it is valid."""
        lookup.stage = stage
        self._deadlines.set(lookup.flow, Millis(lookup.seen_at + LOOKUP_VALIDITY_MS))
