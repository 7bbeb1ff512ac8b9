"""Selection of the target of each packet by the stand-in for the fabric.

A real fabric has no knowledge of flows: each packet may reach any target.
"""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

EXCLUSION_MS = Millis(1_000)
"""Time for which a target that refused a packet is excluded, if health is watched."""

SocketAddress = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Route:
    """Entry address and the balancers behind it.

    Attributes
    ----------
    entry : Endpoint
        Address to which callers send.
    targets : tuple of Endpoint
        Balancers over which packets are distributed.
    """

    entry: Endpoint
    targets: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Impairments:
    """Simulated packet loss and duplication.

    Attributes
    ----------
    loss : float
        Share of packets that are dropped, 0 to 1.
    duplicate : float
        Share of packets that are sent twice, 0 to 1.
    """

    loss: float = 0.0
    duplicate: float = 0.0


def parse_route(text: str) -> Result[Route, str]:
    """Parse a route of the form ``entry=target,target``."""
    entry, equals, targets = text.partition("=")
    if not equals or not targets:
        return Failure(f"route has the form entry=target,target; found {text!r}")
    try:
        parsed = tuple(Endpoint.parse(one) for one in targets.split(","))
        return Success(Route(Endpoint.parse(entry), parsed))
    except ValueError as error:
        return Failure(str(error))


class Sprayer:
    """Random choice of the targets of each packet.

    Parameters
    ----------
    targets : tuple of Endpoint
        Balancers behind one entry address.
    impairments : Impairments
        Simulated loss and duplication.
    draw : callable
        Returns a random number in [0, 1).
    """

    def __init__(
        self,
        targets: tuple[Endpoint, ...],
        impairments: Impairments,
        draw: Callable[[], float],
    ):
        self._addresses = tuple(target.sockaddr for target in targets)
        self._available = self._addresses
        self._excluded_until: dict[SocketAddress, Millis] = {}
        self._impairments = impairments
        self._is_unimpaired = impairments == Impairments()
        self._draw = draw

    def pick(self, now: Millis) -> tuple[SocketAddress, ...]:
        """Return the targets of one packet: none if lost, two if duplicated."""
        if self._excluded_until:
            self._end_exclusions(now)
        if self._is_unimpaired:
            return (self._pick_target(),)
        if self._draw() < self._impairments.loss:
            return ()
        if self._draw() < self._impairments.duplicate:
            return (self._pick_target(), self._pick_target())
        return (self._pick_target(),)

    def exclude(self, target: SocketAddress, now: Millis) -> None:
        """Exclude a target for `EXCLUSION_MS`; if all are excluded, all are used."""
        self._excluded_until[target] = Millis(now + EXCLUSION_MS)
        self._update_available()

    def _pick_target(self) -> SocketAddress:
        return self._available[int(self._draw() * len(self._available))]

    def _end_exclusions(self, now: Millis) -> None:
        expired = [
            target for target, until in self._excluded_until.items() if until <= now
        ]
        for target in expired:
            del self._excluded_until[target]
        if expired:
            self._update_available()

    def _update_available(self) -> None:
        available = tuple(
            one for one in self._addresses if one not in self._excluded_until
        )
        self._available = available or self._addresses
