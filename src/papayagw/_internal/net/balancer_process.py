"""Sockets and event loop tasks of a balancer process."""

import anyio

from papayagw._internal.core.balancer import BalancerCore
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.membership import BalancerMembership
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.settings import BalancerSettings
from papayagw._internal.net.balancer import BalancerPackets
from papayagw._internal.net.configuration import ConfigurationSource, run_source
from papayagw._internal.net.control import ControlLoop
from papayagw._internal.net.entries import EntrySockets
from papayagw._internal.net.inner_loop import serve_inner
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.observe.logs import Log

LEAVE_MS = Millis(1_000)
"""Time for which a leaving balancer still forwards packets, so that none is lost."""


class BalancerProcess:
    """All sockets and tasks of a balancer process.

    Parameters
    ----------
    settings : BalancerSettings
        Settings of this process.
    configuration : Configuration
        Configuration in force at the start.
    directory : AgentDirectory
        Known agents, updated by `membership`.
    membership : BalancerMembership
        Membership protocol of this balancer.
    clock : Clock
        Clock for timers and messages.
    source : ConfigurationSource
        Source of later configurations, already started.
    log : Log
        Receives warnings of dropped packets and errors of service sockets.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        configuration: Configuration,
        directory: AgentDirectory,
        membership: BalancerMembership,
        clock: Clock,
        source: ConfigurationSource,
        log: Log,
    ):
        self._settings = settings
        self._configuration = configuration
        self._inner = DatagramSocket(settings.node.inner, keeps_refused=True)
        self._membership = membership
        self._clock = clock
        self._core = BalancerCore(directory, RendezvousChooser(), membership)
        self._source = source
        self._entries = EntrySockets(settings.bind_ip, log.failure)
        self._packets = BalancerPackets(
            self._core, configuration, self._inner, self._entries.sockets, log
        )
        keys = configuration.site.keys
        self._control = ControlLoop(membership, keys, self._inner, clock)

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self._configuration

    @property
    def packets(self) -> BalancerPackets:
        """Packet path, with the packet counts."""
        return self._packets

    @property
    def refused_control(self) -> int:
        """Number of control frames that weren't authentic or couldn't be decoded."""
        return self._control.refused

    def start(self) -> None:
        """Bind the inner socket and the sockets of all services."""
        self._inner.start()
        self._entries.start(self._configuration.site.services)

    def close(self) -> None:
        """Close the sockets."""
        self._inner.close()
        self._entries.close()

    async def run(self) -> None:
        """Forward packets and exchange control messages until cancelled."""
        self._membership.set_configuration_version(self._configuration.version)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                serve_inner, self._inner, self._control, self._packets, self._clock
            )
            tasks.start_soon(self._control.run, self._after_tick)
            tasks.start_soon(self._entries.run, self._packets.on_batch)
            tasks.start_soon(run_source, self._source, self._apply, self._is_relay)

    async def drain(self) -> None:
        """Announce the shutdown and keep forwarding while the peers learn of it."""
        self._control.send(self._membership.leave(self._clock.now()))
        await anyio.sleep(to_seconds(LEAVE_MS))

    def _apply(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._packets.apply(configuration)
        self._control.apply(configuration.site.keys)
        self._entries.apply(configuration.site.services)
        self._membership.set_configuration_version(configuration.version)

    def _is_relay(self) -> bool:
        """Return whether this balancer has to watch the store for its zone."""
        return self._membership.is_relay(self._settings.node.zone)

    def _after_tick(self) -> None:
        self._core.expire_unreachable(self._clock.now())
        advertised = self._membership.advertised_configuration
        if advertised is not None:
            self._source.on_advertised_version(*advertised)
