"""HTTP/1.1 client that uses a new connection for each request.

Connections aren't reused, because one on which a response was lost may stay silent
indefinitely.
"""

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass

import h11

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.plain.adapter import Headers
from papayagw._internal.net.plain.loop import Loop
from papayagw._internal.store.keepalive import KEEPALIVE_OPTIONS

MAX_RESPONSE_BYTES = 4 << 20
"""Maximum size of a response body.

Exceeds a 1 MB page of the store, encoded in base64 with its other fields.
"""

_READ_BYTES = 65_536
"""Maximum number of bytes read from the socket at once."""


@dataclass(frozen=True, slots=True)
class HttpResult:
    """Result of an HTTP request.

    Attributes
    ----------
    status : int
        HTTP status code; 0 if there was no complete response.
    body : bytes
        Response body.
    failure : str
        Cause of the failure; empty unless `status` is 0.
    headers : Headers
        Names, in lower case, and values of the response's headers.
    """

    status: int
    body: bytes = b""
    failure: str = ""
    headers: Headers = ()


class HttpExchange:
    """One HTTP request and its response.

    Parameters
    ----------
    loop : Loop
        Event loop.
    peer : Endpoint
        HTTP server.
    method, target : str
        Method and target of the request.
    body : bytes
        JSON body of the request; empty for none.
    timeout_ms : Millis
        Limit on the time until the response is complete.
    on_result : callable
        Called once with the result, unless the exchange is closed before.
    """

    def __init__(
        self,
        loop: Loop,
        peer: Endpoint,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: Millis,
        on_result: Callable[[HttpResult], None],
    ):
        self._loop = loop
        self._peer = peer
        self._request = (method, target, body)
        self._timeout_ms = timeout_ms
        self._on_result = on_result
        self._http = h11.Connection(h11.CLIENT)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._unsent = b""
        self._status = 0
        self._headers: Headers = ()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_closed = False

    def start(self) -> None:
        """Connect and send the request."""
        self._unsent = self._write_request()
        connection = self._socket
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for level, option, value in KEEPALIVE_OPTIONS:
            connection.setsockopt(level, option, value)
        self._timer = self._loop.call_after(self._timeout_ms, self._on_timeout)
        code = connection.connect_ex(self._peer.sockaddr)
        if code not in (0, errno.EINPROGRESS):
            self._loop.call_after(Millis(0), lambda: self._fail(errno.errorcode[code]))
            return
        self._loop.watch(connection, self._on_readable, self._on_writable)

    def close(self) -> None:
        """Close the connection; `on_result` isn't called any more."""
        if self._is_closed:
            return
        self._is_closed = True
        self._timer.cancel()
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _write_request(self) -> bytes:
        """Return the encoded request."""
        method, target, body = self._request
        headers = [("Host", str(self._peer)), ("Connection", "close")]
        if body:
            headers += [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ]
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _on_writable(self) -> None:
        """Send the rest of the request."""
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error.strerror or repr(error))
            return
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._loop.watch(self._socket, self._on_readable)

    def _on_readable(self) -> None:
        """Receive a part of the response."""
        if self._is_closed:
            return
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error.strerror or repr(error))
            return
        try:
            self._http.receive_data(data)
            self._process_events(is_eof=not data)
        except h11.RemoteProtocolError as error:
            self._fail(str(error))

    def _process_events(self, *, is_eof: bool) -> None:
        """Process the received parts of the response; finish once it is complete."""
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._status = event.status_code
                self._headers = tuple(
                    (name.decode(), value.decode("latin-1"))
                    for name, value in event.headers
                )
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_bytes += len(event.data)
                if self._body_bytes > MAX_RESPONSE_BYTES:
                    self._fail("response body too large")
                    return
            elif isinstance(event, h11.EndOfMessage):
                body = b"".join(self._body)
                self._finish(HttpResult(self._status, body, headers=self._headers))
                return
            else:
                break
        if is_eof:
            self._fail("connection closed before the response was complete")

    def _on_timeout(self) -> None:
        """Fail because the response wasn't complete in time."""
        self._fail(f"no response within {self._timeout_ms} ms")

    def _fail(self, failure: str) -> None:
        """Finish without a response, with the cause."""
        self._finish(HttpResult(0, failure=failure))

    def _finish(self, result: HttpResult) -> None:
        """Close the connection and pass on the result, unless closed already."""
        if not self._is_closed:
            self.close()
            self._on_result(result)
