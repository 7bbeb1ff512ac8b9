"""The balancers that an agent hears from, and when it tells them its load."""

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

ACTIVE_TIMEOUT_MS = Millis(3_000)
"""How long after its last frame a balancer is told the load."""

MIN_LOAD_INTERVAL_MS = Millis(100)
"""The shortest time between two rounds of load words."""

MAX_LOAD_FRAMES_PER_SECOND = 40
"""The most load words that one agent sends.

About 80 bytes each: 3.2 KB/s, under the 4 KB/s that a node may spend on control.
"""

MAX_PEERS = 4_096
"""The most balancers that are told apart."""


class BalancerPeers:
    """Balancers, the tokens that stand for them, and the timing of load words."""

    def __init__(self) -> None:
        self._last_frame_at: dict[Endpoint, Millis] = {}
        self._tokens: dict[Endpoint, int] = {}
        self._by_token: dict[int, Endpoint] = {}
        self._last_sent_at = Millis(0)
        self._load_changed = False

    @property
    def due_at(self) -> Millis | None:
        """When the next load words are due, if there is anything to tell."""
        if not self._load_changed or not self._last_frame_at:
            return None
        interval = max(
            MIN_LOAD_INTERVAL_MS,
            1_000 * len(self._last_frame_at) // MAX_LOAD_FRAMES_PER_SECOND,
        )
        return Millis(self._last_sent_at + interval)

    def record_frame(self, peer: Endpoint, now: Millis) -> None:
        """Note a frame of a balancer."""
        self._last_frame_at[peer] = now
        self.token_of(peer)

    def mark_load_changed(self, now: Millis) -> None:
        """Note that the load has changed."""
        self._load_changed = True

    def start_round_if_due(self, now: Millis) -> bool:
        """Return whether load words are due, and count them as sent."""
        due_at = self.due_at
        if due_at is None or now < due_at:
            return False
        self._last_sent_at = now
        self._load_changed = False
        return True

    def list_active(self, now: Millis) -> list[Endpoint]:
        """Return the balancers that were heard of late; forget long silent ones."""
        inactive = [
            peer
            for peer, at in self._last_frame_at.items()
            if now - at > ACTIVE_TIMEOUT_MS
        ]
        for peer in inactive:
            del self._last_frame_at[peer]
        return list(self._last_frame_at)

    def list_known(self) -> list[Endpoint]:
        """Return all balancers that were heard since the start."""
        return list(self._tokens)

    def token_of(self, peer: Endpoint) -> int:
        """Return the number that stands for a balancer in packets; never 0."""
        token = self._tokens.get(peer)
        if token is None:
            if len(self._tokens) >= MAX_PEERS:
                oldest = next(iter(self._tokens))
                del self._by_token[self._tokens.pop(oldest)]
            token = max(self._by_token, default=0) + 1
            self._tokens[peer] = token
            self._by_token[token] = peer
        return token

    def find(self, token: int) -> Endpoint | None:
        """Return the balancer that a number stands for, or None."""
        return self._by_token.get(token)
