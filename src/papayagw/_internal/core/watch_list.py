"""The agents that one balancer watches.

Silence alone isn't suspicion: before it suspects an agent, a watcher asks the
agent's other watchers, and their word counts as a heartbeat.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from papayagw._internal.models.agent import Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

INQUIRE_AFTER_INTERVALS = 2.3
"""After how many silent intervals a watcher asks the others."""

SUSPECT_AFTER_INTERVALS = 3.0
"""After how many silent intervals a watcher suspects."""

MAX_VOUCHERS = 3
"""How often another watcher's word doubles the patience with an agent."""

RESUME_GRACE_MS = Millis(4_000)
"""The time after a pause in which agents that gave this node up find it again."""

INITIAL_INTERVAL_MS = Millis(2_000)
"""The interval that is assumed of an agent until it is told one."""


@dataclass(frozen=True, slots=True)
class _Watched:
    """What a watcher knows of one agent."""

    incarnation: Incarnation
    beat: int
    received_at: Millis
    interval_ms: Millis
    inquired: bool = False
    suspected: bool = False
    pause_compensated: bool = False
    voucher_count: int = 0


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A heartbeat that was heard.

    Attributes
    ----------
    number : int
        Its number.
    heard_at : Millis
        When it was heard.
    """

    number: int
    received_at: Millis


@dataclass(frozen=True, slots=True)
class OverdueAgents:
    """Agents that have fallen silent.

    Attributes
    ----------
    inquire : tuple of Endpoint
        Ask their other watchers.
    suspect : tuple of Endpoint
        Suspect them.
    """

    inquire: tuple[Endpoint, ...]
    suspect: tuple[Endpoint, ...]


class WatchList:
    """When each watched agent was heard."""

    def __init__(self) -> None:
        self._watched: dict[Endpoint, _Watched] = {}

    def __len__(self) -> int:
        return len(self._watched)

    @property
    def direct_count(self) -> int:
        """How many of the agents this node hears itself."""
        return sum(not watched.voucher_count for watched in self._watched.values())

    def __contains__(self, endpoint: Endpoint) -> bool:
        return endpoint in self._watched

    def add(self, endpoint: Endpoint, incarnation: Incarnation, now: Millis) -> None:
        """Watch an agent from now on."""
        known = self._watched.get(endpoint)
        if known is None or known.incarnation < incarnation:
            self._watched[endpoint] = _Watched(incarnation, 0, now, INITIAL_INTERVAL_MS)

    def set_interval(self, endpoint: Endpoint, interval_ms: Millis) -> None:
        """Note the time between heartbeats that an agent was told."""
        watched = self._watched.get(endpoint)
        if watched is not None:
            self._watched[endpoint] = replace(watched, interval_ms=interval_ms)

    def remove(self, endpoint: Endpoint) -> None:
        """Watch an agent no longer."""
        self._watched.pop(endpoint, None)

    def record_heartbeat(
        self, endpoint: Endpoint, incarnation: Incarnation, beat: int, now: Millis
    ) -> bool:
        """Note a heartbeat; return False for a late one, which counts for nothing."""
        self.add(endpoint, incarnation, now)
        watched = self._watched[endpoint]
        if incarnation != watched.incarnation or beat <= watched.beat:
            return False
        self._watched[endpoint] = _Watched(incarnation, beat, now, watched.interval_ms)
        return True

    def record_voucher(
        self, endpoint: Endpoint, incarnation: Incarnation, beat: ReceivedHeartbeat
    ) -> bool:
        """Note another watcher's word, which counts as a heartbeat.

        An agent that others hear and this node doesn't probably has other watchers
        in its own view, so this node asks about it less and less often.
        """
        watched = self._watched.get(endpoint)
        voucher_count = 0 if watched is None else watched.voucher_count
        if watched is None or not self.record_heartbeat(
            endpoint, incarnation, beat.number, beat.received_at
        ):
            return False
        self._watched[endpoint] = replace(
            self._watched[endpoint], voucher_count=min(voucher_count + 1, MAX_VOUCHERS)
        )
        return True

    def get_heartbeat(
        self, endpoint: Endpoint, incarnation: Incarnation, since: Millis
    ) -> ReceivedHeartbeat | None:
        """Return the last beat of an agent that was heard after `since`, or None."""
        watched = self._watched.get(endpoint)
        if watched is None or watched.incarnation != incarnation:
            return None
        if watched.received_at < since or not watched.beat or watched.pause_compensated:
            return None
        return ReceivedHeartbeat(watched.beat, watched.received_at)

    def find_overdue(self, now: Millis) -> OverdueAgents:
        """Return the agents that have fallen silent since the last call."""
        inquire: list[Endpoint] = []
        suspect: list[Endpoint] = []
        for endpoint, watched in list(self._watched.items()):
            timeout_ms = watched.interval_ms << max(0, watched.voucher_count - 1)
            intervals = (now - watched.received_at) / timeout_ms
            if not watched.inquired and intervals >= INQUIRE_AFTER_INTERVALS:
                self._watched[endpoint] = replace(watched, inquired=True)
                inquire.append(endpoint)
            elif not watched.suspected and intervals >= SUSPECT_AFTER_INTERVALS:
                self._watched[endpoint] = replace(watched, suspected=True)
                suspect.append(endpoint)
        return OverdueAgents(tuple(inquire), tuple(suspect))

    def list_watched(self) -> Iterator[tuple[Endpoint, bool]]:
        """Return each agent and whether its silence is long enough to suspect it."""
        return ((one, at.suspected) for one, at in self._watched.items())

    def list_silent_since(self, since: Millis) -> Sequence[Endpoint]:
        """Return the agents that weren't heard after `since`."""
        return [one for one, at in self._watched.items() if at.received_at < since]

    def compensate_pause(self, pause_ms: Millis) -> None:
        """Forgive all a silence during which this node was itself paused."""
        for endpoint, watched in list(self._watched.items()):
            received_at = Millis(watched.received_at + pause_ms + RESUME_GRACE_MS)
            compensated = replace(
                watched, received_at=received_at, pause_compensated=True
            )
            self._watched[endpoint] = compensated
