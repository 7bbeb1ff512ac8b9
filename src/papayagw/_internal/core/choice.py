"""Selection of an agent for an opening by weighted rendezvous hashing.

Balancers with the same records select the same agent for the same opening without
communicating. Adding or removing a record changes only the selections that this
record wins or had won. The weighted form is that of Schindelhauer and Schomaker
(2005): the score of an agent is ``-weight / ln(hash)``.
"""

import math
from collections.abc import Sequence
from typing import Protocol

from papayagw._internal.core.unit_hash import unit_hash
from papayagw._internal.models.agent import AgentRecord


class Chooser(Protocol):
    """Policy that selects the agent for an opening."""

    def choose(
        self, key: bytes, candidates: Sequence[AgentRecord]
    ) -> AgentRecord | None:
        """Return the candidate selected for `key`, or None if there is none.

        Parameters
        ----------
        key : bytes
            Identifier shared by all retransmissions of an opening.
        candidates : sequence of AgentRecord
            Agents of the service that accept openings.
        """


class RendezvousChooser:
    """Weighted rendezvous hashing over the endpoints of the candidates."""

    def choose(
        self, key: bytes, candidates: Sequence[AgentRecord]
    ) -> AgentRecord | None:
        """Return the candidate with the highest score, or None if there is none."""
        weighted = [record for record in candidates if record.weight > 0]
        if not weighted:
            return None
        return max(weighted, key=lambda record: self._score(key, record))

    @staticmethod
    def _score(key: bytes, record: AgentRecord) -> float:
        """Return the score of a candidate, which is the higher the better."""
        name = str(record.endpoint).encode()
        return -record.weight / math.log(unit_hash(key, name))
