"""Bounded queue of admission requests with fair sharing between clients.

When the queue is full, a new request evicts the newest request of the client with
the most queued requests, so that a burst of one client evicts only its own.
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
    """Bounded queue of admission requests, with a separate queue per client.

    Parameters
    ----------
    capacity : int
        Maximum number of queued requests.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._requests: dict[str, deque[_QueuedRequest]] = {}
        self._client_of: dict[FlowNumber, str] = {}

    def __len__(self) -> int:
        return len(self._client_of)

    @property
    def next_expiry(self) -> Millis | None:
        """Earliest expiry of a queued request, or None if the queue is empty."""
        return min((queued.expires_at for queued in self._iter_queued()), default=None)

    def has_client(self, client: str) -> bool:
        """Return whether a request of `client` is queued."""
        return client in self._requests

    def push(self, request: AdmissionRequest, expires_at: Millis) -> FlowNumber | None:
        """Queue a request and return the flow evicted for it, if any.

        If the client of `request` already has the most queued requests, the
        request isn't queued and its own flow is returned.
        """
        evicted = None
        if len(self) >= self._capacity:
            busiest_client = max(
                self._requests, key=lambda one: len(self._requests[one]), default=""
            )
            if self._count_queued(request.client) >= self._count_queued(busiest_client):
                return request.flow
            evicted = self._requests[busiest_client][-1].request.flow
            self.remove(evicted)
        client_queue = self._requests.setdefault(request.client, deque())
        client_queue.append(_QueuedRequest(request, expires_at))
        self._client_of[request.flow] = request.client
        return evicted

    def pop(self, rank: Callable[[str], float | None]) -> AdmissionRequest | None:
        """Remove and return the oldest request of the client with the lowest rank.

        Parameters
        ----------
        rank : callable
            Returns the rank of a client, or None to skip the client.
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
        # Move the client behind others of equal rank (round robin).
        self._requests[client] = self._requests.pop(client)
        self.remove(request.flow)
        return request

    def remove(self, flow: FlowNumber) -> bool:
        """Remove a flow and return whether it was queued."""
        client = self._client_of.pop(flow, None)
        if client is None:
            return False
        client_queue = self._requests[client]
        kept = deque(queued for queued in client_queue if queued.request.flow != flow)
        if kept:
            self._requests[client] = kept
        else:
            del self._requests[client]
        return True

    def expire(self, now: Millis) -> tuple[FlowNumber, ...]:
        """Remove and return the flows whose requests have expired."""
        expired = tuple(
            queued.request.flow
            for queued in self._iter_queued()
            if queued.expires_at <= now
        )
        for flow in expired:
            self.remove(flow)
        return expired

    def _iter_queued(self) -> Iterator[_QueuedRequest]:
        return (
            queued
            for client_queue in self._requests.values()
            for queued in client_queue
        )

    def _count_queued(self, client: str) -> int:
        return len(self._requests.get(client, ()))
