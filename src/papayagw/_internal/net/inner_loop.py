"""Receive loop of the inner socket, for UDP traffic between balancers and agents."""

from typing import Protocol

from papayagw._internal.models.clock import Clock, Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.control import ControlLoop
from papayagw._internal.net.udp import DatagramSocket
from papayagw._internal.wire.envelope import FrameKind

_CONTROL_PREFIX = bytes((FrameKind.CONTROL,))


class InnerPackets(Protocol):
    """Handler of the envelopes that arrive at the inner socket of a process."""

    def on_frame(self, frame: bytes, source: tuple[str, int]) -> None:
        """Process a received envelope; `flush` is called after each batch."""

    def on_refused(self, frame: bytes, peer: Endpoint, now: Millis) -> None:
        """Process an envelope that this process sent to a closed port of `peer`."""

    def flush(self) -> None:
        """Send the datagrams that result from the envelopes since the last call."""


async def serve_inner(
    socket: DatagramSocket, control: ControlLoop, packets: InnerPackets, clock: Clock
) -> None:
    """Dispatch each frame to `control` or `packets` by its kind, until cancelled."""
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
