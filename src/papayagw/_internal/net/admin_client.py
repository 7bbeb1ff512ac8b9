"""Questions to the admin endpoints of nodes."""

from collections.abc import Sequence

import anyio
import httpx
from returns.result import Failure, Result, Success

from papayagw._internal.exceptions import StatusError, Step
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.status import StatusReport
from papayagw._internal.observe.status_json import decode_status

ASK_TIMEOUT_MS = Millis(3_000)
MAX_CONCURRENT = 32

_UNREACHABLE = "check that the node runs and that this is its admin address"
_UNREADABLE = "check that this is an admin address and that versions match"

StatusResult = Result[StatusReport, StatusError]


class AdminClient:
    """Asks nodes for their status.

    Parameters
    ----------
    timeout : Millis
        How long one node may take.
    """

    def __init__(self, timeout: Millis = ASK_TIMEOUT_MS):
        self._timeout = timeout
        self._client: httpx.AsyncClient | None = None
        self._slots = anyio.Semaphore(MAX_CONCURRENT)

    async def start(self) -> None:
        """Get ready to ask."""
        self._client = httpx.AsyncClient(timeout=None, trust_env=False)

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.aclose()
        self._client = None

    async def ask_all(self, nodes: Sequence[Endpoint]) -> tuple[StatusResult, ...]:
        """Return the answer of each node, in their order."""
        answers: dict[Endpoint, StatusResult] = {}

        async def ask_and_keep(node: Endpoint) -> None:
            async with self._slots:
                answers[node] = await self.ask(node)

        async with anyio.create_task_group() as tasks:
            for node in dict.fromkeys(nodes):
                tasks.start_soon(ask_and_keep, node)
        return tuple(answers[node] for node in nodes)

    async def ask(self, node: Endpoint) -> StatusResult:
        """Return a node's account of itself, or why there is none."""
        if self._client is None:
            return _fail("the client is closed", node, "start it")
        try:
            with anyio.fail_after(to_seconds(self._timeout)):
                response = await self._client.get(f"http://{node}/status")
        except TimeoutError:
            return _fail(f"silent for {self._timeout} ms", node, _UNREACHABLE)
        except httpx.HTTPError as error:
            return _fail(f"not reached: {error}", node, _UNREACHABLE)
        if response.status_code != httpx.codes.OK:
            return _fail(f"HTTP {response.status_code}", node, _UNREADABLE)
        match decode_status(response.content):
            case Success(report):
                return Success(report)
            case Failure(error):
                return _fail(f"answer not understood: {error}", node, _UNREADABLE)
        raise AssertionError("a result is a success or a failure")


def _fail(what: str, node: Endpoint, remedy: str) -> StatusResult:
    error = StatusError(what, step=Step.STATUS, peer=str(node), remedy=remedy)
    return Failure(error)
