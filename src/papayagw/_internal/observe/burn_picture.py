"""Charts of the burn report, drawn with Matplotlib."""

from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import FormatStrFormatter

from papayagw._internal.exceptions import ReportError, Step
from papayagw._internal.models.burn import (
    Balance,
    BurnReport,
    ObjectiveBurn,
    Risk,
    ServiceBurn,
)
from papayagw._internal.observe.burn_text import RISK_LABELS
from papayagw._internal.observe.durations import format_timestamp

_WIDTH_INCHES = 14.0
_ROW_INCHES = 3.4
_DPI = 100
_BAR_GROUP_WIDTH = 0.8
_FULL_BUDGET_BURN = 1.0
"""Burn rate at which exactly the budget is used up, drawn as a dashed line."""

_MIN_BURN = 0.01
"""Lower end of the logarithmic axis, at which lower burn rates are drawn."""

_SMALL_FONT_SIZE = 8
_TITLE_FONT_SIZE = 10
_MAX_LABELS = 24
"""Maximum number of labelled bars in a chart."""


def draw_burn_chart(report: BurnReport, path: Path) -> None:
    """Write charts of burn rates and load by backend server and zone to a PNG file.

    Raises
    ------
    ReportError
        If the file cannot be written.
    """
    rows = len(report.services)
    size = (_WIDTH_INCHES, _ROW_INCHES * rows + 1)
    # A Figure created without pyplot renders with Agg: it needs no display and has
    # no global state.
    figure = Figure(figsize=size, dpi=_DPI, layout="constrained")
    axes = figure.subplots(rows, 3, squeeze=False, width_ratios=(4, 4, 3))
    for (burn, backends, zones), service in zip(axes, report.services, strict=True):
        _draw_objectives(burn, service)
        _draw_balance(backends, "backend server", service.by_backend)
        _draw_balance(zones, "zone", service.by_zone)
    figure.suptitle(
        "service-level burn, "
        f"{format_timestamp(report.start_ms)} to {format_timestamp(report.end_ms)}"
    )
    try:
        figure.savefig(path, format="png")
    except OSError as error:
        raise ReportError(
            f"the picture can't be written: {error.strerror}",
            step=Step.REPORT,
            peer=str(path),
            remedy="give a file that you may write",
        ) from error


def _draw_objectives(axes: Axes, service: ServiceBurn) -> None:
    """Draw the burn rates of a service by window, one colour per objective."""
    width = _BAR_GROUP_WIDTH / len(service.objectives)
    for index, objective in enumerate(service.objectives):
        positions = [
            position + index * width for position in range(len(objective.windows))
        ]
        burns = [max(window.burn, _MIN_BURN) for window in objective.windows]
        axes.bar(positions, burns, width, label=_format_legend_label(objective))
    axes.axhline(_FULL_BUDGET_BURN, color="black", linewidth=1, linestyle="--")
    axes.set_yscale("log")
    axes.set_ylim(bottom=_MIN_BURN)
    windows = [window.window for window in service.objectives[0].windows]
    centre = width * (len(service.objectives) - 1) / 2
    axes.set_xticks([position + centre for position in range(len(windows))], windows)
    axes.set_ylabel("burn (1: exactly the budget)")
    axes.set_title(
        f"{service.service}: {RISK_LABELS[service.risk]}", fontsize=_TITLE_FONT_SIZE
    )
    axes.yaxis.set_major_formatter(FormatStrFormatter("%g"))
    # The legend is below the axes so that it does not cover any bars.
    axes.legend(
        loc="upper left",
        bbox_to_anchor=(0, -0.1),
        fontsize=_SMALL_FONT_SIZE,
        frameon=False,
    )


def _format_legend_label(objective: ObjectiveBurn) -> str:
    name = f"{objective.objective.value} {objective.target:g}"
    return (
        name
        if objective.risk is Risk.NONE
        else f"{name}: {RISK_LABELS[objective.risk]}"
    )


def _draw_balance(axes: Axes, name: str, balance: Balance) -> None:
    """Draw the load of each group as a bar, with a line for the mean."""
    names = [group.name for group in balance.groups]
    loads = [group.load for group in balance.groups]
    axes.bar(range(len(names)), loads)
    if loads:
        mean = sum(loads) / len(loads)
        axes.axhline(mean, color="black", linewidth=1, linestyle="--", label="mean")
        axes.legend(fontsize=_SMALL_FONT_SIZE, loc="lower right")
    step = len(names) // _MAX_LABELS + 1
    positions = range(0, len(names), step)
    axes.set_xticks(positions, names[::step], rotation=45, ha="right")
    axes.tick_params(axis="x", labelsize=_SMALL_FONT_SIZE)
    axes.set_ylabel("work over capacity")
    axes.set_title(
        f"by {name}, max to mean {balance.ratio:.2f}", fontsize=_TITLE_FONT_SIZE
    )
