"""Status report and metrics of an agent."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from papayagw._internal.models.clock import Clock
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.settings import AgentSettings
from papayagw._internal.models.status import (
    MAX_LISTED_AGENTS,
    NodeState,
    PeerStatus,
    StatusReport,
)
from papayagw._internal.net.account import NodeIdentity, start_report
from papayagw._internal.net.agent_process import AgentProcess
from papayagw._internal.net.balancer_account import describe_agents


class AgentAccount:
    """Status and metrics of an agent.

    Parameters
    ----------
    identity : NodeIdentity
        Name, role, zone and start time of the process.
    settings : AgentSettings
        Settings of the agent.
    process : AgentProcess
        The agent, with its flows and its membership state.
    read_configuration : callable
        Returns the configuration in force.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        settings: AgentSettings,
        process: AgentProcess,
        read_configuration: Callable[[], Configuration],
        clock: Clock,
    ):
        self._identity = identity
        self._settings = settings
        self._process = process
        self._announcer = process.announcer
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
        """Return the counts since the start, by metric name."""
        counts = self._process.packets.counts
        refused = {"agent.drop.control": self._process.refused_control}
        return {f"agent.{name}": count for name, count in counts.items()} | refused

    def read_gauges(self) -> Mapping[str, float]:
        """Return the current gauges, by metric name."""
        return {
            "agent.flows": self._process.packets.flows,
            "agent.weight": self._announcer.own.weight,
            "agent.watchers": len(self._announcer.watchers),
            "agent.siblings": len(self._announcer.siblings.records),
            "agent.configuration-version": self.configuration_version,
        }

    def pop_timings(self) -> Mapping[str, Sequence[float]]:
        """Return the opening latencies since the last call, in ms, by metric name."""
        return {"agent.opening": self._process.packets.meter.pop_latencies()}

    def report(self, state: NodeState) -> StatusReport:
        """Return the complete status report."""
        packets = self._process.packets
        configuration = self._read_configuration()
        siblings = self._announcer.siblings.records
        own, *others = describe_agents(
            (self._announcer.own, *siblings[:MAX_LISTED_AGENTS]), configuration
        )
        totals = packets.meter.report(packets.flows, float(self._announcer.own.weight))
        shared = start_report(self._identity, state, self._clock, self.read_counts())
        return replace(
            shared,
            configuration_version=configuration.version,
            flows_open=packets.flows,
            agents_known=len(siblings),
            agents=(replace(own, flows=packets.flows), *others),
            services=(totals,),
            peers=self._describe_peers(),
        )

    def _describe_peers(self) -> tuple[PeerStatus, ...]:
        watchers = (
            PeerStatus(str(balancer), "watching balancer", "up")
            for balancer in self._announcer.watchers
        )
        backend = str(self._settings.backend)
        return (PeerStatus(backend, "backend server", "configured"), *watchers)
