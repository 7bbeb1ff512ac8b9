"""A bounded queue of admission requests, fair between clients.

A full queue takes a newcomer in place of the newest request of the client with
the longest line, so that a burst of one client pushes out only its own.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from papayagw._internal.models.admission import AdmissionRequest, FlowNumber
from papayagw._internal.models.clock import Millis


@dataclass(frozen=True, slots=True)
class _Waiting:
    request: AdmissionRequest
    until: Millis


class FairQueue:
    """Admission requests that wait, a line for each client.

    Parameters
    ----------
    capacity : int
        The most requests that wait.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._lines: dict[str, deque[_Waiting]] = {}
        self._clients: dict[FlowNumber, str] = {}

    def __len__(self) -> int:
        return len(self._clients)

    @property
    def next_expiry(self) -> Millis | None:
        """When the first request's wait is over, or None if nobody waits."""
        return min((waiting.until for waiting in self._each()), default=None)

    def holds(self, client: str) -> bool:
        """Return whether a request of `client` waits."""
        return client in self._lines

    def push(self, request: AdmissionRequest, until: Millis) -> FlowNumber | None:
        """Let a request wait; return the flow that has no place, if any.

        That may be the request's own flow.
        """
        pushed_out = None
        if len(self) >= self._capacity:
            longest = max(
                self._lines, key=lambda one: len(self._lines[one]), default=""
            )
            if self._length(request.client) >= self._length(longest):
                return request.flow
            pushed_out = self._lines[longest][-1].request.flow
            self.remove(pushed_out)
        line = self._lines.setdefault(request.client, deque())
        line.append(_Waiting(request, until))
        self._clients[request.flow] = request.client
        return pushed_out

    def pop(self, rank: Callable[[str], float | None]) -> AdmissionRequest | None:
        """Take the oldest request of the client with the lowest rank.

        Parameters
        ----------
        rank : callable
            Returns a client's rank, or None if it may have no turn now.
        """
        ranked = [
            (place, client)
            for client in self._lines
            if (place := rank(client)) is not None
        ]
        if not ranked:
            return None
        _, client = min(ranked, key=lambda item: item[0])
        request = self._lines[client][0].request
        # The client goes behind its equals.
        self._lines[client] = self._lines.pop(client)
        self.remove(request.flow)
        return request

    def remove(self, flow: FlowNumber) -> bool:
        """Take a flow out; return whether it waited."""
        client = self._clients.pop(flow, None)
        if client is None:
            return False
        line = self._lines[client]
        kept = deque(waiting for waiting in line if waiting.request.flow != flow)
        if kept:
            self._lines[client] = kept
        else:
            del self._lines[client]
        return True

    def expire(self, now: Millis) -> tuple[FlowNumber, ...]:
        """Take out the flows whose wait is over and return them."""
        late = tuple(
            waiting.request.flow for waiting in self._each() if waiting.until <= now
        )
        for flow in late:
            self.remove(flow)
        return late

    def _each(self) -> Iterator[_Waiting]:
        return (waiting for line in self._lines.values() for waiting in line)

    def _length(self, client: str) -> int:
        return len(self._lines.get(client, ()))
