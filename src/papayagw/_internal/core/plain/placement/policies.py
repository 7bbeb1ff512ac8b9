"""The placement policies by their setting."""

from random import Random

from papayagw._internal.core.plain.placement.choice import (
    LeastWaitChooser,
    PlainChooser,
)
from papayagw._internal.core.plain.placement.even_load import EvenLoadChooser
from papayagw._internal.models.plain.settings import Placement


def make_chooser(placement: Placement, zone: str, random: Random) -> PlainChooser:
    """Return the chooser of a placement policy.

    Parameters
    ----------
    placement : Placement
        The policy.
    zone : str
        The zone of the balancer.
    random : Random
        Source of its random choices.
    """
    match placement:
        case Placement.LEAST_WAIT:
            return LeastWaitChooser(zone, random)
        case Placement.EVEN:
            return EvenLoadChooser(zone, random)
