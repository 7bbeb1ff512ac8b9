"""The balancer as a process: its sockets and loops."""

import anyio

from papayagw._internal.core.balancer import BalancerCore
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.node import BalancerSettings
from papayagw._internal.models.service import Service, ServiceId
from papayagw._internal.net.balancer import BalancerPackets
from papayagw._internal.net.control import ControlLoop, ControlNode
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.wire.envelope import FrameKind

LEAVE_MS = Millis(1_000)
"""How long a leaving balancer still hands packets on, so that none meets a void."""


class BalancerProcess:
    """Everything that a balancer process runs.

    Parameters
    ----------
    settings : BalancerSettings
        Its own settings.
    configuration : Configuration
        What is in force at the start.
    directory : AgentDirectory
        The agents that it knows of, which `membership` keeps.
    membership : ControlNode
        Its part in the membership.
    clock : Clock
        The time.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        configuration: Configuration,
        directory: AgentDirectory,
        membership: ControlNode,
        clock: Clock,
    ):
        self._settings = settings
        self._configuration = configuration
        self._inner = DatagramSocket(settings.node.inner)
        self._entries: dict[ServiceId, DatagramSocket] = {}
        core = BalancerCore(directory, RendezvousChooser())
        self._packets = BalancerPackets(core, configuration, self._inner, self._entries)
        keys = configuration.site.keys
        self._control = ControlLoop(membership, keys, self._inner, clock)

    @property
    def packets(self) -> BalancerPackets:
        """The packet path."""
        return self._packets

    @property
    def refused_control(self) -> int:
        """How many control frames weren't authentic messages."""
        return self._control.refused

    def start(self) -> None:
        """Bind the sockets."""
        self._inner.start()
        for service in self._configuration.site.services:
            self._bind_entry(service)

    def close(self) -> None:
        """Close the sockets."""
        self._inner.close()
        for entry in self._entries.values():
            entry.close()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive_inner)
            tasks.start_soon(self._control.run)
            for service_id, entry in self._entries.items():
                tasks.start_soon(self._receive_entry, service_id, entry)

    async def drain(self) -> None:
        """Hand on what still comes while the others learn of the leave."""
        await anyio.sleep(to_seconds(LEAVE_MS))

    def _bind_entry(self, service: Service) -> None:
        bind_ip = self._settings.bind_ip
        endpoint = service.address
        if bind_ip is not None:
            endpoint = Endpoint(bind_ip, service.address.port)
        entry = DatagramSocket(endpoint)
        entry.start()
        self._entries[service.service_id] = entry

    async def _receive_entry(
        self, service_id: ServiceId, entry: DatagramSocket
    ) -> None:
        on_datagram = self._packets.on_datagram
        while True:
            await entry.wait_readable()
            for datagram, client in entry.receive_batch():
                on_datagram(service_id, datagram, client)

    async def _receive_inner(self) -> None:
        control = bytes((FrameKind.CONTROL,))
        while True:
            await self._inner.wait_readable()
            for frame, source in self._inner.receive_batch():
                if frame[:1] == control:
                    self._control.on_frame(frame, source)
                else:
                    self._packets.on_frame(frame)
