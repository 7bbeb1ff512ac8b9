"""Relay of bytes between a flow and a TCP connection, in both directions."""

from collections import deque
from typing import Protocol

import anyio

from papayagw._internal.net.byte_stream import ByteStream

HIGH_WATER_BYTES = 512 << 10
"""Number of unacknowledged bytes from which on reading from TCP pauses."""


class BridgedFlow(Protocol):
    """What a bridge needs of its flow."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes written to the peer that it hasn't acknowledged."""

    def write(self, data: bytes) -> None:
        """Send bytes to the peer."""

    def finish(self) -> None:
        """End the sending direction."""

    def consume(self, count: int) -> None:
        """Record that `count` bytes from the peer were written to TCP."""


class FlowBridge:
    """Relays both directions of one flow.

    Parameters
    ----------
    flow : BridgedFlow
        Flow whose bytes are relayed.
    """

    def __init__(self, flow: BridgedFlow):
        self._flow = flow
        self._received: deque[bytes] = deque()
        self._finished = False
        self._received_event = anyio.Event()
        self._writable_event = anyio.Event()

    def on_bytes(self, data: bytes, finished: bool) -> None:
        """Queue bytes from the peer; `finished` means that they are the last ones."""
        if data:
            self._received.append(data)
        self._finished = self._finished or finished
        self._received_event.set()

    def on_writable(self) -> None:
        """Resume reading from TCP if the peer has acknowledged enough bytes."""
        if (
            not self._writable_event.is_set()
            and self._flow.buffered_bytes < HIGH_WATER_BYTES
        ):
            self._writable_event.set()

    async def run(self, stream: ByteStream) -> None:
        """Relay bytes until both directions have ended in order.

        Raises
        ------
        StreamBrokenError
            If the TCP connection is reset.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_to_stream, stream)
            tasks.start_soon(self._receive_from_stream, stream)

    async def _send_to_stream(self, stream: ByteStream) -> None:
        while True:
            while self._received:
                data = self._received.popleft()
                await stream.send(data)
                self._flow.consume(len(data))
            if self._finished:
                stream.send_eof()
                return
            self._received_event = anyio.Event()
            await self._received_event.wait()

    async def _receive_from_stream(self, stream: ByteStream) -> None:
        while True:
            if self._flow.buffered_bytes >= HIGH_WATER_BYTES:
                self._writable_event = anyio.Event()
                await self._writable_event.wait()
            data = await stream.receive()
            if not data:
                self._flow.finish()
                return
            self._flow.write(data)
