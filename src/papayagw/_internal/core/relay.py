"""Which nodes watch the platform's service for the others.

The service counts a waiting watch as a call and its rates grow more slowly than the
fleet, so only a few nodes of each zone watch it. Every node ranks the nodes that it
knows by rendezvous hashing. Where views differ, there is a relay too many for a
while; a node that knows no other is a relay itself.
"""

from collections.abc import Iterable

from papayagw._internal.core.choice import unit_hash
from papayagw._internal.models.endpoint import Endpoint

RELAYS_PER_ZONE = 2

_PURPOSE = b"configuration relay"


def choose_relays(
    nodes: Iterable[Endpoint], count: int = RELAYS_PER_ZONE
) -> tuple[Endpoint, ...]:
    """Return the relays among the nodes of one zone.

    Parameters
    ----------
    nodes : iterable of Endpoint
        The nodes of the zone that are thought to be up.
    count : int
        How many relays there are.
    """
    ranked = sorted(set(nodes), key=_rank)
    return tuple(ranked[:count])


def is_relay(
    own: Endpoint, others: Iterable[Endpoint], count: int = RELAYS_PER_ZONE
) -> bool:
    """Return whether a node is a relay, given the others of its zone."""
    return own in choose_relays((own, *others), count)


def _rank(node: Endpoint) -> float:
    return unit_hash(_PURPOSE, str(node).encode())
