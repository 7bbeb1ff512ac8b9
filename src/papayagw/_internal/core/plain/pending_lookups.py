"""Flows whose owner a balancer is looking for, with the packets that wait."""

from enum import Enum

from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import Ownership
from papayagw._internal.models.plain.packet import FlowKey, FlowPacket

REPLY_TIMEOUT_MS = Millis(40)
"""How long agents may take to answer before those that are unsure get the packets.

Several round trips between zones, and under the client's 200 ms.
"""

LOOKUP_RETRY_MS = Millis(150)
"""How long a flow without an owner isn't asked for again.

A little less than the client's shortest time between copies of a packet.
"""

CONFIRM_TIMEOUT_MS = Millis(700)
"""How long a read of the agents' entries may take before the search is given up.

One slow answer of the store, which usually takes milliseconds.
"""

MAX_LOOKUPS = 2_048
"""The most flows that are asked for at one time."""

MAX_HELD_PACKETS = 16
"""The most packets that wait for one owner: what a client has in flight at most."""

MAX_TRIAL_PACKETS = 2
"""The most packets of a flow that agents get which may not own it.

Both ends of a flow acknowledge every second packet, which tells the owner.
"""


class Stage(Enum):
    """How far a search has come."""

    ASKING = "asking"
    TRYING = "trying"
    """Agents that may own the flow get its packets, until one of them says so."""
    CONFIRMING = "confirming"
    """All agents that are known deny it; whether there are others is being read."""
    FAILED = "failed"


class PendingLookup:
    """The search for the owner of one flow."""

    __slots__ = (
        "_trial_count",
        "asked",
        "pending_agents",
        "flow",
        "last_packet",
        "packets",
        "stage",
        "candidates",
    )

    def __init__(self, packet: FlowPacket, pending_agents: set[Endpoint]):
        self.flow = packet.flow
        self.last_packet = packet
        self.asked = set(pending_agents)
        self.pending_agents = pending_agents
        self.candidates: set[Endpoint] = set()
        self.packets: list[FlowPacket] = []
        self.stage = Stage.ASKING
        self._trial_count = 0

    @property
    def is_denied(self) -> bool:
        """Whether every agent that was asked isn't the owner."""
        return not self.pending_agents and not self.candidates

    def hold(self, packet: FlowPacket) -> None:
        """Keep a packet until the owner is known."""
        self.last_packet = packet
        if len(self.packets) < MAX_HELD_PACKETS:
            self.packets.append(packet)

    def pop_trial_packets(self) -> list[FlowPacket]:
        """Return the packets that unsure agents are to get next."""
        start, self._trial_count = (
            self._trial_count,
            min(len(self.packets), MAX_TRIAL_PACKETS),
        )
        return self.packets[start : self._trial_count]

    def list_for_owner(self, owner: Endpoint) -> list[FlowPacket]:
        """Return the packets that the owner hasn't been given."""
        return self.packets[self._trial_count if owner in self.candidates else 0 :]

    def record_reply(self, agent: Endpoint, ownership: Ownership) -> None:
        """Note the answer of an agent that isn't known to be the owner."""
        self.pending_agents.discard(agent)
        if ownership is Ownership.UNKNOWN:
            self.candidates.add(agent)
        else:
            self.candidates.discard(agent)


class PendingLookups:
    """All searches in progress, and flows that were found to have no owner."""

    def __init__(self) -> None:
        self._lookups: dict[FlowKey, PendingLookup] = {}
        self._deadlines: DeadlineQueue[FlowKey] = DeadlineQueue()

    @property
    def due_at(self) -> Millis | None:
        """When the next search is due to go on or to be forgotten."""
        return self._deadlines.next_at

    def find(self, flow: FlowKey) -> PendingLookup | None:
        """Return the search for the owner of a flow, or None."""
        return self._lookups.get(flow)

    def begin(
        self, packet: FlowPacket, pending_agents: set[Endpoint], now: Millis
    ) -> PendingLookup | None:
        """Return a new search, or None if there are too many."""
        if len(self._lookups) >= MAX_LOOKUPS:
            return None
        lookup = self._lookups[packet.flow] = PendingLookup(packet, pending_agents)
        self._set_stage(lookup, Stage.ASKING, REPLY_TIMEOUT_MS, now)
        return lookup

    def ask_others(
        self, lookup: PendingLookup, others: set[Endpoint], now: Millis
    ) -> None:
        """Ask agents that weren't known before."""
        lookup.asked |= others
        lookup.pending_agents = set(others)
        self._set_stage(lookup, Stage.ASKING, REPLY_TIMEOUT_MS, now)

    def start_trial(self, lookup: PendingLookup, now: Millis) -> None:
        """Go on to agents that may be the owner."""
        stage = Stage.TRYING if lookup.candidates else Stage.FAILED
        self._set_stage(lookup, stage, LOOKUP_RETRY_MS, now)

    def confirm(self, lookup: PendingLookup, now: Millis) -> None:
        """Wait until the list of agents has been read."""
        self._set_stage(lookup, Stage.CONFIRMING, CONFIRM_TIMEOUT_MS, now)

    def list_confirming(self) -> list[PendingLookup]:
        """Return the searches that wait for a read of the agents' entries."""
        return [one for one in self._lookups.values() if one.stage is Stage.CONFIRMING]

    def end(self, flow: FlowKey) -> PendingLookup | None:
        """Drop a search and return it, or None if there was none."""
        self._deadlines.set(flow, None)
        return self._lookups.pop(flow, None)

    def pop_due(self, now: Millis) -> list[PendingLookup]:
        """Return the searches that go on; those that are over are forgotten."""
        due = [self._lookups[flow] for flow in self._deadlines.pop_due(now)]
        for one in due:
            if one.stage is not Stage.ASKING:
                del self._lookups[one.flow]
        return [one for one in due if one.stage is Stage.ASKING]

    def _set_stage(
        self, lookup: PendingLookup, stage: Stage, timeout: Millis, now: Millis
    ) -> None:
        lookup.stage = stage
        self._deadlines.set(lookup.flow, Millis(now + timeout))
