"""Stand-in for a backend server: a TCP server that implements a line protocol."""

import hashlib
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from returns.pipeline import is_successful

from papayagw._internal.exceptions import BindError, Step
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.workload import (
    CALLER_VERBS,
    VERBS_BY_KIND,
    BackendPlan,
    Journal,
    Request,
    Verb,
    parse_request,
)

MAX_LINE_BYTES = 1_024
READ_BYTES = 256 << 10
_BACKLOG = 1_024
_PERCENT = 100

Handler = Callable[["Connection", Request], Awaitable[None]]


class Connection:
    """TCP connection of one caller.

    Parameters
    ----------
    stream : SocketStream
        Stream of the accepted connection.
    """

    def __init__(self, stream: SocketStream):
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)

    async def read_line(self) -> bytes:
        """Return the next line without its newline."""
        return await self._reader.receive_until(b"\n", MAX_LINE_BYTES)

    async def read_chunk(self, max_bytes: int) -> bytes:
        """Return the next available bytes, at most `max_bytes`."""
        return await self._reader.receive(max_bytes)

    async def write(self, text: str) -> None:
        """Send `text` as one line."""
        await self._stream.send(f"{text}\n".encode())

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


class BackendServer:
    """Stand-in for a backend server.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.
    plan : BackendPlan
        Service, speed and limits of the server.
    """

    def __init__(self, endpoint: Endpoint, plan: BackendPlan):
        self._endpoint = endpoint
        self._plan = plan
        self._journal = Journal()
        self._slots = anyio.Semaphore(plan.slots)
        self._connections = 0
        self._in_progress = 0
        self._is_draining = False
        self._is_shedding = False
        self._stall_ms = Millis(0)
        self._reported_load: int | None = None
        self._handlers: dict[Verb, Handler] = {
            Verb.ORDER: self._serve_order,
            Verb.CHECK: self._serve_check,
            Verb.FEED: self._serve_feed,
            Verb.UPLOAD: self._serve_upload,
            Verb.ECHO: self._serve_echo,
            Verb.RUNS: self._serve_runs,
            Verb.HEALTH: self._serve_health,
            Verb.DRAIN: self._serve_drain,
            Verb.STALL: self._serve_stall,
            Verb.SHED: self._serve_shed,
            Verb.LIE: self._serve_lie,
        }

    @property
    def journal(self) -> Journal:
        """Journal of the executed requests."""
        return self._journal

    @property
    def in_progress(self) -> int:
        """Number of requests that are in progress or queued, including feeds."""
        return self._in_progress

    def drain(self) -> None:
        """Reject new requests with SHED; requests in progress continue."""
        self._is_draining = True

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening and serve connections in `tasks`.

        Raises
        ------
        BindError
            If the address can't be bound.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(self._endpoint.sockaddr)
        except OSError as error:
            listener.close()
            raise BindError(
                error.strerror or "could not bind the listening address",
                step=Step.BIND,
                peer=str(self._endpoint),
                remedy="stop the process that uses the address, or choose another",
            ) from error
        listener.listen(_BACKLOG)
        self._listener = await SocketListener.from_socket(listener)
        tasks.start_soon(self._accept, tasks)

    async def close(self) -> None:
        """Stop listening; open connections continue."""
        await self._listener.aclose()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress or queued."""
        while self._in_progress:
            await anyio.sleep(0.01)

    async def _accept(self, tasks: TaskGroup) -> None:
        with suppress(anyio.ClosedResourceError):
            while True:
                tasks.start_soon(self._serve_connection, await self._listener.accept())

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = Connection(stream)
        self._connections += 1
        try:
            if self._connections <= self._plan.max_connections:
                await self._serve_requests(connection)
        except (anyio.EndOfStream, anyio.IncompleteRead, anyio.DelimiterNotFound):
            pass
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            peer = stream.extra(SocketAttribute.remote_address, "?")
            print(
                f"{self._plan.name}: connection from {peer} was lost: {error!r}",
                file=sys.stderr,
            )
        finally:
            self._connections -= 1
            await connection.close()

    async def _serve_requests(self, connection: Connection) -> None:
        while True:
            parsed = parse_request(await connection.read_line())
            if is_successful(parsed):
                await self._serve_request(connection, parsed.unwrap())
            else:
                await connection.write(f"ERROR {parsed.failure()} {self._plan.name}")

    async def _serve_request(self, connection: Connection, request: Request) -> None:
        """Handle a request, or reject it with WRONG or SHED.

        WRONG means that it is for another service, SHED that the server is draining
        or told to reject new requests.
        """
        name = self._plan.name
        if request.verb not in CALLER_VERBS:
            await self._handlers[request.verb](connection, request)
        elif request.verb not in VERBS_BY_KIND[self._plan.kind]:
            await connection.write(f"WRONG {request.request_id} {name}")
        elif self._is_draining or self._is_shedding:
            await connection.write(f"SHED {request.request_id} {name}")
        else:
            await self._run_handler(connection, request)

    async def _run_handler(self, connection: Connection, request: Request) -> None:
        """Handle a request and count it as in progress meanwhile."""
        self._in_progress += 1
        try:
            await self._handlers[request.verb](connection, request)
        finally:
            self._in_progress -= 1

    async def _wait_service_time(self, request: Request) -> None:
        """Wait for a free slot, record the execution and wait the service time."""
        async with self._slots:
            self._journal.record(request)
            wait = self._plan.scaled_service_ms + self._stall_ms
            await anyio.sleep(to_seconds(Millis(wait)))

    async def _serve_order(self, connection: Connection, request: Request) -> None:
        await self._wait_service_time(request)
        await connection.write(f"DONE {request.request_id} {self._plan.name}")

    async def _serve_check(self, connection: Connection, request: Request) -> None:
        await self._wait_service_time(request)
        await connection.write(f"RATE {request.request_id} {self._plan.name}")

    async def _serve_feed(self, connection: Connection, request: Request) -> None:
        count, interval = request.numbers
        self._journal.record(request)
        for number in range(count):
            await connection.write(
                f"STATUS {request.request_id} {number} {self._plan.name}"
            )
            await anyio.sleep(to_seconds(Millis(interval + self._stall_ms)))
        await connection.write(f"END {request.request_id} {count} {self._plan.name}")

    async def _serve_upload(self, connection: Connection, request: Request) -> None:
        digest = hashlib.sha256()
        remaining = request.numbers[0]
        while remaining:
            chunk = await connection.read_chunk(min(remaining, READ_BYTES))
            digest.update(chunk)
            remaining -= len(chunk)
        await self._wait_service_time(request)
        await connection.write(f"SHA256 {digest.hexdigest()} {self._plan.name}")

    async def _serve_echo(self, connection: Connection, request: Request) -> None:
        self._journal.record(request)
        for _ in range(request.numbers[0]):
            line = (await connection.read_line()).decode("ascii", "replace")
            await connection.write(
                f"ECHO {request.request_id} {line} {self._plan.name}"
            )

    async def _serve_runs(self, connection: Connection, request: Request) -> None:
        """Send the journal of executed requests."""
        await connection.write(self._journal.format_lines().rstrip("\n"))

    async def _serve_health(self, connection: Connection, request: Request) -> None:
        """Send the state and the load in percent of the slots."""
        state = "draining" if self._is_draining else "ready"
        load = self._reported_load
        if load is None:
            load = _PERCENT * self._in_progress // self._plan.slots
        await connection.write(f"HEALTH {state} {load} {self._plan.name}")

    async def _serve_drain(self, connection: Connection, request: Request) -> None:
        self.drain()
        await connection.write(f"OK {self._plan.name}")

    async def _serve_stall(self, connection: Connection, request: Request) -> None:
        """Set the delay added to each service time and feed interval."""
        self._stall_ms = Millis(request.numbers[0])
        await connection.write(f"OK {self._plan.name}")

    async def _serve_shed(self, connection: Connection, request: Request) -> None:
        """Start or stop rejecting new requests with SHED."""
        self._is_shedding = bool(request.numbers[0])
        await connection.write(f"OK {self._plan.name}")

    async def _serve_lie(self, connection: Connection, request: Request) -> None:
        """Set the load that HEALTH reports instead of the measured load."""
        self._reported_load = request.numbers[0]
        await connection.write(f"OK {self._plan.name}")
