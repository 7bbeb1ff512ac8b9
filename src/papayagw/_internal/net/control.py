"""Exchange of control messages: datagrams and ticks round a core."""

from collections.abc import Callable, Sequence
from typing import Protocol

import anyio

from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.models.control import ControlMessage, Send
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.wire.control import ControlCodec

TICK_MS = Millis(100)


class ControlNode(Protocol):
    """The decisions of a process about control messages."""

    def on_message(
        self, message: ControlMessage, source: Endpoint, now: Millis
    ) -> tuple[Send, ...]:
        """Take in a message and return what to send."""

    def on_tick(self, now: Millis) -> tuple[Send, ...]:
        """Return what has become due."""


class ControlLoop:
    """Drives a control node.

    Parameters
    ----------
    node : ControlNode
        The decisions.
    keys : sequence of FleetKey
        The keys that authenticate control messages.
    socket : DatagramSocket
        The socket between the system's own processes.
    clock : Clock
        The time.
    """

    def __init__(
        self,
        node: ControlNode,
        keys: Sequence[FleetKey],
        socket: DatagramSocket,
        clock: Clock,
    ):
        self._node = node
        self._codec = ControlCodec(keys)
        self._socket = socket
        self._clock = clock
        self._refused = 0

    @property
    def refused(self) -> int:
        """How many frames weren't authentic messages."""
        return self._refused

    def apply(self, keys: Sequence[FleetKey]) -> None:
        """Use other keys from now on."""
        self._codec = ControlCodec(keys)

    def on_frame(self, frame: bytes, source: tuple[str, int]) -> None:
        """Take in a control frame and send what follows from it."""
        message = self._codec.read(frame)
        if message is None:
            self._refused += 1
            return
        now = self._clock.now()
        self.send(self._node.on_message(message, Endpoint(*source), now))

    def send(self, sends: Sequence[Send]) -> None:
        """Send control messages."""
        for outgoing in sends:
            frame = self._codec.write(outgoing.message)
            self._socket.send(frame, outgoing.destination.sockaddr)

    async def run(self, after_tick: Callable[[], None] | None = None) -> None:
        """Tick until cancelled."""
        while True:
            self.send(self._node.on_tick(self._clock.now()))
            if after_tick is not None:
                after_tick()
            await anyio.sleep(to_seconds(TICK_MS))
