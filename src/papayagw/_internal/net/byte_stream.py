"""Byte streams with an orderly end and a reset, and an in-memory implementation."""

from typing import Protocol

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from papayagw._internal.exceptions import PapayagwError, Step

_MAX_QUEUED_CHUNKS = 16
"""Number of chunks that one end may send before the other must receive."""


class StreamBrokenError(PapayagwError):
    """A stream was reset or couldn't be connected."""


class ByteStream(Protocol):
    """Bidirectional stream of bytes."""

    async def receive(self) -> bytes:
        """Return bytes from the peer, or empty bytes after its orderly end."""

    async def send(self, data: bytes) -> None:
        """Send all of `data`, waiting while the peer doesn't keep up."""

    def send_eof(self) -> None:
        """End the sending direction in order."""

    def close(self) -> None:
        """Close the stream in order."""

    def abort(self) -> None:
        """Reset the stream."""


class MemoryStream:
    """One end of a stream within this process.

    Parameters
    ----------
    outgoing : MemoryObjectSendStream
        Queue of the bytes to the peer.
    incoming : MemoryObjectReceiveStream
        Queue of the bytes from the peer; it must contain no empty chunk.
    """

    def __init__(
        self,
        outgoing: MemoryObjectSendStream[bytes],
        incoming: MemoryObjectReceiveStream[bytes],
    ):
        self._outgoing = outgoing
        self._incoming = incoming
        self._peer: MemoryStream | None = None
        self._is_reset = False

    @classmethod
    def make_pair(cls) -> tuple["MemoryStream", "MemoryStream"]:
        """Return both ends of a new stream."""
        to_second, from_first = anyio.create_memory_object_stream[bytes](
            _MAX_QUEUED_CHUNKS
        )
        to_first, from_second = anyio.create_memory_object_stream[bytes](
            _MAX_QUEUED_CHUNKS
        )
        first, second = cls(to_second, from_second), cls(to_first, from_first)
        first._peer, second._peer = second, first
        return first, second

    async def receive(self) -> bytes:
        """Return bytes from the peer, or empty bytes after its orderly end."""
        try:
            return await self._incoming.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            if self._is_reset:
                raise self._make_reset_error() from None
            return b""

    async def send(self, data: bytes) -> None:
        """Send all of `data`, waiting while the peer doesn't keep up."""
        if not data:
            return
        try:
            await self._outgoing.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise self._make_reset_error() from None

    def send_eof(self) -> None:
        """End the sending direction in order."""
        self._outgoing.close()

    def close(self) -> None:
        """Close the stream in order."""
        self._outgoing.close()
        self._incoming.close()

    def abort(self) -> None:
        """Reset the stream."""
        if self._peer is not None:
            self._peer._is_reset = True
        self.close()

    def _make_reset_error(self) -> StreamBrokenError:
        return StreamBrokenError("the stream was reset", step=Step.DELIVER)
