"""TCP streams over plain sockets.

A broken flow must reach the other side as a reset, never as an orderly end. The
streams therefore offer both an orderly `close` and an `abort` that resets.
"""

import os
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from papayagw._internal.exceptions import BindError, Step
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.byte_stream import StreamBrokenError

READ_BYTES = 1 << 16
_BACKLOG_CONNECTIONS = 1024
_LINGER_ZERO = struct.pack("ii", 1, 0)


class TcpStream:
    """Byte stream over one TCP connection.

    Parameters
    ----------
    connection : socket.socket
        Connected socket, which the stream owns from then on.
    """

    def __init__(self, connection: socket.socket):
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connection

    @classmethod
    async def connect(cls, endpoint: Endpoint, timeout_ms: Millis) -> "TcpStream":
        """Connect to `endpoint`.

        Raises
        ------
        StreamBrokenError
            If the connection fails or isn't established within `timeout_ms`.
        """
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        try:
            with anyio.fail_after(to_seconds(timeout_ms)):
                await _connect(connection, endpoint)
            return cls(connection)
        except (OSError, TimeoutError) as error:
            connection.close()
            raise StreamBrokenError(
                f"can't connect: {error or 'no answer'}",
                step=Step.CONNECT_BACKEND,
                peer=str(endpoint),
                remedy="see whether the backend server runs",
            ) from error
        except BaseException:
            connection.close()
            raise

    async def receive(self) -> bytes:
        """Return bytes from the peer, or empty bytes after its orderly end."""
        while True:
            try:
                return self._socket.recv(READ_BYTES)
            except BlockingIOError:
                await anyio.wait_readable(self._socket)
            except OSError as error:
                raise self._make_error(error) from error

    async def send(self, data: bytes) -> None:
        """Write all of `data` to the socket."""
        view = memoryview(data)
        while view:
            try:
                view = view[self._socket.send(view) :]
            except BlockingIOError:
                await anyio.wait_writable(self._socket)
            except OSError as error:
                raise self._make_error(error) from error

    def send_eof(self) -> None:
        """End the sending direction in order."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise self._make_error(error) from error

    def close(self) -> None:
        """Close the connection in order."""
        self._socket.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self._socket.close()

    def _make_error(self, error: OSError) -> StreamBrokenError:
        return StreamBrokenError(f"connection lost: {error}", step=Step.DELIVER)


class TcpListener:
    """Listening TCP socket.

    Parameters
    ----------
    endpoint : Endpoint
        Address and port to listen on.
    """

    def __init__(self, endpoint: Endpoint):
        self._endpoint = endpoint
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def start(self) -> None:
        """Bind the socket and listen.

        Raises
        ------
        BindError
            If the endpoint can't be bound.
        """
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._socket.bind(self._endpoint.sockaddr)
        except OSError as error:
            raise BindError.from_os("bind TCP", str(self._endpoint), error) from error
        self._socket.listen(_BACKLOG_CONNECTIONS)

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    async def serve(
        self,
        handle: Callable[[TcpStream], Coroutine[Any, Any, None]],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Run `handle` as a task of `tasks` for each connection, until cancelled."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                await anyio.wait_readable(self._socket)
            except OSError:
                # Out of file descriptors, or the peer has closed already.
                await anyio.sleep(0.01)
            else:
                tasks.start_soon(handle, TcpStream(connection))


async def _connect(connection: socket.socket, endpoint: Endpoint) -> None:
    try:
        connection.connect(endpoint.sockaddr)
    except BlockingIOError:
        await anyio.wait_writable(connection)
    code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
