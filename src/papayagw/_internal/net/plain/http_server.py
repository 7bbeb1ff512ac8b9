"""Minimal HTTP/1.1 server for readiness probes, reports and metrics."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import h11

from papayagw._internal.exceptions import BindError
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.plain.loop import Loop

MAX_CONNECTIONS = 64
"""Maximum number of open connections; beyond it the oldest is closed."""

MAX_REQUEST_BYTES = 16_384
"""Maximum size of a request's headers, and of its body.

A report has a few hundred bytes.
"""

IDLE_TIMEOUT_MS = Millis(15_000)
"""Time after which an idle connection is closed: ten report intervals."""

_LISTEN_BACKLOG = 64
"""Maximum number of connections that wait to be accepted."""

_READ_BYTES = 16_384
"""Maximum number of bytes read from a socket at once."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete HTTP request."""

    method: str
    target: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = Callable[[HttpRequest], HttpResponse]
"""Returns the response to a request."""


class HttpServer:
    """Serves HTTP requests on one endpoint.

    Parameters
    ----------
    loop : Loop
        Event loop.
    endpoint : Endpoint
        Endpoint to listen on.
    handler : callable
        Returns the response to a request without blocking.
    """

    def __init__(self, loop: Loop, endpoint: Endpoint, handler: Handler):
        self._loop = loop
        self._endpoint = endpoint
        self._handler = handler
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._connections: dict[int, _Connection] = {}

    def start(self) -> None:
        """Listen on the endpoint and serve the requests that arrive there.

        Raises
        ------
        BindError
            If the endpoint is in use or its address isn't on this machine.
        """
        listener = self._listener
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        try:
            listener.bind(self._endpoint.sockaddr)
            listener.listen(_LISTEN_BACKLOG)
        except OSError as error:
            raise BindError.from_os("listen", str(self._endpoint), error) from error
        self._loop.watch(listener, self._accept)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._loop.unwatch(self._listener)
        self._listener.close()
        for connection in list(self._connections.values()):
            connection.close()

    def _accept(self) -> None:
        """Accept a connection, closing the oldest one if there are too many."""
        try:
            accepted, _ = self._listener.accept()
        except OSError:
            # The peer has disconnected already, or no file descriptor is free, in
            # which case the peer retries.
            return
        if len(self._connections) >= MAX_CONNECTIONS:
            # Dictionaries keep insertion order: the first connection is the oldest.
            next(iter(self._connections.values())).close()
        descriptor = accepted.fileno()
        self._connections[descriptor] = _Connection(
            self._loop,
            accepted,
            self._handler,
            lambda: self._connections.pop(descriptor, None),
        )


class _Connection:
    """A connection that the server has accepted."""

    def __init__(
        self,
        loop: Loop,
        accepted: socket.socket,
        handler: Handler,
        on_close: Callable[[], object],
    ):
        self._loop = loop
        self._socket = accepted
        self._handler = handler
        self._on_close = on_close
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        self._request: h11.Request | None = None
        self._body = b""
        self._unsent = b""
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._timer = loop.call_after(IDLE_TIMEOUT_MS, self.close)
        loop.watch(accepted, self._on_readable)

    def close(self) -> None:
        """Close the connection and remove it from the server."""
        self._timer.cancel()
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._on_close()

    def _on_readable(self) -> None:
        """Receive and answer requests; close the connection if it ends or fails."""
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # Connection reset: the peer retries on a new connection.
            self.close()
            return
        self._timer.cancel()
        self._timer = self._loop.call_after(IDLE_TIMEOUT_MS, self.close)
        try:
            self._http.receive_data(data)
            is_open = self._process_events()
        except h11.RemoteProtocolError:
            is_open = False
        if not is_open or not data:
            self.close()

    def _process_events(self) -> bool:
        """Answer the requests received; return whether the connection stays open."""
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._request, self._body = event, b""
            elif isinstance(event, h11.Data):
                self._body += bytes(event.data)
                if len(self._body) > MAX_REQUEST_BYTES:
                    return False
            elif isinstance(event, h11.EndOfMessage):
                self._respond()
                if self._http.our_state is not h11.DONE:
                    return bool(self._unsent)
                self._http.start_next_cycle()
            else:
                return not isinstance(event, h11.ConnectionClosed)

    def _respond(self) -> None:
        """Send the handler's response to the request received last."""
        if self._request is None:
            return
        request = HttpRequest(
            self._request.method.decode(), self._request.target.decode(), self._body
        )
        response = self._handler(request)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        head = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=HTTPStatus(response.status).phrase,
        )
        parts = (
            self._http.send(head),
            self._http.send(h11.Data(data=response.body)),
            self._http.send(h11.EndOfMessage()),
        )
        self._unsent += b"".join(part for part in parts if part)
        self._send()

    def _send(self) -> None:
        """Send what the socket accepts; the rest follows when it is writable."""
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The peer has disconnected; the next read reports it.
            self._unsent = b""
            return
        self._unsent = self._unsent[sent:]
        on_writable = self._send if self._unsent else None
        self._loop.watch(self._socket, self._on_readable, on_writable)
