"""Choice of an agent for an opening, by weighted rendezvous hashing.

Balancers that hold the same records choose the same agent for the same opening
without a word between them, and a record that comes or goes moves only the
openings that it wins or had won. The weighted form is that of Schindelhauer and
Schomaker (2005): the score of an agent is ``-weight / ln(hash)``.
"""

import hashlib
import math
from collections.abc import Sequence
from typing import Protocol

from papayagw._internal.models.agent import AgentRecord

_HASH_BYTES = 8
_HASH_SPAN = float(1 << (8 * _HASH_BYTES))


class Chooser(Protocol):
    """A policy that picks the agent for an opening."""

    def choose(
        self, key: bytes, candidates: Sequence[AgentRecord]
    ) -> AgentRecord | None:
        """Return one of `candidates` for the opening `key`, or None.

        Parameters
        ----------
        key : bytes
            What all copies of one opening share.
        candidates : sequence of AgentRecord
            The agents of the service that take openings.
        """


def unit_hash(key: bytes, name: bytes) -> float:
    """Return a number in (0, 1) that depends on `key` and `name` alone."""
    digest = hashlib.blake2s(name, key=key[:32], digest_size=_HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 0.5) / _HASH_SPAN


class RendezvousChooser:
    """Weighted rendezvous hashing over the endpoints of the candidates."""

    def choose(
        self, key: bytes, candidates: Sequence[AgentRecord]
    ) -> AgentRecord | None:
        """Return the candidate with the highest score, or None without any."""
        weighted = [record for record in candidates if record.weight > 0]
        if not weighted:
            return None
        return max(weighted, key=lambda record: self._score(key, record))

    @staticmethod
    def _score(key: bytes, record: AgentRecord) -> float:
        name = str(record.endpoint).encode()
        return -record.weight / math.log(unit_hash(key, name))
