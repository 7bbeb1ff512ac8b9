"""Burn rates of service-level error budgets over several windows.

The windows and factors are those of the multi-window, multi-burn-rate alerts of the
SRE workbook (Beyer et al. 2018, chapter 5): a long window shows that the burn is
significant, a short one that it is still going on. An error budget is a share of
the flows recorded in 30 days.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import reduce

from papayagw._internal.core.balance import by_backend, by_zone, measure_balance
from papayagw._internal.core.record_selection import PERIOD_MS, Selection
from papayagw._internal.models.burn import (
    BurnReport,
    Objective,
    ObjectiveBurn,
    Risk,
    ServiceBurn,
    SideCounts,
    Window,
    WindowBurn,
)
from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.report import (
    LATENCY_BOUNDS_MS,
    FlowCounts,
    ServiceRecord,
    Side,
)
from papayagw._internal.models.service import Objectives

_MINUTE_MS = 60 * MILLIS_PER_SECOND
_HOUR_MS = 60 * _MINUTE_MS

WINDOWS = (
    Window("5 min", Millis(5 * _MINUTE_MS)),
    Window("30 min", Millis(30 * _MINUTE_MS)),
    Window("1 h", Millis(_HOUR_MS)),
    Window("6 h", Millis(6 * _HOUR_MS)),
    Window("3 d", Millis(72 * _HOUR_MS)),
    Window("30 d", PERIOD_MS),
)
"""Windows in ascending order; the last one is the budget period."""

MAX_BURN = 1_000_000.0
"""Upper limit of burn rates, also reported if no bad flow is allowed."""

_BURN_DIGITS = 9
"""Number of decimals to which burn rates are rounded."""

MIN_FLOWS_PER_INSTANCE = 20
"""With fewer flows on average, imbalance is random and isn't evaluated."""


@dataclass(frozen=True, slots=True)
class BurnRule:
    """Alert rule on the burn rate of an objective.

    Attributes
    ----------
    long_window, short_window : str
        Windows in which the burn rate must reach the factor.
    factor : float
        Minimum burn rate in both windows.
    risk : Risk
        Risk reported if the rule matches.
    """

    long_window: str
    short_window: str
    factor: float
    risk: Risk


BURN_RULES = (
    BurnRule("1 h", "5 min", 14.4, Risk.PAGE),
    BurnRule("6 h", "30 min", 6.0, Risk.PAGE),
    BurnRule("3 d", "6 h", 1.0, Risk.TICKET),
)
"""Alert rules for availability and latency."""

IMBALANCE_RULES = (BurnRule("1 h", "5 min", 1.0, Risk.TICKET),)
"""Alert rule for imbalance."""


def make_report(
    selection: Selection, objectives: Mapping[str, Objectives]
) -> BurnReport:
    """Return the burn report of all services at the end of the latest record.

    Parameters
    ----------
    selection : Selection
        Selected records, at least one.
    objectives : mapping of str to Objectives
        Objectives by service name; services without an entry use the defaults.
    """
    records = selection.records
    end = records[-1].end_ms
    names = sorted({record.service for record in records})
    services = tuple(
        measure_service(
            [record for record in records if record.service == name],
            objectives.get(name, Objectives()),
            end,
        )
        for name in names
    )
    start = min(record.start_ms for record in records)
    return BurnReport(start, end, services, selection.notes)


def measure_service(
    records: Sequence[ServiceRecord], objectives: Objectives, end: Millis
) -> ServiceBurn:
    """Return the burn report of one service at `end`.

    Parameters
    ----------
    records : sequence of ServiceRecord
        Records of the service, at least one.
    objectives : Objectives
        Objectives of the service.
    end : Millis
        End of all windows, in ms since 1970.
    """
    window_records = tuple(_select_window(records, window, end) for window in WINDOWS)
    period = window_records[-1]
    return ServiceBurn(
        service=records[0].service,
        objectives=(
            _evaluate_availability(window_records, objectives),
            _evaluate_latency(window_records, objectives),
            _evaluate_imbalance(window_records, objectives),
        ),
        sides=period.sides,
        by_backend=measure_balance(period.records, by_backend),
        by_zone=measure_balance(period.records, by_zone),
    )


def sum_counts(
    records: Iterable[ServiceRecord], start: Millis, end: Millis, side: Side
) -> FlowCounts:
    """Return the sum of one side's records that end in (`start`, `end`]."""
    counts = (
        record.counts
        for record in records
        if record.side is side and start < record.end_ms <= end
    )
    return reduce(FlowCounts.plus, counts, FlowCounts())


