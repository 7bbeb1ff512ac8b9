"""Exchange of control messages: datagrams and timer ticks around a `ControlNode`."""

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
    """Logic of a process that handles control messages, without input or output."""

    def on_message(
        self, message: ControlMessage, source: Endpoint, now: Millis
    ) -> tuple[Send, ...]:
        """Process a received message and return the messages to send."""

    def on_tick(self, now: Millis) -> tuple[Send, ...]:
        """Return the messages that are due."""


class ControlLoop:
    """Passes received messages and timer ticks to a control node.

    Parameters
    ----------
    node : ControlNode
        Handles messages and ticks.
    keys : sequence of FleetKey
        Keys that authenticate control messages.
    socket : DatagramSocket
        Inner socket, for traffic between balancers and agents.
    clock : Clock
        Clock for ticks and message times.
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
        """Number of frames that weren't authentic or couldn't be decoded."""
        return self._refused

    def apply(self, keys: Sequence[FleetKey]) -> None:
        """Use `keys` for all later messages."""
        self._codec = ControlCodec(keys)

    def on_frame(self, frame: bytes, source: tuple[str, int]) -> None:
        """Process a received control frame and send the resulting messages."""
        message = self._codec.read(frame)
        if message is None:
            self._refused += 1
            return
        now = self._clock.now()
        self.send(self._node.on_message(message, Endpoint(*source), now))

    def send(self, sends: Sequence[Send]) -> None:
        """Encode and send control messages."""
        for outgoing in sends:
            frame = self._codec.write(outgoing.message)
            self._socket.send(frame, outgoing.destination.sockaddr)

    async def run(self, after_tick: Callable[[], None] | None = None) -> None:
        """Tick every `TICK_MS` until cancelled; call `after_tick` after each tick."""
        while True:
            self.send(self._node.on_tick(self._clock.now()))
            if after_tick is not None:
                after_tick()
            await anyio.sleep(to_seconds(TICK_MS))
