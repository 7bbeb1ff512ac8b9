"""The agents that one balancer watches.

Silence alone isn't suspicion: before it suspects an agent, a watcher asks the
agent's other watchers, and their word counts as a heartbeat.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from papayagw._internal.models.agent import Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

INQUIRE_BEATS = 2.3
"""After how many silent intervals a watcher asks the others."""

SUSPECT_BEATS = 3.0
"""After how many silent intervals a watcher suspects."""

MAX_VOUCHED = 3
"""How often another watcher's word doubles the patience with an agent."""

WAKE_GRACE_MS = Millis(4_000)
"""The time after a pause in which agents that gave this node up find it again."""

FIRST_INTERVAL_MS = Millis(2_000)
"""The interval that is assumed of an agent until it is told one."""


@dataclass(frozen=True, slots=True)
class _Watched:
    """What a watcher knows of one agent."""

    incarnation: Incarnation
    beat: int
    heard_at: Millis
    interval_ms: Millis
    inquired: bool = False
    suspected: bool = False
    excused: bool = False
    vouched: int = 0


@dataclass(frozen=True, slots=True)
class Beat:
    """A heartbeat that was heard.

    Attributes
    ----------
    number : int
        Its number.
    heard_at : Millis
        When it was heard.
    """

    number: int
    heard_at: Millis


@dataclass(frozen=True, slots=True)
class Silence:
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
    def heard_count(self) -> int:
        """How many of the agents this node hears itself."""
        return sum(not watched.vouched for watched in self._watched.values())

    def __contains__(self, endpoint: Endpoint) -> bool:
        return endpoint in self._watched

    def add(self, endpoint: Endpoint, incarnation: Incarnation, now: Millis) -> None:
        """Watch an agent from now on."""
        known = self._watched.get(endpoint)
        if known is None or known.incarnation < incarnation:
            self._watched[endpoint] = _Watched(incarnation, 0, now, FIRST_INTERVAL_MS)

    def note_interval(self, endpoint: Endpoint, interval_ms: Millis) -> None:
        """Note the time between heartbeats that an agent was told."""
        watched = self._watched.get(endpoint)
        if watched is not None:
            self._watched[endpoint] = replace(watched, interval_ms=interval_ms)

    def remove(self, endpoint: Endpoint) -> None:
        """Watch an agent no longer."""
        self._watched.pop(endpoint, None)

    def note_beat(
        self, endpoint: Endpoint, incarnation: Incarnation, beat: int, now: Millis
    ) -> bool:
        """Note a heartbeat; return False for a late one, which counts for nothing."""
        self.add(endpoint, incarnation, now)
        watched = self._watched[endpoint]
        if incarnation != watched.incarnation or beat <= watched.beat:
            return False
        self._watched[endpoint] = _Watched(incarnation, beat, now, watched.interval_ms)
        return True

    def note_voucher(
        self, endpoint: Endpoint, incarnation: Incarnation, beat: Beat
    ) -> bool:
        """Note another watcher's word, which counts as a heartbeat.

        An agent that others hear and this node doesn't probably has other watchers
        in its own view, so this node asks about it less and less often.
        """
        watched = self._watched.get(endpoint)
        vouched = 0 if watched is None else watched.vouched
        if watched is None or not self.note_beat(
            endpoint, incarnation, beat.number, beat.heard_at
        ):
            return False
        self._watched[endpoint] = replace(
            self._watched[endpoint], vouched=min(vouched + 1, MAX_VOUCHED)
        )
        return True

    def get_beat(
        self, endpoint: Endpoint, incarnation: Incarnation, since: Millis
    ) -> Beat | None:
        """Return the last beat of an agent that was heard after `since`, or None."""
        watched = self._watched.get(endpoint)
        if watched is None or watched.incarnation != incarnation:
            return None
        if watched.heard_at < since or not watched.beat or watched.excused:
            return None
        return Beat(watched.beat, watched.heard_at)

    def find_silent(self, now: Millis) -> Silence:
        """Return the agents that have fallen silent since the last call."""
        inquire: list[Endpoint] = []
        suspect: list[Endpoint] = []
        for endpoint, watched in list(self._watched.items()):
            patience_ms = watched.interval_ms << max(0, watched.vouched - 1)
            beats = (now - watched.heard_at) / patience_ms
            if not watched.inquired and beats >= INQUIRE_BEATS:
                self._watched[endpoint] = replace(watched, inquired=True)
                inquire.append(endpoint)
            elif not watched.suspected and beats >= SUSPECT_BEATS:
                self._watched[endpoint] = replace(watched, suspected=True)
                suspect.append(endpoint)
        return Silence(tuple(inquire), tuple(suspect))

    def list_watched(self) -> Iterator[tuple[Endpoint, bool]]:
        """Return each agent and whether its silence is long enough to suspect it."""
        return ((one, at.suspected) for one, at in self._watched.items())

    def list_silent_since(self, since: Millis) -> Sequence[Endpoint]:
        """Return the agents that weren't heard after `since`."""
        return [one for one, at in self._watched.items() if at.heard_at < since]

    def excuse(self, pause_ms: Millis) -> None:
        """Forgive all a silence during which this node was itself paused."""
        for endpoint, watched in list(self._watched.items()):
            heard_at = Millis(watched.heard_at + pause_ms + WAKE_GRACE_MS)
            excused = replace(watched, heard_at=heard_at, excused=True)
            self._watched[endpoint] = excused