def count_late(counts: FlowCounts, latency: Millis) -> int:
    """Count the openings refused or not certainly answered within `latency` ms.

    The bucket that contains the limit counts as late, so the result may be slightly
    too high but never too low.
    """
    within = sum(bound <= latency for bound in LATENCY_BOUNDS_MS)
    return sum(counts.answered[within:]) + counts.refused


def compute_burn(bad: float, allowed: float) -> float:
    """Return the burn rate, at most `MAX_BURN`: the bad share over the allowed one."""
    if bad <= 0:
        return 0.0
    if allowed <= 0:
        return MAX_BURN
    # 1 - 0.999 isn't exactly 0.001; rounding makes an exactly spent budget burn 1.
    return min(round(bad / allowed, _BURN_DIGITS), MAX_BURN)


@dataclass(frozen=True, slots=True)
class _WindowRecords:
    """Records of one window with the counts of each side."""

    name: str
    records: tuple[ServiceRecord, ...]
    sides: tuple[SideCounts, ...]


def _select_window(
    records: Iterable[ServiceRecord], window: Window, end: Millis
) -> _WindowRecords:
    """Return the records that end in the window up to `end`."""
    start = Millis(end - window.length_ms)
    inside = tuple(one for one in records if start < one.end_ms <= end)
    present = {record.side for record in inside}
    sides = tuple(
        SideCounts(side, sum_counts(inside, start, end, side))
        for side in Side
        if side in present
    )
    return _WindowRecords(window.name, inside, sides)


def _evaluate_availability(
    window_records: Sequence[_WindowRecords], objectives: Objectives
) -> ObjectiveBurn:
    allowed = 1 - objectives.availability
    windows = tuple(
        _pick_worst(
            one.name,
            allowed,
            [(side.counts.cut, _count_flows(side)) for side in one.sides],
        )
        for one in window_records
    )
    return _evaluate(
        Objective.AVAILABILITY, objectives.availability, windows, BURN_RULES
    )


def _evaluate_latency(
    window_records: Sequence[_WindowRecords], objectives: Objectives
) -> ObjectiveBurn:
    allowed = 1 - objectives.latency_share
    windows = tuple(
        _pick_worst(
            one.name,
            allowed,
            [_count_late_openings(side, objectives) for side in one.sides],
        )
        for one in window_records
    )
    return _evaluate(Objective.LATENCY, objectives.latency_share, windows, BURN_RULES)


def _evaluate_imbalance(
    window_records: Sequence[_WindowRecords], objectives: Objectives
) -> ObjectiveBurn:
    windows = tuple(_measure_imbalance(one, objectives) for one in window_records)
    target = objectives.imbalance
    return _evaluate(Objective.IMBALANCE, target, windows, IMBALANCE_RULES)


def _count_flows(side: SideCounts) -> int:
    # A lost flow may have been opened before the first record.
    return max(side.counts.opened, side.counts.cut)


def _count_late_openings(side: SideCounts, objectives: Objectives) -> tuple[int, int]:
    """Return the number of late openings and that of all openings."""
    counts = side.counts
    openings = sum(counts.answered) + counts.refused
    return count_late(counts, objectives.latency_ms), openings


def _pick_worst(
    window: str, allowed: float, sides: Iterable[tuple[int, int]]
) -> WindowBurn:
    """Return the burn of the side with the larger share of bad flows.

    Both sides count the same flows, so their counts must not be added.
    """
    shares = [(bad / flows, flows) for bad, flows in sides if flows]
    share, flows = max(shares, default=(0.0, 0))
    return WindowBurn(window, compute_burn(share, allowed), share, flows)


def _measure_imbalance(one: _WindowRecords, objectives: Objectives) -> WindowBurn:
    """Return the burn rate of the imbalance, 0 with too few flows to measure it."""
    balance = measure_balance(one.records, by_backend)
    flows = sum(group.opened for group in balance.groups)
    burn = 0.0
    if flows >= MIN_FLOWS_PER_INSTANCE * len(balance.groups):
        burn = compute_burn(balance.ratio - 1, objectives.imbalance - 1)
    return WindowBurn(one.name, burn, balance.ratio, flows)


def _evaluate(
    objective: Objective,
    target: float,
    windows: tuple[WindowBurn, ...],
    rules: Iterable[BurnRule],
) -> ObjectiveBurn:
    """Return the burn rates of an objective with the worst risk that they imply."""
    burns = {one.window: one.burn for one in windows}
    risks = [
        rule.risk
        for rule in rules
        if min(burns[rule.long_window], burns[rule.short_window]) >= rule.factor
    ]
    if windows[-1].burn >= 1:
        risks.append(Risk.SPENT)
    return ObjectiveBurn(objective, target, windows, Risk.find_worst(risks))
