"""Client of the platform's key-value service over the etcd v3 JSON gateway."""

import json
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import anyio
import httpx
from returns.result import Failure, Result, Success

from papayagw._internal.exceptions import (
    MALFORMED_JSON_ERRORS,
    PlatformError,
    PlatformUnreachableError,
    Step,
)
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.store.etcd_messages import (
    Message,
    build_range_request,
    build_swap_request,
    build_watch_request,
    parse_range_response,
    parse_revision,
    parse_swap_response,
    parse_watch_events,
)
from papayagw._internal.store.keepalive import KEEPALIVE_OPTIONS
from papayagw._internal.store.protocol import (
    MAX_VALUE_BYTES,
    Entry,
    Snapshot,
    SwapResult,
)

ResponseT = TypeVar("ResponseT")

_CONNECT_TIMEOUT_S = 2.0
_FIRST_SERVER_ERROR = 500
"""Lowest HTTP status code of a server error."""


class EtcdStore:
    """Client of the platform's key-value service at one or more base URLs.

    The HTTP client is created by the first call, and by the first call after `close`.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the same service. They are tried in order until a connection
        succeeds.
    """

    def __init__(self, urls: Sequence[str]):
        self._urls = tuple(urls)
        self._client: httpx.AsyncClient | None = None

    async def get(
        self, key: str, timeout_ms: Millis
    ) -> Result[Snapshot, PlatformError]:
        """Read the value of `key` and the revision of the store."""
        return await self._call_with_timeout(
            "/v3/kv/range", build_range_request(key), timeout_ms, parse_range_response
        )

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, timeout_ms: Millis
    ) -> Result[SwapResult, PlatformError]:
        """Write `value` if the revision of `key` is still `expected`."""
        if len(value) > MAX_VALUE_BYTES:
            return Failure(_make_too_large_error(key, len(value)))
        request = build_swap_request(key, value, expected)
        return await self._call_with_timeout(
            "/v3/kv/txn", request, timeout_ms, parse_swap_response
        )

    async def watch(
        self,
        key: str,
        after: int,
        on_entry: Callable[[Entry], None],
        timeout_ms: Millis,
    ) -> Result[int, PlatformError]:
        """Report each write to `key` to `on_entry` until `timeout_ms` has passed."""
        progress = _WatchProgress(after, on_entry)
        request = build_watch_request(key, after)
        with anyio.move_on_after(to_seconds(timeout_ms)) as scope:
            failure = await self._try_urls(
                lambda url: self._stream_watch(url, request, progress)
            )
            if isinstance(failure, Failure):
                return failure
        if scope.cancelled_caught or progress.is_finished:
            return Success(progress.revision)
        return Failure(
            _make_unreachable_error(self._urls[0], "the watch stream was closed early")
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.aclose()
        self._client = None

    def _open_client(self) -> httpx.AsyncClient:
        """Return the HTTP client, which the first call creates."""
        if self._client is None:
            transport = httpx.AsyncHTTPTransport(socket_options=KEEPALIVE_OPTIONS)
            self._client = httpx.AsyncClient(trust_env=False, transport=transport)
        return self._client

    async def _call_with_timeout(
        self,
        path: str,
        request: Message,
        timeout_ms: Millis,
        parse: Callable[[Message], ResponseT],
    ) -> Result[ResponseT, PlatformError]:
        """Post a request and return the parsed response, or the error of a time-out."""
        with anyio.move_on_after(to_seconds(timeout_ms)):
            return await self._try_urls(
                lambda url: self._post(url, path, request, parse)
            )
        return Failure(
            _make_unreachable_error(self._urls[0], f"no answer in {timeout_ms} ms")
        )

    async def _try_urls(
        self, call: Callable[[str], Awaitable[Result[ResponseT, PlatformError]]]
    ) -> Result[ResponseT, PlatformError]:
        """Return the first result; try the next URL only if connecting fails."""
        for url in self._urls:
            try:
                return await call(url)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
            except httpx.HTTPError as error:
                return Failure(
                    _make_unreachable_error(url, str(error) or type(error).__name__)
                )
        return Failure(
            _make_unreachable_error(", ".join(self._urls), "cannot connect to any URL")
        )

    async def _post(
        self,
        url: str,
        path: str,
        request: Message,
        parse: Callable[[Message], ResponseT],
    ) -> Result[ResponseT, PlatformError]:
        """Post a request to one URL and return the parsed response or its error."""
        timeout = httpx.Timeout(None, connect=_CONNECT_TIMEOUT_S)
        response = await self._open_client().post(
            url + path, json=request, timeout=timeout
        )
        if response.status_code >= _FIRST_SERVER_ERROR:
            return Failure(
                _make_unreachable_error(url, f"HTTP status {response.status_code}")
            )
        if response.is_error:
            return Failure(_make_refused_error(url, response.text))
        try:
            return Success(parse(response.json()))
        except MALFORMED_JSON_ERRORS as error:
            return Failure(_make_unreachable_error(url, f"invalid response: {error!r}"))

    async def _stream_watch(
        self, url: str, request: Message, progress: "_WatchProgress"
    ) -> Result[int, PlatformError]:
        """Read one watch stream until it ends, and return the last revision."""
        timeout = httpx.Timeout(None, connect=_CONNECT_TIMEOUT_S)
        target = url + "/v3/watch"
        async with self._open_client().stream(
            "POST", target, json=request, timeout=timeout
        ) as response:
            if response.is_error:
                return Failure(
                    _make_unreachable_error(url, f"HTTP status {response.status_code}")
                )
            async for line in response.aiter_lines():
                try:
                    progress.handle_message(json.loads(line)["result"])
                except MALFORMED_JSON_ERRORS as error:
                    return Failure(
                        _make_unreachable_error(url, f"invalid response: {error!r}")
                    )
                if progress.is_finished:
                    break
        return Success(progress.revision)


class _WatchProgress:
    """Progress of a watch: the last revision received and whether it has ended."""

    def __init__(self, after: int, on_entry: Callable[[Entry], None]):
        self._after = after
        self._on_entry = on_entry
        self._cancelled = False
        self._revision = after

    @property
    def revision(self) -> int:
        """The store revision in the header of the last message received."""
        return self._revision

    @property
    def is_finished(self) -> bool:
        """Whether no further events will arrive.

        Either the store cancelled the watch, or its revision is lower than the one
        that the watch started after.
        """
        return self._cancelled or self._revision < self._after

    def handle_message(self, message: Message) -> None:
        """Record the revision of a stream message and report its writes."""
        self._revision = parse_revision(message)
        self._cancelled = bool(message.get("canceled", False))
        for entry in parse_watch_events(message):
            self._on_entry(entry)


def _make_unreachable_error(url: str, reason: str) -> PlatformUnreachableError:
    return PlatformUnreachableError(
        f"the platform's service gave no answer: {reason}",
        step=Step.PLATFORM,
        peer=url,
        remedy="see whether the service runs at this URL",
    )


def _make_refused_error(url: str, reason: str) -> PlatformError:
    return PlatformError(
        f"the platform's service refused the call: {reason}",
        step=Step.PLATFORM,
        peer=url,
    )


def _make_too_large_error(key: str, size: int) -> PlatformError:
    return PlatformError(
        f"the value of {key} has {size} bytes, the limit is {MAX_VALUE_BYTES}",
        step=Step.PLATFORM,
        remedy="describe fewer services in one site",
    )
