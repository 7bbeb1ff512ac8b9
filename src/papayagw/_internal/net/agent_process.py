"""The agent as a process: its socket and its tasks."""

import anyio

from papayagw._internal.core.admission import Admission
from papayagw._internal.core.agent import AgentCore
from papayagw._internal.core.announcer import AgentAnnouncer
from papayagw._internal.exceptions import SettingsError
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.settings import AgentSettings
from papayagw._internal.net.agent import AgentPackets
from papayagw._internal.net.configuration import ConfigurationSource, run_source
from papayagw._internal.net.control import ControlLoop
from papayagw._internal.net.inner_loop import serve_inner
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.observe.logs import Log

LEAVE_NOTICE_MS = Millis(500)
"""Time for which a drained agent repeats its departure and resets unknown flows."""

_DRAIN_POLL_INTERVAL_MS = Millis(50)


class AgentProcess:
    """Socket, packet path, control messages and configuration of an agent process.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    configuration : Configuration
        Initial configuration.
    core : AgentCore
        Decides what happens to each packet.
    admission : Admission
        Decides when accepted flows may use the backend server.
    announcer : AgentAnnouncer
        Announces the agent to balancers, which inform it of its siblings: the other
        agents of the same service.
    clock : Clock
        Source of the current time.
    source : ConfigurationSource
        Source of later configurations; it must be started.
    log : Log
        Log for dropped packets, flows without an answer and certificate errors.
    """

    def __init__(
        self,
        settings: AgentSettings,
        configuration: Configuration,
        core: AgentCore,
        admission: Admission,
        announcer: AgentAnnouncer,
        clock: Clock,
        source: ConfigurationSource,
        log: Log,
    ):
        self._inner = DatagramSocket(settings.node.inner, keeps_refused=True)
        self._announcer = announcer
        self._clock = clock
        self._configuration = configuration
        self._source = source
        self._log = log
        self._packets = AgentPackets(
            settings, configuration, core, admission, self._inner, clock, log
        )
        keys = configuration.site.keys
        self._control = ControlLoop(announcer, keys, self._inner, clock)

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self._configuration

    @property
    def packets(self) -> AgentPackets:
        """Packet path of the agent."""
        return self._packets

    @property
    def announcer(self) -> AgentAnnouncer:
        """Announcer of the agent to balancers."""
        return self._announcer

    @property
    def refused_control(self) -> int:
        """Number of control frames that weren't authentic or couldn't be decoded."""
        return self._control.refused

    def start(self) -> None:
        """Bind the socket."""
        self._inner.start()

    def close(self) -> None:
        """End the remaining flows and close the socket."""
        self._packets.close_flows("the agent stopped")
        self._inner.close()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._packets.run)
            tasks.start_soon(self._control.run, self._report_advertised_version)
            tasks.start_soon(run_source, self._source, self._apply, lambda: False)
            tasks.start_soon(
                serve_inner, self._inner, self._control, self._packets, self._clock
            )

    async def drain(self) -> None:
        """Refuse new openings, wait for the last flow, then announce the departure."""
        self._refuse_openings()
        while self._packets.flows:
            await anyio.sleep(to_seconds(_DRAIN_POLL_INTERVAL_MS))
        self._control.send(self._announcer.close(self._clock.now()))
        # The control loop repeats the announcement, since a datagram may be lost.
        await anyio.sleep(to_seconds(LEAVE_NOTICE_MS))

    def _refuse_openings(self) -> None:
        self._packets.drain()
        self._control.send(self._announcer.drain(self._clock.now()))

    def _apply(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._control.apply(configuration.site.keys)
        try:
            self._packets.apply(configuration)
        except SettingsError as error:
            # The certificate files can't be loaded; keep the certificate in use.
            self._log.failure(error)
        core = self._packets.core
        service = configuration.site.find_service_by_id(core.route.service_id)
        if service is None:
            # The service was removed: open flows continue, new ones are refused.
            self._refuse_openings()
        else:
            core.set_max_flows(service.max_flows)

    def _report_advertised_version(self) -> None:
        advertised = self._announcer.advertised_configuration
        if advertised is not None:
            self._source.on_advertised_version(*advertised)
