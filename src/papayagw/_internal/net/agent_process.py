"""The agent as a process: its socket and loops."""

import anyio

from papayagw._internal.core.agent import AgentCore
from papayagw._internal.core.announcer import AgentAnnouncer
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.node import AgentSettings
from papayagw._internal.net.agent import AgentPackets
from papayagw._internal.net.control import ControlLoop
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.wire.envelope import FrameKind

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
    announcer : AgentAnnouncer
        Its part in the membership.
    clock : Clock
        The time.
    """

    def __init__(
        self,
        settings: AgentSettings,
        configuration: Configuration,
        core: AgentCore,
        announcer: AgentAnnouncer,
        clock: Clock,
    ):
        self._inner = DatagramSocket(settings.node.inner)
        self._announcer = announcer
        self._clock = clock
        self._packets = AgentPackets(settings, configuration, core, self._inner, clock)
        keys = configuration.site.keys
        self._control = ControlLoop(announcer, keys, self._inner, clock)

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
            tasks.start_soon(self._control.run)
            tasks.start_soon(self._receive)

    async def drain(self) -> None:
        """Take no more openings, and return when the last flow has ended."""
        self._packets.core.drain()
        self._control.send(self._announcer.drain(self._clock.now()))
        while self._packets.flows:
            await anyio.sleep(to_seconds(_DRAIN_CHECK_MS))
        self._control.send(self._announcer.close(self._clock.now()))
        # The ticks of this time repeat the word, since a datagram may be lost.
        await anyio.sleep(to_seconds(LEAVE_MS))

    async def _receive(self) -> None:
        control = bytes((FrameKind.CONTROL,))
        while True:
            await self._inner.wait_readable()
            for frame, source in self._inner.receive_batch():
                if frame[:1] == control:
                    self._control.on_frame(frame, source)
                else:
                    self._packets.on_frame(frame, source)
            self._packets.flush()
