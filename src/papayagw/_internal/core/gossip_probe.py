"""Probing of the other balancers, one after the other (as in SWIM, 2002).

A probe without an answer makes a few others ask the silent balancer; only when
none of them has a word from it does it come under suspicion.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

PROBE_INTERVAL_MS = Millis(1_000)
"""The time between two probes."""

INQUIRE_TIMEOUT_MS = Millis(300)
"""After this time without an answer others are asked."""

SUSPECT_TIMEOUT_MS = Millis(900)
"""After this time without an answer the probed balancer is suspected."""

ISOLATED_MISSES = 2
"""After so many probes without any answer this node takes itself for cut off."""


@dataclass(frozen=True, slots=True)
class _PendingProbe:
    """A probe without an answer."""

    target: Endpoint
    number: int
    sent_at: Millis
    inquired: bool = False


@dataclass(frozen=True, slots=True)
class ProbeStep:
    """What a tick asks for.

    Attributes
    ----------
    probe : Endpoint or None
        Send it a probe with the number `number`.
    number : int
        Binds the answer to the probe.
    inquire : Endpoint or None
        Ask others about it.
    suspect : Endpoint or None
        Suspect it.
    """

    probe: Endpoint | None = None
    number: int = 0
    inquire: Endpoint | None = None
    suspect: Endpoint | None = None


class Prober:
    """Which balancer is probed when.

    Parameters
    ----------
    random_source : random.Random
        Shuffles the order.
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
        """Whether the last probes all went without an answer."""
        return self._misses >= ISOLATED_MISSES

    def on_tick(self, peers: Sequence[Endpoint], now: Millis) -> ProbeStep:
        """Return what is due."""
        if self._pending is not None:
            return self._check_pending(self._pending, now)
        if now < self._next_at or not peers:
            return ProbeStep()
        target = self._pick(peers)
        self._number += 1
        self._next_at = Millis(now + PROBE_INTERVAL_MS)
        self._pending = _PendingProbe(target, self._number, now)
        return ProbeStep(probe=target, number=self._number)

    def record_answer(self, number: int) -> None:
        """Note the answer to a probe."""
        self._misses = 0
        if self._pending is not None and self._pending.number == number:
            self._pending = None

    def record_alive(self, endpoint: Endpoint) -> None:
        """Note somebody's word that `endpoint` is alive."""
        self._misses = 0
        if self._pending is not None and self._pending.target == endpoint:
            self._pending = None

    def drop_pending(self) -> None:
        """Forget the probe under way, after a pause of this node."""
        self._pending = None

    def _check_pending(self, pending: _PendingProbe, now: Millis) -> ProbeStep:
        age = now - pending.sent_at
        if age >= SUSPECT_TIMEOUT_MS:
            self._pending = None
            self._misses += 1
            return ProbeStep(suspect=pending.target)
        if age >= INQUIRE_TIMEOUT_MS and not pending.inquired:
            self._pending = replace(pending, inquired=True)
            return ProbeStep(inquire=pending.target)
        return ProbeStep()

    def _pick(self, peers: Sequence[Endpoint]) -> Endpoint:
        if not self._queue:
            self._queue = list(peers)
            self._random.shuffle(self._queue)
        target = self._queue.pop()
        if target in peers:
            return target
        return self._random.choice(peers)
