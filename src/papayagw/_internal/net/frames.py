"""Frames on a TCP connection: a 4-byte length prefix, then the payload."""

import struct

from papayagw._internal.exceptions import DecodeError, Step
from papayagw._internal.net.tcp import TcpStream

_LENGTH = struct.Struct("!I")


async def send_frame(stream: TcpStream, frame: bytes) -> None:
    """Send one frame."""
    await stream.send(_LENGTH.pack(len(frame)) + frame)


async def receive_frame(stream: TcpStream, limit: int) -> bytes:
    """Return the payload of the first frame on a connection.

    Parameters
    ----------
    stream : TcpStream
        The connection.
    limit : int
        Maximum length of the payload, in bytes.

    Raises
    ------
    DecodeError
        If the payload is longer than `limit`, or the connection ends before the end
        of the frame.
    StreamBrokenError
        If the connection is lost.
    """
    data = bytearray()
    end = _LENGTH.size
    while len(data) < end:
        chunk = await stream.receive()
        if not chunk:
            raise DecodeError(
                "the peer closed the connection before the end of the frame",
                step=Step.DECODE,
            )
        data += chunk
        if len(data) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data)
            end = _LENGTH.size + length
        if end > _LENGTH.size + limit:
            raise DecodeError(
                f"frame of {length} bytes exceeds the limit of {limit} bytes",
                step=Step.DECODE,
            )
    return bytes(data[_LENGTH.size : end])
