"""The burn report as a picture."""

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
from papayagw._internal.observe.burn_text import RISK_WORDS
from papayagw._internal.observe.durations import format_moment

_WIDTH_INCHES = 14.0
_ROW_INCHES = 3.4
_DPI = 100
_BAR_SHARE = 0.8
_SPENT_BURN = 1.0
_SMALLEST_BURN = 0.01
_SMALL_FONT = 8
_TITLE_FONT = 10
_MAX_LABELS = 24


def draw_burn(report: BurnReport, path: Path) -> None:
    """Write the report as a PNG file: burn, and load by backend server and zone.

    Raises
    ------
    ReportError
        If the file can't be written.
    """
    rows = len(report.services)
    size = (_WIDTH_INCHES, _ROW_INCHES * rows + 1)
    # A figure of its own draws with Agg: no display and no global state.
    figure = Figure(figsize=size, dpi=_DPI, layout="constrained")
    axes = figure.subplots(rows, 3, squeeze=False, width_ratios=(4, 4, 3))
    for (burn, backends, zones), service in zip(axes, report.services, strict=True):
        _draw_objectives(burn, service)
        _draw_balance(backends, "backend server", service.by_backend)
        _draw_balance(zones, "zone", service.by_zone)
    figure.suptitle(
        "service-level burn, "
        f"{format_moment(report.start_ms)} to {format_moment(report.end_ms)}"
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
    width = _BAR_SHARE / len(service.objectives)
    for index, one in enumerate(service.objectives):
        places = [at + index * width for at in range(len(one.windows))]
        burns = [max(window.burn, _SMALLEST_BURN) for window in one.windows]
        axes.bar(places, burns, width, label=_label(one))
    axes.axhline(_SPENT_BURN, color="black", linewidth=1, linestyle="--")
    axes.set_yscale("log")
    axes.set_ylim(bottom=_SMALLEST_BURN)
    windows = [window.window for window in service.objectives[0].windows]
    centre = width * (len(service.objectives) - 1) / 2
    axes.set_xticks([at + centre for at in range(len(windows))], windows)
    axes.set_ylabel("burn (1: exactly the budget)")
    axes.set_title(
        f"{service.service}: {RISK_WORDS[service.risk]}", fontsize=_TITLE_FONT
    )
    axes.yaxis.set_major_formatter(FormatStrFormatter("%g"))
    # Below the axes, where it hides no bars.
    axes.legend(
        loc="upper left",
        bbox_to_anchor=(0, -0.1),
        fontsize=_SMALL_FONT,
        frameon=False,
    )


def _label(one: ObjectiveBurn) -> str:
    name = f"{one.objective.value} {one.target:g}"
    return name if one.risk is Risk.NONE else f"{name}: {RISK_WORDS[one.risk]}"


def _draw_balance(axes: Axes, name: str, balance: Balance) -> None:
    names = [group.name for group in balance.groups]
    loads = [group.load for group in balance.groups]
    axes.bar(range(len(names)), loads)
    if loads:
        mean = sum(loads) / len(loads)
        axes.axhline(mean, color="black", linewidth=1, linestyle="--", label="mean")
        axes.legend(fontsize=_SMALL_FONT, loc="lower right")
    step = len(names) // _MAX_LABELS + 1
    places = range(0, len(names), step)
    axes.set_xticks(places, names[::step], rotation=45, ha="right")
    axes.tick_params(axis="x", labelsize=_SMALL_FONT)
    axes.set_ylabel("work over capacity")
    axes.set_title(f"by {name}, max to mean {balance.ratio:.2f}", fontsize=_TITLE_FONT)
