"""Status report and metrics of a connect process, on the callers' side."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from papayagw._internal.models.clock import Clock
from papayagw._internal.models.settings import ConnectSettings, Listener
from papayagw._internal.models.status import NodeState, PeerStatus, StatusReport
from papayagw._internal.net.account import NodeIdentity, start_report
from papayagw._internal.net.connect import ServiceConnector
from papayagw._internal.net.connect_process import ConnectProcess


class ConnectAccount:
    """Status and metrics of a connect process.

    Parameters
    ----------
    identity : NodeIdentity
        Name, role, zone and start time of the process.
    settings : ConnectSettings
        Settings of the connect process.
    process : ConnectProcess
        The process, with its listeners and flows.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        settings: ConnectSettings,
        process: ConnectProcess,
        clock: Clock,
    ):
        self._identity = identity
        self._settings = settings
        self._process = process
        self._clock = clock

    @property
    def identity(self) -> NodeIdentity:
        """Name, role, zone and start time of the process."""
        return self._identity

    @property
    def configuration_version(self) -> int:
        """Always 0, as a connect process has settings but no site configuration."""
        return 0

    @property
    def _listener_connectors(self) -> tuple[tuple[Listener, ServiceConnector], ...]:
        connectors = self._process.connectors
        return tuple(zip(self._settings.listeners, connectors, strict=True))

    def read_counts(self) -> Mapping[str, int]:
        """Return the counts since the start, by metric name."""
        return {
            f"connect.{listener.service}.{outcome.value}": count
            for listener, connector in self._listener_connectors
            for outcome, count in connector.outcomes.items()
        }

    def read_gauges(self) -> Mapping[str, float]:
        """Return the current gauges, by metric name."""
        return {
            f"connect.{listener.service}.flows": connector.flows
            for listener, connector in self._listener_connectors
        }

    def pop_timings(self) -> Mapping[str, Sequence[float]]:
        """Return the opening latencies since the last call, in ms, by metric name."""
        return {
            f"connect.{listener.service}.opening": connector.meter.pop_latencies()
            for listener, connector in self._listener_connectors
        }

    def report(self, state: NodeState) -> StatusReport:
        """Return the complete status report."""
        connectors = self._process.connectors
        shared = start_report(self._identity, state, self._clock, self.read_counts())
        return replace(
            shared,
            flows_open=sum(connector.flows for connector in connectors),
            services=tuple(
                connector.meter.report(connector.flows) for connector in connectors
            ),
            peers=tuple(
                PeerStatus(
                    str(listener.entry), f"entry of {listener.service}", "configured"
                )
                for listener in self._settings.listeners
            ),
        )
