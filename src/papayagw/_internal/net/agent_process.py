"""The agent as a process: its socket and loops."""

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

LEAVE_MS = Millis(500)
"""How long a closed agent repeats that it is gone, and ends stray flows."""

_DRAIN_CHECK_MS = Millis(50)


class AgentProcess:
    """Everything that an agent process runs.

    Parameters
    ----------
    settings : AgentSettings
        Its own settings.
    configuration : Configuration
        What is in force at the start.
    core : AgentCore
        Its decisions about packets.
    admission : Admission
        Its decisions about accepted flows.
    announcer : AgentAnnouncer
        Its part in the membership.
    clock : Clock
        The time.
    source : ConfigurationSource
        Where later configurations come from; it has been started.
    log : Log
        Where flows that don't end well are logged.
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
        """What is in force."""
        return self._configuration

    @property
    def packets(self) -> AgentPackets:
        """The packet path."""
        return self._packets

    @property
    def announcer(self) -> AgentAnnouncer:
        """Its part in the membership."""
        return self._announcer

    @property
    def refused_control(self) -> int:
        """How many control frames weren't authentic messages."""
        return self._control.refused

    def start(self) -> None:
        """Bind the socket."""
        self._inner.start()

    def close(self) -> None:
        """End the flows that are left, and close the socket."""
        self._packets.close_flows("the agent stopped")
        self._inner.close()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._packets.run)
            tasks.start_soon(self._control.run, self._pass_on_versions)
            tasks.start_soon(run_source, self._source, self._apply, lambda: False)
            tasks.start_soon(
                serve_inner, self._inner, self._control, self._packets, self._clock
            )

    async def drain(self) -> None:
        """Take no more openings, and return when the last flow has ended."""
        self._refuse_openings()
        while self._packets.flows:
            await anyio.sleep(to_seconds(_DRAIN_CHECK_MS))
        self._control.send(self._announcer.close(self._clock.now()))
        # The ticks of this time repeat the word, since a datagram may be lost.
        await anyio.sleep(to_seconds(LEAVE_MS))

    def _refuse_openings(self) -> None:
        self._packets.drain()
        self._control.send(self._announcer.drain(self._clock.now()))

    def _apply(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._control.apply(configuration.site.keys)
        try:
            self._packets.apply(configuration)
        except SettingsError as error:
            # The files of the certificate have gone: the one in use stays.
            self._log.failure(error)
        core = self._packets.core
        service = configuration.site.find_service_by_id(core.route.service_id)
        if service is None:
            # The service was taken out: what is open goes on, nothing new comes.
            self._refuse_openings()
        else:
            core.set_max_flows(service.max_flows)

    def _pass_on_versions(self) -> None:
        heard = self._announcer.advertised_configuration
        if heard is not None:
            self._source.on_advertised_version(*heard)
