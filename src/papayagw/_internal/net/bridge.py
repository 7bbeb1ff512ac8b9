"""Carrying of bytes between a flow and a TCP connection, in both directions."""

from collections import deque
from typing import Protocol

import anyio

from papayagw._internal.net.byte_stream import ByteStream

HIGH_WATER_BYTES = 512 << 10
"""Above this many unacknowledged bytes, no more are read from TCP."""


class BridgedFlow(Protocol):
    """The flow, as a bridge needs it."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes written that the peer hasn't acknowledged."""

    def write(self, data: bytes) -> None:
        """Send bytes to the peer."""

    def finish(self) -> None:
        """Send no more bytes."""

    def consume(self, count: int) -> None:
        """Note that bytes of the peer have been handed to TCP."""


class FlowBridge:
    """Both directions of one flow.

    Parameters
    ----------
    flow : BridgedFlow
        The flow.
    """

    def __init__(self, flow: BridgedFlow):
        self._flow = flow
        self._received: deque[bytes] = deque()
        self._finished = False
        self._received_event = anyio.Event()
        self._writable_event = anyio.Event()

    def on_bytes(self, data: bytes, finished: bool) -> None:
        """Take in bytes of the peer."""
        if data:
            self._received.append(data)
        self._finished = self._finished or finished
        self._received_event.set()

    def on_writable(self) -> None:
        """Note that the peer may have acknowledged bytes."""
        if (
            not self._writable_event.is_set()
            and self._flow.buffered_bytes < HIGH_WATER_BYTES
        ):
            self._writable_event.set()

    async def run(self, stream: ByteStream) -> None:
        """Carry bytes until both directions have ended in order.

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
