"""Failure detector that probes the other balancers in turn (as in SWIM, 2002).

If a probe isn't answered, a few peers are asked to probe the balancer; it is suspected
only if none of them receives an answer either.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

PROBE_INTERVAL_MS = Millis(1_000)
"""Minimum interval between two probes."""

LIVENESS_REQUEST_TIMEOUT_MS = Millis(300)
"""Time without an answer after which peers are asked to probe the balancer."""

SUSPECT_TIMEOUT_MS = Millis(900)
"""Time without an answer after which the probed balancer is suspected."""

ISOLATED_MISSES = 2
"""Number of successive unanswered probes after which this node counts as isolated."""


@dataclass(frozen=True, slots=True)
class _PendingProbe:
    """A probe that has not been answered yet."""

    target: Endpoint
    number: int
    sent_at: Millis
    request_sent: bool = False


@dataclass(frozen=True, slots=True)
class ProbeStep:
    """The actions that are due after a tick.

    Attributes
    ----------
    probe : Endpoint or None
        The balancer to which a probe with the number `number` has to be sent.
    number : int
        The number that matches the answer to the probe.
    request_liveness : Endpoint or None
        The balancer about which peers have to be sent a liveness request.
    suspect : Endpoint or None
        The balancer that has to be suspected.
    """

    probe: Endpoint | None = None
    number: int = 0
    request_liveness: Endpoint | None = None
    suspect: Endpoint | None = None


class Prober:
    """Schedule and time-outs of the probes.

    Parameters
    ----------
    random_source : random.Random
        The source for the order of the probes.
    """

    def __init__(self, random_source: random.Random):
        self._random = random_source
        self._queue: list[Endpoint] = []
        self._pending: _PendingProbe | None = None
        self._number = 0
        self._next_at = Millis(0)
        self._misses = 0

    @property
    def is_isolated(self) -> bool:
        """Whether the last `ISOLATED_MISSES` probes were all unanswered."""
        return self._misses >= ISOLATED_MISSES

    def on_tick(self, peers: Sequence[Endpoint], now: Millis) -> ProbeStep:
        """Return the actions that are due."""
        if self._pending is not None:
            return self._check_pending(self._pending, now)
        if now < self._next_at or not peers:
            return ProbeStep()
        target = self._pick_target(peers)
        self._number += 1
        self._next_at = Millis(now + PROBE_INTERVAL_MS)
        self._pending = _PendingProbe(target, self._number, now)
        return ProbeStep(probe=target, number=self._number)

    def record_answer(self, number: int) -> None:
        """Record the answer to a probe."""
        self._misses = 0
        if self._pending is not None and self._pending.number == number:
            self._pending = None

    def record_alive(self, endpoint: Endpoint) -> None:
        """Record the report of a peer that `endpoint` is alive."""
        self._misses = 0
        if self._pending is not None and self._pending.target == endpoint:
            self._pending = None

    def drop_pending(self) -> None:
        """Drop the pending probe after a pause of this process."""
        self._pending = None

    def _check_pending(self, pending: _PendingProbe, now: Millis) -> ProbeStep:
        """Return the step that is due for an unanswered probe of this age."""
        age = now - pending.sent_at
        if age >= SUSPECT_TIMEOUT_MS:
            self._pending = None
            self._misses += 1
            return ProbeStep(suspect=pending.target)
        if age >= LIVENESS_REQUEST_TIMEOUT_MS and not pending.request_sent:
            self._pending = replace(pending, request_sent=True)
            return ProbeStep(request_liveness=pending.target)
        return ProbeStep()

    def _pick_target(self, peers: Sequence[Endpoint]) -> Endpoint:
        """Return the next balancer of a shuffled round over all peers."""
        if not self._queue:
            self._queue = list(peers)
            self._random.shuffle(self._queue)
        target = self._queue.pop()
        if target in peers:
            return target
        return self._random.choice(peers)
