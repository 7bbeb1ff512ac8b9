"""Metrics and status report of a balancer."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from papayagw._internal.core.membership import BalancerMembership
from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.clock import Clock
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.status import (
    MAX_LISTED_AGENTS,
    AgentStatus,
    NodeState,
    PeerStatus,
    StatusReport,
)
from papayagw._internal.net.account import NodeIdentity, start_report
from papayagw._internal.net.balancer_process import BalancerProcess


class BalancerAccount:
    """Source of a balancer's metrics and status report.

    Parameters
    ----------
    identity : NodeIdentity
        Name, role, zone and start time of the process.
    process : BalancerProcess
        Supplies the packet counts.
    membership : BalancerMembership
        Supplies the known agents and balancers.
    read_configuration : callable
        Returns the configuration in force.
    clock : Clock
        Clock for the uptime.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        process: BalancerProcess,
        membership: BalancerMembership,
        read_configuration: Callable[[], Configuration],
        clock: Clock,
    ):
        self._identity = identity
        self._process = process
        self._membership = membership
        self._read_configuration = read_configuration
        self._clock = clock

    @property
    def identity(self) -> NodeIdentity:
        """Name, role, zone and start time of the process."""
        return self._identity

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""
        return self._read_configuration().version

    def read_counts(self) -> Mapping[str, int]:
        """Return the counts since the start by metric name."""
        packets = self._process.packets
        drops = {
            f"balancer.drop.{reason.value}": count
            for reason, count in packets.drops.items()
        }
        return {
            "balancer.forwarded": packets.forwarded,
            "balancer.answered": packets.answered,
            "balancer.passed": packets.peer_openings,
            "balancer.reset": packets.resets,
            "balancer.drop.control": self._process.refused_control,
            **drops,
        }

    def read_gauges(self) -> Mapping[str, float]:
        """Return the current gauges by metric name."""
        return {
            "balancer.agents": len(self._membership.directory.records),
            "balancer.peers": len(self._membership.peers),
            "balancer.watched": self._membership.watched_count,
            "balancer.configuration-version": self.configuration_version,
        }

    def pop_timings(self) -> Mapping[str, Sequence[float]]:
        """Return no timings: a balancer doesn't see when a flow ends."""
        return {}

    def report(self, state: NodeState) -> StatusReport:
        """Return the status report, with `state` as the state of the node."""
        configuration = self._read_configuration()
        agents = self._membership.directory.records
        listed = describe_agents(agents[:MAX_LISTED_AGENTS], configuration)
        shared = start_report(self._identity, state, self._clock, self.read_counts())
        return replace(
            shared,
            configuration_version=configuration.version,
            agents_known=len(agents),
            agents=listed,
            peers=self._describe_peers(),
        )

    def _describe_peers(self) -> tuple[PeerStatus, ...]:
        own = self._membership.own.endpoint
        return tuple(
            PeerStatus(
                endpoint=str(peer.endpoint),
                role="balancer",
                state="suspected" if peer.is_suspected else "up",
            )
            for peer in self._membership.balancers[:MAX_LISTED_AGENTS]
            if peer.endpoint != own
        )


def describe_agents(
    records: Sequence[AgentRecord], configuration: Configuration
) -> tuple[AgentStatus, ...]:
    """Return the status entries of `records`, with services given by name."""
    names = {
        service.service_id: service.name for service in configuration.site.services
    }
    return tuple(
        AgentStatus(
            endpoint=str(record.endpoint),
            service=names.get(record.service_id, str(record.service_id)),
            zone=record.zone,
            state=_describe_state(record),
            weight=record.weight,
        )
        for record in records
    )


def _describe_state(record: AgentRecord) -> str:
    if record.state is AgentState.READY and record.is_suspected:
        return "suspected"
    return record.state.name.lower()
