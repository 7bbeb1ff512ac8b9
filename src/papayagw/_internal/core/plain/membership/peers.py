"""Balancers known to an agent, and the schedule of load frames to them."""

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

ACTIVE_TIMEOUT_MS = Millis(3_000)
"""How long after its last frame a balancer still receives load frames."""

MIN_LOAD_INTERVAL_MS = Millis(100)
"""Minimum interval between two rounds of load frames."""

MAX_LOAD_FRAMES_PER_SECOND = 40
"""Maximum rate of scheduled load frames of one agent.

At about 80 bytes each this is 3.2 KB/s, below the limit of 4 KB/s for the control
traffic of a node.
"""

MAX_PEERS = 4_096
"""Maximum number of balancers that have a token; beyond it the oldest loses its own."""


class BalancerPeers:
    """The balancers known to an agent, and the schedule of load frames to them.

    Each balancer has a token, a number by which the agent recognises it in packets
    that the backend server sends back.
    """

    def __init__(self) -> None:
        self._last_frame_at: dict[Endpoint, Millis] = {}
        self._tokens: dict[Endpoint, int] = {}
        self._by_token: dict[int, Endpoint] = {}
        self._last_round_at = Millis(0)
        self._load_changed = False

    @property
    def due_at(self) -> Millis | None:
        """Time of the next round of load frames; None if none is pending."""
        if not self._load_changed or not self._last_frame_at:
            return None
        interval = max(
            MIN_LOAD_INTERVAL_MS,
            1_000 * len(self._last_frame_at) // MAX_LOAD_FRAMES_PER_SECOND,
        )
        return Millis(self._last_round_at + interval)

    def record_frame(self, peer: Endpoint, now: Millis) -> None:
        """Record the arrival of a frame from a balancer."""
        self._last_frame_at[peer] = now
        self.token_of(peer)

    def mark_load_changed(self, now: Millis) -> None:
        """Schedule a round of load frames because the load has changed."""
        self._load_changed = True

    def start_round_if_due(self, now: Millis) -> bool:
        """Return whether a round of load frames is due; if so, count it as sent."""
        due_at = self.due_at
        if due_at is None or now < due_at:
            return False
        self._last_round_at = now
        self._load_changed = False
        return True

    def list_active(self, now: Millis) -> list[Endpoint]:
        """Return the recently active balancers and drop inactive ones."""
        inactive = [
            peer
            for peer, at in self._last_frame_at.items()
            if now - at > ACTIVE_TIMEOUT_MS
        ]
        for peer in inactive:
            del self._last_frame_at[peer]
        return list(self._last_frame_at)

    def list_known(self) -> list[Endpoint]:
        """Return all balancers that have a token, active or not."""
        return list(self._tokens)

    def token_of(self, peer: Endpoint) -> int:
        """Return the token of a balancer, assigning one if needed; never 0."""
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
        """Return the balancer with the given token, or None."""
        return self._by_token.get(token)
