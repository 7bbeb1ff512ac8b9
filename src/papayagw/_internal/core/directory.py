"""The agents that a node knows of.

The newest record of an endpoint wins, by incarnation and then by sequence, so
that records may arrive in any order, late and twice.
"""

from collections.abc import Sequence
from typing import Protocol

from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.service import ServiceId


class Directory(Protocol):
    """Where a balancer looks for the agents of a service."""

    def find_ready(self, service_id: ServiceId) -> Sequence[AgentRecord]:
        """Return the agents of a service that take openings."""


class AgentDirectory:
    """The newest record of each agent."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, int], AgentRecord] = {}
        self._ready: dict[ServiceId, tuple[AgentRecord, ...]] = {}

    @property
    def records(self) -> tuple[AgentRecord, ...]:
        """All records, whatever their state."""
        return tuple(self._records.values())

    def merge(self, record: AgentRecord) -> bool:
        """Take in a record; return whether it was news."""
        key = record.endpoint.sockaddr
        known = self._records.get(key)
        if known is not None and known.precedence >= record.precedence:
            return False
        self._records[key] = record
        if known is not None:
            self._refresh(known.service_id)
        self._refresh(record.service_id)
        return True

    def forget(self, record: AgentRecord) -> None:
        """Drop a record that is no longer worth keeping."""
        if self._records.pop(record.endpoint.sockaddr, None) is not None:
            self._refresh(record.service_id)

    def find_ready(self, service_id: ServiceId) -> Sequence[AgentRecord]:
        """Return the agents of a service that take openings."""
        return self._ready.get(service_id, ())

    def _refresh(self, service_id: ServiceId) -> None:
        self._ready[service_id] = tuple(
            record
            for record in self._records.values()
            if record.service_id == service_id and record.state is AgentState.READY
        )
