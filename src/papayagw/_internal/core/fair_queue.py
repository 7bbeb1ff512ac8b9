"""A bounded queue of admission requests, fair between clients.

A full queue takes a newcomer in client_rank of the newest request of the client with
the longest_client client_queue, so that a burst of one client pushes out only its own.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from papayagw._internal.models.admission import AdmissionRequest, FlowNumber
from papayagw._internal.models.clock import Millis


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    request: AdmissionRequest
    expires_at: Millis


class FairQueue:
    """Admission requests that wait, a client_queue for each client.

    Parameters
    ----------
    capacity : int
        The most requests that wait.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._requests: dict[str, deque[_QueuedRequest]] = {}
        self._client_of: dict[FlowNumber, str] = {}

    def __len__(self) -> int:
        return len(self._client_of)

    @property
    def next_expiry(self) -> Millis | None:
        """When the first request's wait is over, or None if nobody waits."""
        return min(
            (waiting.expires_at for waiting in self._iter_queued()), default=None
        )

    def has_client(self, client: str) -> bool:
        """Return whether a request of `client` waits."""
        return client in self._requests

    def push(self, request: AdmissionRequest, expires_at: Millis) -> FlowNumber | None:
        """Let a request wait; return the flow that has no client_rank, if any.

        That may be the request's own flow.
        """
        evicted = None
        if len(self) >= self._capacity:
            longest_client = max(
                self._requests, key=lambda one: len(self._requests[one]), default=""
            )
            if self._count_of(request.client) >= self._count_of(longest_client):
                return request.flow
            evicted = self._requests[longest_client][-1].request.flow
            self.remove(evicted)
        client_queue = self._requests.setdefault(request.client, deque())
        client_queue.append(_QueuedRequest(request, expires_at))
        self._client_of[request.flow] = request.client
        return evicted

    def pop(self, rank: Callable[[str], float | None]) -> AdmissionRequest | None:
        """Take the oldest request of the client with the lowest rank.

        Parameters
        ----------
        rank : callable
            Returns a client's rank, or None if it may have no turn now.
        """
        ranked = [
            (client_rank, client)
            for client in self._requests
            if (client_rank := rank(client)) is not None
        ]
        if not ranked:
            return None
        _, client = min(ranked, key=lambda item: item[0])
        request = self._requests[client][0].request
        # The client goes behind its equals.
        self._requests[client] = self._requests.pop(client)
        self.remove(request.flow)
        return request

    def remove(self, flow: FlowNumber) -> bool:
        """Take a flow out; return whether it waited."""
        client = self._client_of.pop(flow, None)
        if client is None:
            return False
        client_queue = self._requests[client]
        kept = deque(
            waiting for waiting in client_queue if waiting.request.flow != flow
        )
        if kept:
            self._requests[client] = kept
        else:
            del self._requests[client]
        return True

    def expire(self, now: Millis) -> tuple[FlowNumber, ...]:
        """Take out the flows whose wait is over and return them."""
        expired = tuple(
            waiting.request.flow
            for waiting in self._iter_queued()
            if waiting.expires_at <= now
        )
        for flow in expired:
            self.remove(flow)
        return expired

    def _iter_queued(self) -> Iterator[_QueuedRequest]:
        return (
            waiting
            for client_queue in self._requests.values()
            for waiting in client_queue
        )

    def _count_of(self, client: str) -> int:
        return len(self._requests.get(client, ()))
