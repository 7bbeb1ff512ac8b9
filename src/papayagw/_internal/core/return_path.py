"""Selection of the balancer through which an agent sends its answers.

Balancers may fail without notice. An agent therefore spreads its answers over all
balancers that have sent packets recently. A failed balancer drops out of the
selection, and the packets lost with it are retransmitted by the flow's loss
recovery.
"""

from collections.abc import Callable

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

ALIVE_TIMEOUT_MS = Millis(500)
"""Time after its last packet for which a balancer counts as alive."""

MAX_STALE_BALANCERS = 4
"""Number of most recently seen balancers to use if none counts as alive."""

RETENTION_MS = Millis(60_000)
"""Time after its last packet at which a balancer is removed."""


class ReturnPath:
    """Selects the balancer for each answer among those that have sent packets.

    Parameters
    ----------
    pick_index : callable
        Returns a random index below its argument.
    """

    def __init__(self, pick_index: Callable[[int], int]):
        self._pick_index = pick_index
        self._last_seen: dict[Endpoint, Millis] = {}
        self._candidates: tuple[Endpoint, ...] = ()
        self._refreshed_at = Millis(0)

    def record_packet(self, balancer: Endpoint, now: Millis) -> None:
        """Record a packet from a balancer."""
        if balancer not in self._last_seen:
            self._candidates = (*self._candidates, balancer)
        self._last_seen[balancer] = now

    def remove_unreachable(self, balancer: Endpoint) -> None:
        """Remove a balancer whose host rejected a packet."""
        if self._last_seen.pop(balancer, None) is not None:
            self._candidates = tuple(one for one in self._candidates if one != balancer)

    def pick(self, now: Millis) -> Endpoint | None:
        """Return the balancer for the next answer, or None if none is known."""
        if now - self._refreshed_at >= ALIVE_TIMEOUT_MS // 4 or not self._candidates:
            self._refresh(now)
        if not self._candidates:
            return None
        return self._candidates[self._pick_index(len(self._candidates))]

    def _refresh(self, now: Millis) -> None:
        """Recompute the balancers that count as alive, and drop expired ones."""
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
