"""Text format of the burn report."""

from collections.abc import Iterable, Sequence

from papayagw._internal.models.burn import (
    Balance,
    BurnReport,
    GroupLoad,
    Objective,
    ObjectiveBurn,
    Risk,
    ServiceBurn,
    WindowBurn,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.report import Side
from papayagw._internal.observe.durations import format_duration, format_timestamp
from papayagw._internal.observe.table import format_table

RISK_LABELS = {
    Risk.NONE: "ok",
    Risk.TICKET: "at risk",
    Risk.PAGE: "at risk now",
    Risk.SPENT: "BUDGET SPENT",
}
_SIDE_LABELS = {Side.AGENT: "agents", Side.CALLER: "callers"}
_MAX_ROWS = 24
"""Maximum number of backend servers or zones listed for a service."""

_FLOW_HEADER = ("COUNTED BY", "OPENED", "REFUSED", "UNKNOWN", "BROKEN", "LOST")


def format_burn(report: BurnReport) -> str:
    """Return the burn report as text for operators."""
    span = Millis(report.end_ms - report.start_ms)
    header = (
        f"service-level burn, from {format_timestamp(report.start_ms)} "
        f"to {format_timestamp(report.end_ms)} ({format_duration(span)} recorded)"
    )
    lines = [header, *(f"note: {note}" for note in report.notes)]
    for service in report.services:
        lines += ["", *_format_service(service)]
    return "\n".join((*lines, "", *_format_summary(report)))


def _format_service(service: ServiceBurn) -> list[str]:
    windows = [one.window for one in service.objectives[0].windows]
    header = ("OBJECTIVE", "TARGET", *windows, "STATE")
    flows = [
        (
            *(_SIDE_LABELS[one.side], one.counts.opened, one.counts.refused),
            *(one.counts.unknown, one.counts.broken, one.counts.lost),
        )
        for one in service.sides
    ]
    return [
        f"service {service.service}: burn of each objective in each window",
        *format_table(header, [_format_objective(one) for one in service.objectives]),
        *format_table(_FLOW_HEADER, flows),
        *_format_imbalance("backend server", service.by_backend),
        *_format_imbalance("zone", service.by_zone),
    ]


def _format_objective(one: ObjectiveBurn) -> tuple[str, ...]:
    cells = (_format_window(window) for window in one.windows)
    name = one.objective.value
    return (name, f"{one.target:g}", *cells, RISK_LABELS[one.risk])


def _format_window(window: WindowBurn) -> str:
    return f"{window.burn:.2f}" if window.flows else "-"


def _format_imbalance(name: str, balance: Balance) -> list[str]:
    """Return the imbalance of the load over backend servers or zones, and their rows.

    The result is empty if there are no groups. If there are too many, only some have
    a row, see `_select_groups`.
    """
    if not balance.groups:
        return []
    mean = sum(group.load for group in balance.groups) / len(balance.groups)
    shown = _select_groups(balance)
    rows = [
        (
            *(group.name, group.opened, group.cut, f"{group.load:.2f}"),
            f"{group.load / mean:.2f}" if mean else "-",
        )
        for group in shown
    ]
    title = f"imbalance by {name}, max to mean: {balance.ratio:.2f}"
    header = (name.upper(), "OPENED", "CUT", "WORK/CAPACITY", "TO MEAN")
    omitted = len(balance.groups) - len(shown)
    rest = [f"and {omitted} more, with fewer cut flows or less load"]
    return [title, *format_table(header, rows), *(rest if omitted else ())]


def _select_groups(balance: Balance) -> Sequence[GroupLoad]:
    """Return all groups or, if there are many, those with most cut flows or load."""
    if len(balance.groups) <= _MAX_ROWS:
        return balance.groups
    worst = sorted(balance.groups, key=lambda group: (-group.cut, -group.load))
    return worst[:_MAX_ROWS]


def _format_summary(report: BurnReport) -> Iterable[str]:
    """Return a line for each objective at risk, the most urgent first."""
    at_risk = [
        (one.risk, service, one)
        for service in report.services
        for one in service.objectives
        if one.risk is not Risk.NONE
    ]
    if not at_risk:
        return ["all objectives are met"]
    at_risk.sort(key=lambda item: -item[0].rank)
    return [_format_at_risk(service, one) for _, service, one in at_risk]


def _format_at_risk(service: ServiceBurn, one: ObjectiveBurn) -> str:
    state = RISK_LABELS[one.risk]
    period = one.windows[-1]
    if one.objective is Objective.IMBALANCE:
        found = f"max to mean is {period.value:.2f}, {one.target:g} is allowed"
    else:
        bad = round(period.value * period.flows)
        what = "flows broken" if one.objective is Objective.AVAILABILITY else "late"
        found = f"{bad} of {period.flows} {what}, {one.spent:.0%} of the budget"
    return f"{state}: {service.service}, {one.objective.value}: {found}"
