"""Frames on a TCP connection: a length of 4 bytes, then as many bytes."""

import struct

from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from papayagw._internal.exceptions import DecodeError, Step

_LENGTH = struct.Struct("!I")


async def send_frame(stream: ByteStream, frame: bytes) -> None:
    """Send one frame."""
    await stream.send(_LENGTH.pack(len(frame)) + frame)


async def receive_frame(stream: ByteStream, limit: int) -> bytes:
    """Return the first frame of a stream.

    Parameters
    ----------
    stream : ByteStream
        The connection.
    limit : int
        The longest frame that is taken, in bytes.

    Raises
    ------
    DecodeError
        If the frame is longer than `limit`.
    """
    buffered = BufferedByteReceiveStream(stream)
    (length,) = _LENGTH.unpack(await buffered.receive_exactly(_LENGTH.size))
    if length > limit:
        raise DecodeError(f"a frame of {length} bytes", step=Step.DECODE)
    return await buffered.receive_exactly(length)
