"""The admin endpoint of a node: ``GET /status`` over HTTP/1.1.

It is for operators on the management network: it only tells, and takes no
command. Each connection gets one answer, within limits of time and size.
"""

from collections.abc import Callable
from http import HTTPStatus

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup

from papayagw import __version__
from papayagw._internal.exceptions import BindError, Step
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.status import StatusReport
from papayagw._internal.observe.logs import Log
from papayagw._internal.observe.status_json import write_status

STATUS_PATH = b"/status"
MAX_REQUEST_BYTES = 8_192
MAX_CONNECTIONS = 16
REQUEST_TIMEOUT_MS = Millis(5_000)
EMPTY_BODY = b""
_READ_BYTES = 4_096


class AdminServer:
    """Answers operators' questions about a node.

    Parameters
    ----------
    endpoint : Endpoint
        Where to listen.
    report : callable
        Returns the node's account of itself.
    log : Log
        Where a fault in `report` is logged.
    """

    def __init__(
        self, endpoint: Endpoint, report: Callable[[], StatusReport], log: Log
    ):
        self._endpoint = endpoint
        self._report = report
        self._log = log
        self._connections = 0
        self._serving = False
        self._scope = anyio.CancelScope()
        self._closed = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        """Listen, and serve in `tasks` until `close`.

        Raises
        ------
        BindError
            If the endpoint is taken or isn't of this host.
        """
        try:
            listener = await anyio.create_tcp_listener(
                local_host=self._endpoint.ip, local_port=self._endpoint.port
            )
        except OSError as error:
            raise BindError(
                f"can't listen for operators: {error.strerror}",
                step=Step.BIND,
                peer=str(self._endpoint),
                remedy="choose an address of this host and a free port",
            ) from error
        self._serving = True
        tasks.start_soon(self._serve, listener)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._scope.cancel()
        if self._serving:
            await self._closed.wait()

    async def _serve(self, listener: anyio.abc.Listener[SocketStream]) -> None:
        try:
            with self._scope:
                async with listener:
                    await listener.serve(self._handle)
        finally:
            self._closed.set()

    async def _handle(self, stream: SocketStream) -> None:
        async with stream:
            if self._connections >= MAX_CONNECTIONS:
                return
            self._connections += 1
            try:
                with anyio.move_on_after(to_seconds(REQUEST_TIMEOUT_MS)):
                    await self._converse(stream)
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                # The operator's side went away; nothing is left to answer.
                pass
            finally:
                self._connections -= 1

    async def _converse(self, stream: SocketStream) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        try:
            request = await _read_request(stream, connection)
        except h11.RemoteProtocolError as error:
            status, body = HTTPStatus(error.error_status_hint), EMPTY_BODY
        else:
            status, body = self._answer(request)
        await stream.send(_write_response(connection, status, body))

    def _answer(self, request: h11.Request) -> tuple[HTTPStatus, bytes]:
        if request.target.partition(b"?")[0] != STATUS_PATH:
            return HTTPStatus.NOT_FOUND, EMPTY_BODY
        if request.method != b"GET":
            return HTTPStatus.METHOD_NOT_ALLOWED, EMPTY_BODY
        try:
            return HTTPStatus.OK, write_status(self._report())
        except Exception:
            # A fault in the account must not stop the node that it is about.
            self._log.exception("status report failed", step=Step.STATUS)
            return HTTPStatus.INTERNAL_SERVER_ERROR, EMPTY_BODY


async def _read_request(
    stream: SocketStream, connection: h11.Connection
) -> h11.Request:
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            raise anyio.EndOfStream
        connection.receive_data(await stream.receive(_READ_BYTES))


def _write_response(
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
