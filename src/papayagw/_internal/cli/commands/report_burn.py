"""``papayagw report burn``: burn rates of error budgets."""

import json
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from returns.result import Failure

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.site_files import read_site
from papayagw._internal.core.burn import make_report
from papayagw._internal.core.record_selection import select_records
from papayagw._internal.exceptions import ReportError, SettingsError, Step
from papayagw._internal.models.burn import BurnReport, Risk
from papayagw._internal.models.service import Objectives
from papayagw._internal.net.clock import WallClock
from papayagw._internal.observe.burn_text import format_burn
from papayagw._internal.observe.json_values import to_json_value
from papayagw._internal.observe.records import InvalidLine, read_records

_MAX_SHOWN_INVALID_LINES = 3
_RECORDS_REMEDY = "create records with papayagw status NODE... --record FILE"


class ReportBurnCommand:
    """Report the burn rates of error budgets."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return report_burn


def report_burn(
    *records: str,
    settings: str | None = None,
    overlay: str | None = None,
    json: bool = False,
    picture: str | None = None,
) -> int:
    """Report how fast each service consumes the error budgets of its objectives.

    All windows end with the newest record. A burn of 1 consumes exactly the budget.
    The last window, 30 d, is the period of the budget itself; it is computed from
    the records that cover part of it.

    Exit codes: 0 no budget is spent, 1 at least one is, 2 the command line or a
    settings file is invalid, 4 there are no usable records or a file can't be read
    or written.

    Parameters
    ----------
    records : str
        Files written by ``papayagw status --record``.
    settings : str
        Base file, which contains the objectives. Without it, the default objectives
        apply to each service.
    overlay : str
        Overlay of the site.
    json : bool
        Print JSON instead of tables.
    picture : str
        Also draw the report as a chart in this PNG file.
    """
    objectives = _read_objectives(settings, overlay)
    report = _read_report([str(record) for record in records], objectives)
    print(_format_json(report) if json else format_burn(report))
    if picture is not None:
        _draw(report, Path(str(picture)))
    return ExitCode.REFUSED if report.risk is Risk.SPENT else ExitCode.OK


def _read_objectives(base: str | None, overlay: str | None) -> Mapping[str, Objectives]:
    if base is None:
        return {}
    site = read_site(base, overlay)
    return {service.name: service.objectives for service in site.services}


def _read_report(
    names: Sequence[str], objectives: Mapping[str, Objectives]
) -> BurnReport:
    if not names:
        raise SettingsError(
            "no record file is given", step=Step.SETTINGS, remedy=_RECORDS_REMEDY
        )
    result = read_records([Path(name) for name in names])
    if isinstance(result, Failure):
        raise result.failure()
    loaded = result.unwrap()
    selection = select_records(loaded.records, WallClock().now())
    if not selection.records:
        what = "; ".join(
            (
                "no usable records",
                *selection.notes,
                *_format_invalid_lines(loaded.invalid_lines),
            )
        )
        peer = ", ".join(names)
        raise ReportError(what, step=Step.REPORT, peer=peer, remedy=_RECORDS_REMEDY)
    report = make_report(selection, objectives)
    notes = (*report.notes, *_format_invalid_lines(loaded.invalid_lines))
    return BurnReport(report.start_ms, report.end_ms, report.services, notes)


def _format_invalid_lines(invalid_lines: Sequence[InvalidLine]) -> list[str]:
    notes = [f"skipped {line}" for line in invalid_lines[:_MAX_SHOWN_INVALID_LINES]]
    if len(invalid_lines) > _MAX_SHOWN_INVALID_LINES:
        notes.append(
            f"skipped {len(invalid_lines) - _MAX_SHOWN_INVALID_LINES} more lines"
        )
    return notes


def _format_json(report: BurnReport) -> str:
    return json.dumps(to_json_value(report))


def _draw(report: BurnReport, path: Path) -> None:
    # Imported on demand: the plotting library takes a second to load and is seldom
    # needed.
    from papayagw._internal.observe.burn_picture import draw_burn_chart

    draw_burn_chart(report, path)


COMMAND = ReportBurnCommand()
