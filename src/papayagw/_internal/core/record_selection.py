"""Selection of the service-level records that are valid for a report.

Records may come from several files, in any order, more than once, and from machines
with wrong clocks.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.report import ServiceRecord, Side

PERIOD_MS = Millis(30 * 24 * 3600 * MILLIS_PER_SECOND)
"""Period of an error budget."""

MAX_CLOCK_SKEW_MS = Millis(60_000)
"""Maximum time by which a recorder's clock may be ahead."""

MAX_EXACT_INTERVAL_MS = Millis(300_000)
"""Length above which a record overstates the counts of the shortest burn window."""


@dataclass(frozen=True, slots=True)
class Selection:
    """Selected records, and the numbers of skipped records and of long selected ones.

    Attributes
    ----------
    records : tuple of ServiceRecord
        Sorted by end; records of one service, instance and side don't overlap.
    ahead : int
        Number of skipped records that end more than `MAX_CLOCK_SKEW_MS` in the future.
    overlapping : int
        Number of skipped records that overlap an earlier one of the same service,
        instance and side.
    old : int
        Number of skipped records that ended before the last `PERIOD_MS`.
    long : int
        Number of selected records longer than `MAX_EXACT_INTERVAL_MS`.
    """

    records: tuple[ServiceRecord, ...]
    ahead: int = 0
    overlapping: int = 0
    old: int = 0
    long: int = 0

    @property
    def notes(self) -> tuple[str, ...]:
        """Remarks on skipped and long records, for the reader of a report."""
        notices = (
            ("skipped (ending in the future, a clock is wrong)", self.ahead),
            ("skipped (overlapping earlier records)", self.overlapping),
            ("skipped (older than 30 d)", self.old),
            ("longer than 5 min, which overstate short windows", self.long),
        )
        return tuple(f"records {notice}: {count}" for notice, count in notices if count)


def select_records(records: Iterable[ServiceRecord], now: Millis) -> Selection:
    """Return the records of the `PERIOD_MS` before `now`, without overlapping ones.

    Parameters
    ----------
    records : iterable of ServiceRecord
        Records in any order.
    now : Millis
        Current time, in ms since 1970.
    """
    ordered = sorted(records, key=lambda record: (record.start_ms, record.end_ms))
    past = [record for record in ordered if record.end_ms <= now + MAX_CLOCK_SKEW_MS]
    recent = [record for record in past if record.end_ms > now - PERIOD_MS]
    kept = _drop_overlapping(recent)
    return Selection(
        records=tuple(sorted(kept, key=lambda record: record.end_ms)),
        ahead=len(ordered) - len(past),
        overlapping=len(recent) - len(kept),
        old=len(past) - len(recent),
        long=sum(record.duration_ms > MAX_EXACT_INTERVAL_MS for record in kept),
    )


def _drop_overlapping(ordered: Iterable[ServiceRecord]) -> list[ServiceRecord]:
    """Drop records that overlap an earlier one of the same service, instance and side.

    `ordered` is sorted by start.
    """
    covered: dict[tuple[str, str, Side], Millis] = {}
    kept = []
    for record in ordered:
        key = (record.service, record.instance, record.side)
        if record.start_ms >= covered.get(key, record.start_ms):
            covered[key] = record.end_ms
            kept.append(record)
    return kept
