"""Which target the fabric's stand-in hands a packet to.

A real fabric knows nothing of flows: each packet goes to any target.
"""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint

EXCLUSION_MS = Millis(1_000)
"""How long a target that refused a packet is left out, if health is on."""

SocketAddress = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Route:
    """An entry address and the balancers behind it.

    Attributes
    ----------
    entry : Endpoint
        Where callers send.
    targets : tuple of Endpoint
        The balancers that the packets are sprayed over.
    """

    entry: Endpoint
    targets: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Impairments:
    """What the fabric does to packets besides handing them on.

    Attributes
    ----------
    loss : float
        The share of packets that are lost, 0 to 1.
    duplicate : float
        The share of packets that are sent twice, 0 to 1.
    """

    loss: float = 0.0
    duplicate: float = 0.0


def parse_route(text: str) -> Result[Route, str]:
    """Read a route from ``entry=target,target``."""
    entry, equals, targets = text.partition("=")
    if not equals or not targets:
        return Failure(f"expected entry=target,target, found {text!r}")
    try:
        parsed = tuple(Endpoint.parse(one) for one in targets.split(","))
        return Success(Route(Endpoint.parse(entry), parsed))
    except ValueError as error:
        return Failure(str(error))


class Sprayer:
    """Picks targets at random.

    Parameters
    ----------
    targets : tuple of Endpoint
        The balancers behind one entry address.
    impairments : Impairments
        Loss and duplication.
    draw : callable
        Returns a random number from 0 up to 1.
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
        """Return where one packet goes: nowhere if lost, twice if duplicated."""
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
        """Leave a target out for a while, unless it is the last one."""
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
