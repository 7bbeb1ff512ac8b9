"""Frames on a TCP connection: a length of 4 bytes, then as many bytes."""

import struct

from papayagw._internal.exceptions import DecodeError, Step
from papayagw._internal.net.tcp import TcpStream

_LENGTH = struct.Struct("!I")


async def send_frame(stream: TcpStream, frame: bytes) -> None:
    """Send one frame."""
    await stream.send(_LENGTH.pack(len(frame)) + frame)


async def receive_frame(stream: TcpStream, limit: int) -> bytes:
    """Return the first frame of a connection.

    Parameters
    ----------
    stream : TcpStream
        The connection.
    limit : int
        The longest frame that is taken, in bytes.

    Raises
    ------
    DecodeError
        If the frame is longer than `limit`, or the connection ends within it.
    StreamBrokenError
        If the connection is lost.
    """
    data = bytearray()
    end = _LENGTH.size
    while len(data) < end:
        chunk = await stream.receive()
        if not chunk:
            raise DecodeError("the peer hung up", step=Step.DECODE)
        data += chunk
        if len(data) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data)
            end = _LENGTH.size + length
        if end > _LENGTH.size + limit:
            raise DecodeError(f"a frame of {length} bytes", step=Step.DECODE)
    return bytes(data[_LENGTH.size : end])
