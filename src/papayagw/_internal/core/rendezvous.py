"""Selection of a few balancers for a key by rendezvous hashing.

Nodes that know the same balancers make the same selection without communication. The
selected balancers are in different zones as far as possible, so that after the loss of
one zone a balancer remains that detects it. The scores are computed in one array
operation, because there may be hundreds of balancers.
"""

import hashlib
from collections.abc import Sequence

import numpy as np
import numpy.typing as npt

from papayagw._internal.models.control import BalancerRecord
from papayagw._internal.models.endpoint import Endpoint

_HASH_BYTES = 8
_SHIFT = np.uint64(31)
_FACTORS = (np.uint64(0xBF58476D1CE4E5B9), np.uint64(0x94D049BB133111EB))


class Rendezvous:
    """Ranks balancers by a hash of their endpoint and a key.

    Parameters
    ----------
    balancers : sequence of BalancerRecord
        The balancers to select from.
    """

    def __init__(self, balancers: Sequence[BalancerRecord]):
        self._endpoints = [record.endpoint for record in balancers]
        names = sorted({record.zone for record in balancers})
        self._zones = np.array([names.index(one.zone) for one in balancers], dtype=int)
        hashes = [_hash(str(endpoint)) for endpoint in self._endpoints]
        self._hashes = np.array(hashes, dtype=np.uint64)

    def choose(self, key: str, count: int) -> tuple[Endpoint, ...]:
        """Return up to `count` balancers for `key`, the best first."""
        scores = self._score(key)
        remaining = np.ones(len(scores), dtype=bool)
        in_unused_zone = remaining.copy()
        chosen: list[int] = []
        while len(chosen) < count and remaining.any():
            best = _find_best(
                scores, in_unused_zone if in_unused_zone.any() else remaining
            )
            chosen.append(best)
            remaining[best] = False
            in_unused_zone &= self._zones != self._zones[best]
        return tuple(self._endpoints[index] for index in chosen)

    def _score(self, key: str) -> npt.NDArray[np.uint64]:
        """Return the score of each balancer for `key`."""
        # The finaliser of splitmix64 (Steele, Lea and Flood 2014).
        scores = self._hashes ^ np.uint64(_hash(key))
        for factor in _FACTORS:
            scores = (scores ^ (scores >> _SHIFT)) * factor
        return scores ^ (scores >> _SHIFT)


def _find_best(scores: npt.NDArray[np.uint64], among: npt.NDArray[np.bool_]) -> int:
    """Return the index of the highest score where the mask `among` is set."""
    return int(np.argmax(np.where(among, scores, np.uint64(0))))


def _hash(text: str) -> int:
    digest = hashlib.blake2s(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
