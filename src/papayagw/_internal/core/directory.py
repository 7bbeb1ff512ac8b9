"""Directory of the agents that a node knows.

The newest record of an endpoint takes precedence, by incarnation, sequence, state and
suspicion, so that records may arrive in any order, late or more than once.

An agent under suspicion gets no openings. But false suspicions must not leave a service
without agents: suspicion excludes at most `MAX_SUSPECTED_SHARE` of the agents that
report that they are ready; beyond that share, suspected agents count as ready.
"""

from collections.abc import Sequence
from typing import Protocol

from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.flow import INCARNATION_MASK, FlowRoute
from papayagw._internal.models.service import ServiceId

MAX_SUSPECTED_SHARE = 0.5
"""Maximum share of a service's ready agents that suspicion may exclude."""


class Directory(Protocol):
    """Lookup of the agents of a service."""

    def find_ready(self, service_id: ServiceId) -> Sequence[AgentRecord]:
        """Return the agents of a service that accept openings."""

    def is_gone(self, route: FlowRoute) -> bool:
        """Return whether the agent incarnation in `route` is known to be gone."""


class AgentDirectory:
    """The newest record of each agent, by endpoint and by service."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, int], AgentRecord] = {}
        self._by_service: dict[ServiceId, dict[tuple[str, int], AgentRecord]] = {}
        self._ready: dict[ServiceId, tuple[AgentRecord, ...]] = {}
        self._gone: dict[tuple[str, int], int] = {}

    @property
    def records(self) -> tuple[AgentRecord, ...]:
        """All records in any state."""
        return tuple(self._records.values())

    def merge(self, record: AgentRecord) -> bool:
        """Store a record if it takes precedence; return whether it did."""
        key = record.endpoint.sockaddr
        known = self._records.get(key)
        if known is not None and known.precedence >= record.precedence:
            return False
        if known is not None and known.service_id != record.service_id:
            self._remove_from_service(known)
        self._records[key] = record
        if record.state is AgentState.GONE:
            self._gone[key] = record.incarnation & INCARNATION_MASK
        else:
            self._gone.pop(key, None)
        self._by_service.setdefault(record.service_id, {})[key] = record
        self._update_ready(record.service_id)
        return True

    def forget(self, record: AgentRecord) -> None:
        """Remove the record held for the endpoint of `record`."""
        known = self._records.pop(record.endpoint.sockaddr, None)
        self._gone.pop(record.endpoint.sockaddr, None)
        if known is not None:
            self._remove_from_service(known)

    def find_ready(self, service_id: ServiceId) -> Sequence[AgentRecord]:
        """Return the agents of a service that accept openings."""
        return self._ready.get(service_id, ())

    def is_gone(self, route: FlowRoute) -> bool:
        """Return whether the agent incarnation in `route` is known to be gone."""
        return self._gone.get(route.agent.sockaddr) == route.incarnation

    def find_reported_ready(self, service_id: ServiceId) -> Sequence[AgentRecord]:
        """Return the agents of a service that report ready, suspected or not."""
        records = self._by_service.get(service_id, {}).values()
        return [record for record in records if record.state is AgentState.READY]

    def _remove_from_service(self, record: AgentRecord) -> None:
        of_service = self._by_service.get(record.service_id, {})
        of_service.pop(record.endpoint.sockaddr, None)
        self._update_ready(record.service_id)

    def _update_ready(self, service_id: ServiceId) -> None:
        """Recompute which agents of a service may receive openings."""
        reported_ready = self.find_reported_ready(service_id)
        excluded = select_excluded(reported_ready)
        self._ready[service_id] = tuple(
            record
            for record in reported_ready
            if record.endpoint.sockaddr not in excluded
        )


def select_excluded(reported_ready: Sequence[AgentRecord]) -> set[tuple[str, int]]:
    """Return the socket addresses of the agents that suspicion excludes from openings.

    Nodes that hold the same records exclude the same agents.
    """
    suspected = sorted(
        record.endpoint.sockaddr for record in reported_ready if record.is_suspected
    )
    return set(suspected[: int(len(reported_ready) * MAX_SUSPECTED_SHARE)])
