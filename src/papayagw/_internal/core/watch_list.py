"""Heartbeat bookkeeping for the agents that one balancer watches.

Missing heartbeats alone don't lead to a suspicion: a watcher first sends a liveness
request to another watcher of the agent, whose response counts as a heartbeat.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from papayagw._internal.models.agent import Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

LIVENESS_REQUEST_AFTER_INTERVALS = 2.3
"""Number of intervals without a heartbeat after which a liveness request is sent."""

SUSPECT_AFTER_INTERVALS = 3.0
"""Number of intervals without a heartbeat after which a watcher suspects an agent."""

MAX_LIVENESS_RESPONSES = 3
"""Number of successive liveness responses that count.

Each of them after the first doubles the timeout of the agent.
"""

RESUME_GRACE_MS = Millis(4_000)
"""Time after a pause in which agents that dropped this watcher reconnect to it."""

INITIAL_INTERVAL_MS = Millis(2_000)
"""Heartbeat interval that is assumed until one is assigned to the agent."""


@dataclass(frozen=True, slots=True)
class _Watched:
    """The last heartbeat of a watched agent and the steps taken since."""

    incarnation: Incarnation
    heartbeat_number: int
    received_at: Millis
    interval_ms: Millis
    request_sent: bool = False
    suspected: bool = False
    pause_compensated: bool = False
    response_count: int = 0


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A heartbeat that was received.

    Attributes
    ----------
    number : int
        The number of the heartbeat.
    received_at : Millis
        The time at which it was received.
    """

    number: int
    received_at: Millis


@dataclass(frozen=True, slots=True)
class OverdueAgents:
    """Agents whose heartbeats are overdue.

    Attributes
    ----------
    request_liveness : tuple of Endpoint
        Agents about which another watcher has to be sent a liveness request.
    suspect : tuple of Endpoint
        Agents that have to be suspected.
    """

    request_liveness: tuple[Endpoint, ...]
    suspect: tuple[Endpoint, ...]


class WatchList:
    """The last heartbeat of each watched agent."""

    def __init__(self) -> None:
        self._watched: dict[Endpoint, _Watched] = {}

    def __len__(self) -> int:
        return len(self._watched)

    @property
    def direct_count(self) -> int:
        """The number of agents whose last heartbeat wasn't reported by another node."""
        return sum(not watched.response_count for watched in self._watched.values())

    def __contains__(self, endpoint: Endpoint) -> bool:
        return endpoint in self._watched

    def add(self, endpoint: Endpoint, incarnation: Incarnation, now: Millis) -> None:
        """Start to watch an agent, or restart for a newer incarnation."""
        known = self._watched.get(endpoint)
        if known is None or known.incarnation < incarnation:
            self._watched[endpoint] = _Watched(incarnation, 0, now, INITIAL_INTERVAL_MS)

    def set_interval(self, endpoint: Endpoint, interval_ms: Millis) -> None:
        """Set the heartbeat interval that was assigned to an agent."""
        watched = self._watched.get(endpoint)
        if watched is not None:
            self._watched[endpoint] = replace(watched, interval_ms=interval_ms)

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an agent from the list, if it is watched."""
        self._watched.pop(endpoint, None)

    def record_heartbeat(
        self,
        endpoint: Endpoint,
        incarnation: Incarnation,
        heartbeat_number: int,
        now: Millis,
    ) -> bool:
        """Record a heartbeat; return False for an outdated one, which is ignored."""
        self.add(endpoint, incarnation, now)
        watched = self._watched[endpoint]
        if (
            incarnation != watched.incarnation
            or heartbeat_number <= watched.heartbeat_number
        ):
            return False
        self._watched[endpoint] = _Watched(
            incarnation, heartbeat_number, now, watched.interval_ms
        )
        return True

    def record_liveness_response(
        self, endpoint: Endpoint, incarnation: Incarnation, heartbeat: ReceivedHeartbeat
    ) -> bool:
        """Record a liveness response, which counts as a heartbeat.

        An agent that reaches other watchers but not this node probably has a
        different list of watchers, so the interval between requests is increased.
        """
        watched = self._watched.get(endpoint)
        response_count = 0 if watched is None else watched.response_count
        if watched is None or not self.record_heartbeat(
            endpoint, incarnation, heartbeat.number, heartbeat.received_at
        ):
            return False
        self._watched[endpoint] = replace(
            self._watched[endpoint],
            response_count=min(response_count + 1, MAX_LIVENESS_RESPONSES),
        )
        return True

    def get_heartbeat(
        self, endpoint: Endpoint, incarnation: Incarnation, since: Millis
    ) -> ReceivedHeartbeat | None:
        """Return an agent's last heartbeat if not received before `since`, else None.

        The result is also None while the time of receipt has been shifted by a pause.
        """
        watched = self._watched.get(endpoint)
        if watched is None or watched.incarnation != incarnation:
            return None
        if (
            watched.received_at < since
            or not watched.heartbeat_number
            or watched.pause_compensated
        ):
            return None
        return ReceivedHeartbeat(watched.heartbeat_number, watched.received_at)

    def find_overdue(self, now: Millis) -> OverdueAgents:
        """Return the agents that have become overdue since the last call."""
        request_liveness: list[Endpoint] = []
        suspect: list[Endpoint] = []
        for endpoint, watched in list(self._watched.items()):
            timeout_ms = watched.interval_ms << max(0, watched.response_count - 1)
            intervals = (now - watched.received_at) / timeout_ms
            if (
                not watched.request_sent
                and intervals >= LIVENESS_REQUEST_AFTER_INTERVALS
            ):
                self._watched[endpoint] = replace(watched, request_sent=True)
                request_liveness.append(endpoint)
            elif not watched.suspected and intervals >= SUSPECT_AFTER_INTERVALS:
                self._watched[endpoint] = replace(watched, suspected=True)
                suspect.append(endpoint)
        return OverdueAgents(tuple(request_liveness), tuple(suspect))

    def list_watched(self) -> Iterator[tuple[Endpoint, bool]]:
        """Return each agent and whether it is overdue long enough to be suspected."""
        return (
            (endpoint, watched.suspected) for endpoint, watched in self._watched.items()
        )

    def list_silent_since(self, since: Millis) -> Sequence[Endpoint]:
        """Return the agents whose last heartbeat was received before `since`."""
        return [
            endpoint
            for endpoint, watched in self._watched.items()
            if watched.received_at < since
        ]

    def compensate_pause(self, pause_ms: Millis) -> None:
        """Extend the timeouts of all agents by a pause of this process."""
        for endpoint, watched in list(self._watched.items()):
            received_at = Millis(watched.received_at + pause_ms + RESUME_GRACE_MS)
            compensated = replace(
                watched, received_at=received_at, pause_compensated=True
            )
            self._watched[endpoint] = compensated
