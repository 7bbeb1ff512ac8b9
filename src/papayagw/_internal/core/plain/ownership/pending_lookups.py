"""Owner lookups in progress, with the packets held for the owner."""

from enum import Enum

from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import Ownership
from papayagw._internal.models.plain.instance import AgentEntry
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket

REPLY_TIMEOUT_MS = Millis(40)
"""How long to wait for replies to owner queries.

Packets are then forwarded to possible owners.

Several round trips between zones, and below the client's retransmission timeout of
200 ms.
"""

LOOKUP_RETRY_MS = Millis(150)
"""How long a lookup is kept after its queries if no owner is confirmed.

The next packet of the flow then starts a new lookup.

Slightly below the client's shortest retransmission interval.
"""

CONFIRM_TIMEOUT_MS = Millis(700)
"""How long to wait for a read of the agents' entries before ending the lookup.

Allows for one slow response of the store, which usually responds within milliseconds.
"""

MAX_LOOKUPS = 2_048
"""Maximum number of lookups in progress."""

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
    """All known agents deny owning the flow; the list of agents is being read again."""
    FAILED = "failed"
    """No possible owner was found before the timeout."""


class PendingLookup:
    """The lookup of the owner of one flow.

    Parameters
    ----------
    packet : FlowPacket
        The client's packet that started the lookup.
    queried_agents : set of AgentEntry
        Agents that were queried, none of which has replied yet.

    Attributes
    ----------
    queried_agents : set of AgentEntry
        All agents queried so far. An endpoint may be given to another agent meanwhile,
        which must be queried too.
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
    """

    __slots__ = (
        "_returning_agents",
        "_trial_packet_count",
        "queried_agents",
        "pending_agents",
        "flow",
        "last_packet",
        "held_packets",
        "stage",
        "candidates",
        "unconfirmed",
    )

    def __init__(self, packet: FlowPacket, queried_agents: set[AgentEntry]):
        self.flow = packet.flow
        self.last_packet = packet
        self.queried_agents = queried_agents
        self.pending_agents = {entry.endpoint for entry in queried_agents}
        self.candidates: set[Endpoint] = set()
        self.unconfirmed: set[Endpoint] = set()
        self.held_packets: list[FlowPacket] = []
        self.stage = Stage.QUERYING
        self._trial_packet_count = 0
        self._returning_agents: set[Endpoint] = set()

    @property
    def is_denied(self) -> bool:
        """Whether every queried agent has replied that it doesn't own the flow."""
        return not self.pending_agents and not self.candidates

    def hold_packet(self, packet: FlowPacket) -> None:
        """Hold a packet until the owner is known; drop it if there are too many."""
        self.last_packet = packet
        if len(self.held_packets) < MAX_HELD_PACKETS:
            self.held_packets.append(packet)

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

    def record_reply(self, agent: Endpoint, ownership: Ownership) -> None:
        """Record that an agent denies owning the flow, or doesn't know."""
        self.pending_agents.discard(agent)
        self.candidates.discard(agent)
        self.unconfirmed.discard(agent)
        if ownership is Ownership.NOT_OWNER or agent in self._returning_agents:
            return
        self.candidates.add(agent)
        if ownership is Ownership.UNCONFIRMED:
            self.unconfirmed.add(agent)

    def record_return(self, agent: Endpoint) -> None:
        """Record that an agent returned a packet of the flow, so it isn't the owner.

        A later reply that it doesn't know whether it owns the flow is ignored.
        """
        self._returning_agents.add(agent)
        self.record_reply(agent, Ownership.NOT_OWNER)


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

    def begin(
        self, packet: FlowPacket, queried_agents: set[AgentEntry], now: Millis
    ) -> PendingLookup | None:
        """Start and return a lookup, or return None if there are too many."""
        if len(self._lookups) >= MAX_LOOKUPS:
            return None
        lookup = self._lookups[packet.flow] = PendingLookup(packet, queried_agents)
        self._set_stage(lookup, Stage.QUERYING, REPLY_TIMEOUT_MS, now)
        return lookup

    def query_others(
        self, lookup: PendingLookup, others: set[AgentEntry], now: Millis
    ) -> None:
        """Restart the wait for replies, with agents that weren't queried before."""
        lookup.queried_agents |= others
        lookup.pending_agents = {entry.endpoint for entry in others}
        self._set_stage(lookup, Stage.QUERYING, REPLY_TIMEOUT_MS, now)

    def finish_querying(self, lookup: PendingLookup, now: Millis) -> None:
        """Try the possible owners if there are any, else mark the lookup as failed."""
        stage = Stage.TRYING if lookup.candidates else Stage.FAILED
        self._set_stage(lookup, stage, LOOKUP_RETRY_MS, now)

    def start_confirming(self, lookup: PendingLookup, now: Millis) -> None:
        """Wait until the list of agents has been read again."""
        self._set_stage(lookup, Stage.CONFIRMING, CONFIRM_TIMEOUT_MS, now)

    def list_confirming(self) -> list[PendingLookup]:
        """Return the lookups that wait for a new list of agents."""
        return [
            lookup
            for lookup in self._lookups.values()
            if lookup.stage is Stage.CONFIRMING
        ]

    def end(self, flow: FlowKey) -> PendingLookup | None:
        """Remove and return a lookup, or return None if there is none."""
        self._deadlines.set(flow, None)
        return self._lookups.pop(flow, None)

    def pop_due(self, now: Millis) -> list[PendingLookup]:
        """Return the lookups with overdue replies.

        Lookups whose time ran out in a later stage are removed.
        """
        due = [self._lookups[flow] for flow in self._deadlines.pop_due(now)]
        for lookup in due:
            if lookup.stage is not Stage.QUERYING:
                del self._lookups[lookup.flow]
        return [lookup for lookup in due if lookup.stage is Stage.QUERYING]

    def _set_stage(
        self, lookup: PendingLookup, stage: Stage, timeout: Millis, now: Millis
    ) -> None:
        """Enter a stage and restart the lookup's timeout."""
        lookup.stage = stage
        self._deadlines.set(lookup.flow, Millis(now + timeout))
