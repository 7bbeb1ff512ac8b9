"""A balancer's view of the fleet, and the updates that follow from its changes."""

from dataclasses import replace

from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.gossip_queue import UpdateQueue
from papayagw._internal.core.gossip_table import (
    MergeOutcome,
    RecordTable,
    find_bucket,
)
from papayagw._internal.core.rendezvous import Rendezvous
from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import BalancerRecord, Record, SuspicionVector
from papayagw._internal.models.endpoint import Endpoint

WATCHERS_PER_AGENT = 3
"""Number of balancers that watch an agent."""


class Fleet:
    """The records of all nodes, and the updates still to be sent by gossip.

    Parameters
    ----------
    own : BalancerRecord
        The record of this balancer.
    directory : AgentDirectory
        The directory that is updated with the known agents.
    """

    def __init__(self, own: BalancerRecord, directory: AgentDirectory):
        self._own = own
        self._table = RecordTable(directory)
        self._table.merge(own, Millis(0))
        self._updates = UpdateQueue(self._table)
        self._superseded = False
        self._balancers_version = -1
        self._peers: tuple[Endpoint, ...] = ()
        self._reachable: tuple[Endpoint, ...] = ()
        self._suspected: tuple[BalancerRecord, ...] = ()
        self._rendezvous = Rendezvous(())

    @property
    def own(self) -> BalancerRecord:
        """The balancer's own record."""
        return self._own

    @property
    def table(self) -> RecordTable:
        """The table of all records."""
        return self._table

    @property
    def updates(self) -> UpdateQueue:
        """The updates still to be sent by gossip."""
        return self._updates

    @property
    def superseded(self) -> bool:
        """Whether a later process or an agent has taken over this node's endpoint."""
        return self._superseded

    @property
    def peers(self) -> tuple[Endpoint, ...]:
        """The other balancers that aren't gone, including suspected ones."""
        self._refresh_balancers()
        return self._peers

    @property
    def reachable(self) -> tuple[Endpoint, ...]:
        """The other balancers that are neither gone nor suspected."""
        self._refresh_balancers()
        return self._reachable

    @property
    def suspected(self) -> tuple[BalancerRecord, ...]:
        """The other balancers under suspicion."""
        self._refresh_balancers()
        return self._suspected

    @property
    def balancer_count(self) -> int:
        """The number of balancers that aren't gone, including this one."""
        return len(self.peers) + 1

    def list_watchers(self, agent: Endpoint) -> tuple[Endpoint, ...]:
        """Return the balancers that watch an agent."""
        self._refresh_balancers()
        return self._rendezvous.choose(str(agent), WATCHERS_PER_AGENT)

    def is_watcher(self, agent: Endpoint) -> bool:
        """Return whether this balancer watches an agent."""
        return self._own.endpoint in self.list_watchers(agent)

    def merge(self, record: Record, now: Millis) -> MergeOutcome:
        """Merge a record and queue it for gossip if it is newer."""
        outcome = self.merge_without_gossip(record, now)
        if outcome is MergeOutcome.NEWER:
            self._updates.add_record(record, self.balancer_count)
        elif outcome is MergeOutcome.KNOWN:
            self._updates.record_duplicate(record.endpoint)
        return outcome

    def merge_without_gossip(self, record: Record, now: Millis) -> MergeOutcome:
        """Merge a record without gossip; refute a wrong record of this balancer."""
        if record.endpoint == self._own.endpoint:
            return self._merge_own(record, now)
        return self._table.merge(record, now)

    def merge_vector(self, vector: SuspicionVector, now: Millis) -> bool:
        """Merge a suspicion vector; return False if it can't be compared."""
        compared = self._table.compare(vector)
        if compared is None:
            return False
        for record in compared.ahead:
            self.merge_without_gossip(record, now)
        if compared.ahead:
            self._updates.add_suspicion(vector.bucket, self.balancer_count)
        elif not compared.behind:
            self._updates.record_duplicate(vector.bucket)
        return True

    def toggle_suspicion(self, record: Record, now: Millis) -> None:
        """Suspect a node, or clear the suspicion, and queue the change for gossip."""
        changed = replace(record, suspicion=record.suspicion + 1)
        if self.merge_without_gossip(changed, now) is MergeOutcome.NEWER:
            self._updates.add_suspicion(find_bucket(record), self.balancer_count)

    def mark_gone(self, record: Record, now: Millis) -> None:
        """Mark a node as gone and queue the change for gossip."""
        self.merge(replace(record, state=AgentState.GONE), now)

    def leave(self, now: Millis) -> None:
        """Mark this balancer as gone and queue the change for gossip."""
        self._own = replace(
            self._own, sequence=self._own.sequence + 1, state=AgentState.GONE
        )
        self._table.merge(self._own, now)
        self._updates.add_record(self._own, self.balancer_count)

    def _merge_own(self, record: Record, now: Millis) -> MergeOutcome:
        """Refute a wrong record of this balancer, or set `superseded` if replaced."""
        if isinstance(record, AgentRecord) or record.incarnation > (
            self._own.incarnation
        ):
            self._superseded = True
            return MergeOutcome.KNOWN
        if record.precedence <= self._own.precedence:
            return MergeOutcome.KNOWN
        if self._own.state is AgentState.GONE:
            return MergeOutcome.KNOWN
        self._refute(record, now)
        return MergeOutcome.KNOWN

    def _refute(self, received: BalancerRecord, now: Millis) -> None:
        """Make the own record newer than a received one that says suspected or gone."""
        if received.sequence > self._own.sequence or received.state is AgentState.GONE:
            self._own = replace(self._own, sequence=received.sequence + 1, suspicion=0)
            self._updates.add_record(self._own, self.balancer_count)
        else:
            self._own = replace(self._own, suspicion=received.suspicion + 1)
            self._updates.add_suspicion(find_bucket(received), self.balancer_count)
        self._table.merge(self._own, now)

    def _refresh_balancers(self) -> None:
        """Recompute the lists of balancers if the table's balancers have changed."""
        if self._balancers_version == self._table.balancers_version:
            return
        self._balancers_version = self._table.balancers_version
        balancers = self._table.balancers
        others = [one for one in balancers if one.endpoint != self._own.endpoint]
        self._peers = tuple(one.endpoint for one in others)
        self._reachable = tuple(one.endpoint for one in others if not one.is_suspected)
        self._suspected = tuple(one for one in others if one.is_suspected)
        self._rendezvous = Rendezvous(balancers)
