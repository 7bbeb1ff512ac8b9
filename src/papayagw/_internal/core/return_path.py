"""Choice of the balancer through which an agent answers.

Balancers die without notice, so an agent spreads its answers over all balancers
that it heard from lately; a dead one falls out of the choice, and what it took
with it is sent again by the flow's loss recovery.
"""

from collections.abc import Callable

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

FRESH_MS = Millis(500)
"""How long a balancer counts as alive after its last packet."""

KEPT = 4
"""How many of the last heard balancers are used when none is fresh."""

FORGET_MS = Millis(60_000)
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
        self._heard: dict[Endpoint, Millis] = {}
        self._choices: tuple[Endpoint, ...] = ()
        self._chosen_at = Millis(0)

    def note_heard(self, balancer: Endpoint, now: Millis) -> None:
        """Note a packet from a balancer."""
        if balancer not in self._heard:
            self._choices = (*self._choices, balancer)
        self._heard[balancer] = now

    def note_unreachable(self, balancer: Endpoint) -> None:
        """Note that a balancer's host refused a packet."""
        if self._heard.pop(balancer, None) is not None:
            self._choices = tuple(one for one in self._choices if one != balancer)

    def pick(self, now: Millis) -> Endpoint | None:
        """Return the balancer for the next answer, or None if none was heard."""
        if now - self._chosen_at >= FRESH_MS // 4 or not self._choices:
            self._refresh(now)
        if not self._choices:
            return None
        return self._choices[self._pick_index(len(self._choices))]

    def _refresh(self, now: Millis) -> None:
        self._chosen_at = now
        newest = sorted(self._heard.items(), key=lambda item: -item[1])
        for balancer, at in newest:
            if now - at > FORGET_MS:
                del self._heard[balancer]
        fresh = tuple(one for one, at in newest if now - at <= FRESH_MS)
        last = tuple(one for one, at in newest[:KEPT] if one in self._heard)
        self._choices = fresh or last
