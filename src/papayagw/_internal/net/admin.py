"""Admin endpoint of a node: ``GET /status`` over HTTP/1.1.

It is meant for operators on the management network. It is read-only and accepts no
commands. Each connection serves one request, with limits on time and size.
"""

from collections.abc import Callable
from http import HTTPStatus

import anyio
import h11

from papayagw import __version__
from papayagw._internal.exceptions import Step
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.status import StatusReport
from papayagw._internal.net.byte_stream import StreamBrokenError
from papayagw._internal.net.tcp import TcpListener, TcpStream
from papayagw._internal.observe.logs import Log
from papayagw._internal.observe.status_json import encode_status

STATUS_PATH = b"/status"
MAX_REQUEST_BYTES = 8_192
MAX_CONNECTIONS = 16
REQUEST_TIMEOUT_MS = Millis(5_000)
EMPTY_BODY = b""


class AdminServer:
    """HTTP server for the status of a node.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint to listen on.
    report : callable
        Returns the status report of the node.
    log : Log
        Receives exceptions raised by `report`.
    """

    def __init__(
        self, endpoint: Endpoint, report: Callable[[], StatusReport], log: Log
    ):
        self._listener = TcpListener(endpoint)
        self._report = report
        self._log = log
        self._connections = 0

    def start(self) -> None:
        """Start to listen.

        Raises
        ------
        BindError
            If the endpoint is in use or isn't an address of this machine.
        """
        self._listener.start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    async def run(self) -> None:
        """Serve connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            await self._listener.serve(self._handle_connection, tasks)

    async def _handle_connection(self, stream: TcpStream) -> None:
        try:
            if self._connections < MAX_CONNECTIONS:
                await self._serve_with_timeout(stream)
        except StreamBrokenError:
            # The client closed the connection; there is nobody to respond to.
            pass
        finally:
            stream.close()

    async def _serve_with_timeout(self, stream: TcpStream) -> None:
        self._connections += 1
        try:
            with anyio.move_on_after(to_seconds(REQUEST_TIMEOUT_MS)):
                await self._serve_request(stream)
        finally:
            self._connections -= 1

    async def _serve_request(self, stream: TcpStream) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        try:
            request = await _read_request(stream, connection)
        except h11.RemoteProtocolError as error:
            status, body = HTTPStatus(error.error_status_hint), EMPTY_BODY
        else:
            if request is None:
                return
            status, body = self._make_response(request)
        await stream.send(_encode_response(connection, status, body))

    def _make_response(self, request: h11.Request) -> tuple[HTTPStatus, bytes]:
        if request.target.partition(b"?")[0] != STATUS_PATH:
            return HTTPStatus.NOT_FOUND, EMPTY_BODY
        if request.method != b"GET":
            return HTTPStatus.METHOD_NOT_ALLOWED, EMPTY_BODY
        try:
            return HTTPStatus.OK, encode_status(self._report())
        except Exception:
            # A bug in the status report must not stop the node.
            self._log.exception("status report failed", step=Step.STATUS)
            return HTTPStatus.INTERNAL_SERVER_ERROR, EMPTY_BODY


async def _read_request(
    stream: TcpStream, connection: h11.Connection
) -> h11.Request | None:
    """Return the request, or None if the client disconnects before its end."""
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        connection.receive_data(await stream.receive())


def _encode_response(
    connection: h11.Connection, status: HTTPStatus, body: bytes
) -> bytes:
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        ("server", f"papayagw/{__version__}"),
        ("connection", "close"),
    ]
    response = h11.Response(status_code=status, headers=headers, reason=status.phrase)
    parts = (response, h11.Data(body), h11.EndOfMessage())
    return b"".join(connection.send(part) or b"" for part in parts)
