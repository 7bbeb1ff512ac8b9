"""Text tables of status reports."""

from collections.abc import Iterable, Sequence

from papayagw._internal.exceptions import StatusError
from papayagw._internal.models.report import ServiceTotals
from papayagw._internal.models.status import StatusReport
from papayagw._internal.observe.durations import format_duration
from papayagw._internal.observe.table import format_table

_NODE_HEADER = ("NODE", "ROLE", "ZONE", "STATE", "UP", "CONFIG", "FLOWS", "VERSION")
_SERVICE_HEADER = (
    *("NODE", "SERVICE", "OPEN", "OPENED", "REFUSED", "UNKNOWN", "BROKEN"),
    *("WORK-S", "CAPACITY"),
)
_PEER_HEADER = ("NODE", "PEER", "ROLE", "STATE", "SILENT-MS")
_AGENT_HEADER = ("NODE", "AGENT", "SERVICE", "ZONE", "STATE", "WEIGHT", "FLOWS")


def format_status(
    reports: Sequence[StatusReport],
    errors: Sequence[StatusError],
    full: bool = False,
) -> str:
    """Return the status reports as tables, followed by the errors of other nodes.

    Parameters
    ----------
    reports : sequence of StatusReport
        The reports of the nodes that answered.
    errors : sequence of StatusError
        The errors of the nodes that did not answer.
    full : bool
        Whether to include peers, agents and counters.
    """
    details = (_format_peers, _format_agents, _format_counters) if full else ()
    sections = (
        _format_nodes(reports),
        _format_services(reports),
        *(format_detail(reports) for format_detail in details),
        [f"no answer: {error}" for error in errors],
        _find_version_differences(reports),
    )
    return "\n\n".join("\n".join(lines) for lines in sections if lines)


def _format_nodes(reports: Iterable[StatusReport]) -> list[str]:
    rows = [
        (
            *(one.node, one.role.value, one.zone, one.state.value),
            *(format_duration(one.uptime_ms), one.configuration_version),
            *(one.flows_open, one.version),
        )
        for one in reports
    ]
    return format_table(_NODE_HEADER, rows) if rows else []


def _format_services(reports: Iterable[StatusReport]) -> list[str]:
    rows = [
        (report.node, *_format_totals(totals))
        for report in reports
        for totals in report.services
    ]
    return format_table(_SERVICE_HEADER, rows) if rows else []


def _format_totals(totals: ServiceTotals) -> tuple[object, ...]:
    counts = totals.counts
    return (
        *(totals.service, totals.flows_open, counts.opened, counts.refused),
        *(counts.unknown, counts.broken),
        *(f"{totals.work_ms / 1000:.1f}", f"{totals.capacity:g}"),
    )


def _format_peers(reports: Iterable[StatusReport]) -> list[str]:
    rows = [
        (
            report.node,
            peer.endpoint,
            peer.role,
            peer.state,
            _format_optional(peer.silent_ms),
        )
        for report in reports
        for peer in report.peers
    ]
    return format_table(_PEER_HEADER, rows) if rows else []


def _format_agents(reports: Iterable[StatusReport]) -> list[str]:
    rows = [
        (
            *(report.node, agent.endpoint, agent.service, agent.zone, agent.state),
            *(agent.weight, _format_optional(agent.flows)),
        )
        for report in reports
        for agent in report.agents
    ]
    return format_table(_AGENT_HEADER, rows) if rows else []


def _format_optional(value: int | None) -> object:
    return "-" if value is None else value


def _format_counters(reports: Iterable[StatusReport]) -> list[str]:
    rows = [
        (report.node, counter.name, counter.value)
        for report in reports
        for counter in report.counters
        if counter.value
    ]
    return format_table(("NODE", "COUNTER", "VALUE"), rows) if rows else []


def _find_version_differences(reports: Iterable[StatusReport]) -> list[str]:
    """Return a warning if nodes have different configuration versions."""
    versions = sorted({report.configuration_version for report in reports})
    if len(versions) < 2:
        return []
    listed = ", ".join(map(str, versions))
    return [f"configuration versions differ: {listed}; see docs/OPERATING.md"]
