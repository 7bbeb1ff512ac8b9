"""The loop round the socket between the system's own processes."""

from typing import Protocol

from papayagw._internal.models.clock import Clock, Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.control import ControlLoop
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.wire.envelope import FrameKind

_CONTROL_PREFIX = bytes((FrameKind.CONTROL,))


class InnerPackets(Protocol):
    """What a process does with the envelopes that come to its inner socket."""

    def on_frame(self, frame: bytes, source: tuple[str, int]) -> None:
        """Take in an envelope; `flush` follows."""

    def on_refused(self, frame: bytes, peer: Endpoint, now: Millis) -> None:
        """Act on an envelope of this process that met a closed port."""

    def flush(self) -> None:
        """Send what the last envelopes have made due."""


async def serve_inner(
    socket: DatagramSocket, control: ControlLoop, packets: InnerPackets, clock: Clock
) -> None:
    """Hand each frame to whom it concerns, until cancelled."""
    while True:
        await socket.wait_readable()
        for frame, source in socket.receive_batch():
            if frame[:1] == _CONTROL_PREFIX:
                control.on_frame(frame, source)
            else:
                packets.on_frame(frame, source)
        for frame, peer in socket.receive_refused():
            packets.on_refused(frame, Endpoint(*peer), clock.now())
        packets.flush()
