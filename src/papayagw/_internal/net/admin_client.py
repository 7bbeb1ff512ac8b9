"""Client for the admin endpoints of nodes."""

from collections.abc import Sequence

import anyio
import httpx
from returns.result import Failure, Result, Success

from papayagw._internal.exceptions import StatusError, Step
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.status import StatusReport
from papayagw._internal.observe.status_json import decode_status

QUERY_TIMEOUT_MS = Millis(3_000)
MAX_CONCURRENT = 32

_UNREACHABLE_REMEDY = "check that the node runs and that this is its admin address"
_INVALID_RESPONSE_REMEDY = "check that this is an admin address and that versions match"

StatusResult = Result[StatusReport, StatusError]


class AdminClient:
    """Queries nodes for their status.

    Parameters
    ----------
    timeout : Millis
        Timeout of the request to one node, in milliseconds.
    """

    def __init__(self, timeout: Millis = QUERY_TIMEOUT_MS):
        self._timeout = timeout
        self._client: httpx.AsyncClient | None = None
        self._semaphore = anyio.Semaphore(MAX_CONCURRENT)

    async def start(self) -> None:
        """Open the HTTP client."""
        self._client = httpx.AsyncClient(timeout=None, trust_env=False)

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.aclose()
        self._client = None

    async def query_all(self, nodes: Sequence[Endpoint]) -> tuple[StatusResult, ...]:
        """Return the result of each node, in the order of `nodes`."""
        results: dict[Endpoint, StatusResult] = {}

        async def query_and_store(node: Endpoint) -> None:
            async with self._semaphore:
                results[node] = await self.query(node)

        async with anyio.create_task_group() as tasks:
            for node in dict.fromkeys(nodes):
                tasks.start_soon(query_and_store, node)
        return tuple(results[node] for node in nodes)

    async def query(self, node: Endpoint) -> StatusResult:
        """Return the status report of a node, or the error if there is none."""
        if self._client is None:
            return _make_failure(
                "the admin client isn't started", node, "call start() first"
            )
        try:
            with anyio.fail_after(to_seconds(self._timeout)):
                response = await self._client.get(f"http://{node}/status")
        except TimeoutError:
            return _make_failure(
                f"no response within {self._timeout} ms", node, _UNREACHABLE_REMEDY
            )
        except httpx.HTTPError as error:
            return _make_failure(f"request failed: {error}", node, _UNREACHABLE_REMEDY)
        if response.status_code != httpx.codes.OK:
            return _make_failure(
                f"HTTP {response.status_code}", node, _INVALID_RESPONSE_REMEDY
            )
        match decode_status(response.content):
            case Success(report):
                return Success(report)
            case Failure(error):
                return _make_failure(
                    f"invalid status report: {error}", node, _INVALID_RESPONSE_REMEDY
                )
        raise AssertionError("a result is a success or a failure")


def _make_failure(what: str, node: Endpoint, remedy: str) -> StatusResult:
    error = StatusError(what, step=Step.STATUS, peer=str(node), remedy=remedy)
    return Failure(error)
