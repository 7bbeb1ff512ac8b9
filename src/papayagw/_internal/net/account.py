"""What a process says about itself, to operators and to statsd."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from papayagw import __version__
from papayagw._internal.models.clock import Clock, Millis
from papayagw._internal.models.status import Counter, NodeState, Role, StatusReport


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """What stays the same for the whole run of a process.

    Attributes
    ----------
    name : str
        The name of the process, which no other one has.
    role : Role
        The program.
    zone : str
        Its availability zone; empty where there is none.
    run : int
        Its start in ms since 1970.
    started_at : Millis
        Its start by the monotonic clock.
    """

    name: str
    role: Role
    zone: str
    run: int
    started_at: Millis


class Account(Protocol):
    """The figures of one process."""

    @property
    def identity(self) -> NodeIdentity:
        """Who it is."""

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force."""

    def read_counts(self) -> Mapping[str, int]:
        """Return the counts since the start, by the names of their metrics."""

    def read_gauges(self) -> Mapping[str, float]:
        """Return the gauges of the moment, by the names of their metrics."""

    def pop_timings(self) -> Mapping[str, Sequence[float]]:
        """Return durations in ms since the last call, by the names of their metrics."""

    def report(self, state: NodeState) -> StatusReport:
        """Return the whole account."""


def start_report(
    identity: NodeIdentity, state: NodeState, clock: Clock, counts: Mapping[str, int]
) -> StatusReport:
    """Return the part of a report that all processes have in common."""
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
