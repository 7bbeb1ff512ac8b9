"""Choice of the balancer through which an agent answers.

Balancers die without notice, so an agent spreads its answers over all balancers
that it heard from lately; a dead one falls out of the choice, and what it took
with it is sent again by the flow's loss recovery.
"""

from collections.abc import Callable

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

ALIVE_TIMEOUT_MS = Millis(500)
"""How long a balancer counts as alive after its last packet."""

MAX_STALE_BALANCERS = 4
"""How many of the last heard balancers are used when none is fresh."""

RETENTION_MS = Millis(60_000)
"""After this silence a balancer is forgotten."""


class ReturnPath:
    """The balancers that an agent heard from.

    Parameters
    ----------
    pick_index : callable
        Returns a random number from 0 to its argument, less one.
    """

    def __init__(self, pick_index: Callable[[int], int]):
        self._pick_index = pick_index
        self._last_seen: dict[Endpoint, Millis] = {}
        self._candidates: tuple[Endpoint, ...] = ()
        self._refreshed_at = Millis(0)

    def record_packet(self, balancer: Endpoint, now: Millis) -> None:
        """Note a packet from a balancer."""
        if balancer not in self._last_seen:
            self._candidates = (*self._candidates, balancer)
        self._last_seen[balancer] = now

    def remove_unreachable(self, balancer: Endpoint) -> None:
        """Note that a balancer's host refused a packet."""
        if self._last_seen.pop(balancer, None) is not None:
            self._candidates = tuple(one for one in self._candidates if one != balancer)

    def pick(self, now: Millis) -> Endpoint | None:
        """Return the balancer for the next answer, or None if none was heard."""
        if now - self._refreshed_at >= ALIVE_TIMEOUT_MS // 4 or not self._candidates:
            self._refresh(now)
        if not self._candidates:
            return None
        return self._candidates[self._pick_index(len(self._candidates))]

    def _refresh(self, now: Millis) -> None:
        self._refreshed_at = now
        newest = sorted(self._last_seen.items(), key=lambda item: -item[1])
        for balancer, at in newest:
            if now - at > RETENTION_MS:
                del self._last_seen[balancer]
        fresh = tuple(one for one, at in newest if now - at <= ALIVE_TIMEOUT_MS)
        last = tuple(
            one for one, at in newest[:MAX_STALE_BALANCERS] if one in self._last_seen
        )
        self._candidates = fresh or last
