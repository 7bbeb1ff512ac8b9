"""What a process reports: status for operators and metrics for statsd."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from papayagw import __version__
from papayagw._internal.models.clock import Clock, Millis
from papayagw._internal.models.status import Counter, NodeState, Role, StatusReport


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Properties of a process that don't change while it runs.

    Attributes
    ----------
    name : str
        Unique name of the process.
    role : Role
        Program that the process runs.
    zone : str
        Availability zone; empty if there is none.
    run : int
        Start time of the process, in ms since 1970.
    started_at : Millis
        Start time of the process by the monotonic clock, in ms.
    """

    name: str
    role: Role
    zone: str
    run: int
    started_at: Millis


class Account(Protocol):
    """Source of the status report and metrics of one process."""

    @property
    def identity(self) -> NodeIdentity:
        """Name, role, zone and start time of the process."""

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""

    def read_counts(self) -> Mapping[str, int]:
        """Return the counts since the start, by metric name."""

    def read_gauges(self) -> Mapping[str, float]:
        """Return the current gauges, by metric name."""

    def pop_timings(self) -> Mapping[str, Sequence[float]]:
        """Return the durations in ms recorded since the last call, by metric name."""

    def report(self, state: NodeState) -> StatusReport:
        """Return the complete status report."""


def start_report(
    identity: NodeIdentity, state: NodeState, clock: Clock, counts: Mapping[str, int]
) -> StatusReport:
    """Return a report with the fields that all roles share; the others are empty."""
    return StatusReport(
        node=identity.name,
        role=identity.role,
        zone=identity.zone,
        version=__version__,
        state=state,
        run=identity.run,
        uptime_ms=Millis(clock.now() - identity.started_at),
        configuration_version=0,
        counters=tuple(Counter(name, counts[name]) for name in sorted(counts)),
    )
