"""Client that sends one request over one TCP connection."""

import hashlib
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from papayagw._internal.load.profiles import RequestKind
from papayagw._internal.load.verdict import (
    Outcome,
    judge_echo,
    judge_feed_line,
    judge_single_line,
    judge_upload,
)
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.workload import Request, Verb

MAX_LINE_BYTES = 1_024
ECHO_PADDING = "x" * 160
_UPLOAD_PATTERN = bytes(range(256))

FirstLineCallback = Callable[[], None]


class Exchange:
    """Exchange of one request and its response over a connection.

    Parameters
    ----------
    stream : SocketStream
        Stream of the open connection.
    kind : RequestKind
        Kind of the request.
    request : Request
        Request to send.
    on_first_line : callable
        Called when the first line of the response has been received.
    """

    def __init__(
        self,
        stream: SocketStream,
        kind: RequestKind,
        request: Request,
        on_first_line: FirstLineCallback,
    ):
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._kind = kind
        self._request = request
        self._on_first_line = on_first_line

    async def run(self) -> Outcome:
        """Send the request and classify its response."""
        runners: dict[Verb, Callable[[], Awaitable[Outcome]]] = {
            Verb.FEED: self._run_feed,
            Verb.UPLOAD: self._run_upload,
            Verb.ECHO: self._run_echo,
        }
        await self._stream.send(self._request.format_line())
        return await runners.get(self._request.verb, self._run_single_line)()

    async def _read_line(self) -> str:
        line = await self._reader.receive_until(b"\n", MAX_LINE_BYTES)
        return line.decode("ascii", "replace")

    async def _run_single_line(self) -> Outcome:
        line = await self._read_line()
        self._on_first_line()
        return judge_single_line(self._request, self._kind.service, line)

    async def _run_upload(self) -> Outcome:
        body = make_upload_body(self._request)
        await self._stream.send(body)
        line = await self._read_line()
        self._on_first_line()
        digest = hashlib.sha256(body).hexdigest()
        return judge_upload(self._request, self._kind.service, digest, line)

    async def _run_feed(self) -> Outcome:
        for number in range(self._request.numbers[0] + 1):
            line = await self._read_line()
            if number == 0:
                self._on_first_line()
            service = self._kind.service
            outcome = judge_feed_line(self._request, service, number, line)
            if outcome is not Outcome.DONE:
                return outcome
        return Outcome.DONE

    async def _run_echo(self) -> Outcome:
        for number in range(self._request.numbers[0]):
            sent = f"{number}-{self._request.request_id}-{ECHO_PADDING}"
            await self._stream.send(f"{sent}\n".encode())
            line = await self._read_line()
            if number == 0:
                self._on_first_line()
            outcome = judge_echo(self._request, self._kind.service, sent, line)
            if outcome is not Outcome.DONE:
                return outcome
            await anyio.sleep(to_seconds(self._kind.pause))
        return Outcome.DONE


def make_upload_body(request: Request) -> bytes:
    """Return the upload body; it starts with the request id, so that bodies differ."""
    size = request.numbers[0]
    name = request.request_id.encode()
    body = _UPLOAD_PATTERN * (size // len(_UPLOAD_PATTERN) + 1)
    return (name + body)[:size]


async def run_request(
    target: Endpoint,
    kind: RequestKind,
    request: Request,
    timeout: Millis,
    on_first_line: FirstLineCallback,
) -> Outcome:
    """Connect, exchange one request and return its outcome.

    The time limit is `timeout` plus the scheduled duration of the request. Reaching
    it gives UNKNOWN, a failed connection attempt REFUSED, and a connection that
    ends early or an overlong line BROKEN.
    """
    limit_s = to_seconds(Millis(timeout + kind.duration))
    try:
        with anyio.fail_after(limit_s):
            async with await anyio.connect_tcp(*target.sockaddr) as stream:
                return await Exchange(stream, kind, request, on_first_line).run()
    except TimeoutError:
        return Outcome.UNKNOWN
    except OSError:
        return Outcome.REFUSED
    except (anyio.EndOfStream, anyio.IncompleteRead, anyio.DelimiterNotFound):
        return Outcome.BROKEN
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return Outcome.BROKEN
