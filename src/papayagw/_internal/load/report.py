"""Results of a load run, as a table and as JSON."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass

from hdrh.histogram import HdrHistogram

from papayagw._internal.load.verdict import FAULTS, Outcome

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000
_PERCENTILES = (50.0, 99.0, 99.9, 100.0)


@dataclass(frozen=True, slots=True)
class KindReport:
    """Results of the requests of one kind.

    Attributes
    ----------
    outcomes : dict
        Number of requests by outcome.
    p50_ms, p99_ms, p999_ms, max_ms : float
        Latency from the intended start to the first line of the response, in
        milliseconds.
    """

    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class JournalReport:
    """Comparison of the backend servers' journals with the outcomes of a run.

    Attributes
    ----------
    run : int
        Number of requests of the load run that were executed.
    doubled : int
        Number of requests that were executed more than once, on any backend servers.
    refused_but_run : int
        Number of requests that were executed although their caller was told that
        they were refused.
    done_but_not_run : int
        Number of requests that had the expected response but are in no journal.
    """

    run: int
    doubled: int
    refused_but_run: int
    done_but_not_run: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Results of a load run.

    Attributes
    ----------
    seconds : float
        Duration of the run, in seconds.
    kinds : dict
        Results by the name of the kind of request.
    journal : JournalReport or None
        Comparison with the journals; None if no journal was read.
    """

    seconds: float
    kinds: dict[str, KindReport]
    journal: JournalReport | None = None

    @property
    def outcomes(self) -> Counter[str]:
        """Number of requests of all kinds by outcome."""
        total: Counter[str] = Counter()
        for report in self.kinds.values():
            total.update(report.outcomes)
        return total

    @property
    def has_faults(self) -> bool:
        """Whether an outcome or the journals show a violation of the guarantees."""
        if any(self.outcomes[fault.value] for fault in FAULTS):
            return True
        journal = self.journal
        return journal is not None and bool(
            journal.doubled or journal.refused_but_run or journal.done_but_not_run
        )

    def format_json(self) -> str:
        """Return the results as JSON."""
        return json.dumps(asdict(self), indent=2)

    def format_table(self) -> str:
        """Return the results as a plain-text table."""
        names = [outcome.value for outcome in Outcome]
        head = ["kind", *names, "p50 ms", "p99 ms", "max ms"]
        rows = [[name, *_format_row(one, names)] for name, one in self.kinds.items()]
        widths = [max(len(row[i]) for row in (head, *rows)) for i in range(len(head))]
        lines = [
            "  ".join(
                cell.rjust(width) for cell, width in zip(row, widths, strict=True)
            )
            for row in (head, *rows)
        ]
        if self.journal is not None:
            counts = asdict(self.journal).items()
            words = ", ".join(f"{name.replace('_', ' ')} {n}" for name, n in counts)
            lines.append(f"backend servers: {words}")
        return "\n".join(lines)


class LoadRecorder:
    """Recorder of outcomes and latencies during a run."""

    def __init__(self) -> None:
        self._outcomes: dict[str, Counter[str]] = defaultdict(Counter)
        self._latencies: dict[str, HdrHistogram] = {}
        self._outcomes_by_id: dict[str, Outcome] = {}

    @property
    def outcomes_by_id(self) -> Mapping[str, Outcome]:
        """Outcome of each request, by its id."""
        return self._outcomes_by_id

    def record_latency(self, kind: str, latency_us: int) -> None:
        """Record the time from the intended start to the first line of the response."""
        histogram = self._latencies.get(kind)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
            self._latencies[kind] = histogram
        histogram.record_value(max(latency_us, _LOWEST_US))

    def record_outcome(self, kind: str, request_id: str, outcome: Outcome) -> None:
        """Record the outcome of a request."""
        self._outcomes[kind][outcome.value] += 1
        self._outcomes_by_id[request_id] = outcome

    def make_report(
        self, seconds: float, journal: JournalReport | None = None
    ) -> LoadReport:
        """Return the report of the recorded requests."""
        kinds = {
            kind: KindReport(dict(outcomes), *self._latency_percentiles(kind))
            for kind, outcomes in sorted(self._outcomes.items())
        }
        return LoadReport(seconds, kinds, journal)

    def _latency_percentiles(self, kind: str) -> tuple[float, float, float, float]:
        """Return the p50, p99, p99.9 and maximum latency in milliseconds.

        All are 0 if no latency was recorded.
        """
        histogram = self._latencies.get(kind)
        if histogram is None:
            return (0.0, 0.0, 0.0, 0.0)
        p50, p99, p999, top = (
            histogram.get_value_at_percentile(one) / _US_PER_MS for one in _PERCENTILES
        )
        return (p50, p99, p999, top)


def compare_journals(
    outcomes_by_id: Mapping[str, Outcome], journals: Iterable[Mapping[str, int]]
) -> JournalReport:
    """Compare the outcomes that callers saw with the journals of backend servers.

    Journals map request ids to numbers of executions; ids without an outcome, such
    as those of other runs, are ignored.
    """
    runs: Counter[str] = Counter()
    for journal in journals:
        runs.update({one: n for one, n in journal.items() if one in outcomes_by_id})
    refused = [
        one for one, outcome in outcomes_by_id.items() if outcome is Outcome.REFUSED
    ]
    done = [one for one, outcome in outcomes_by_id.items() if outcome is Outcome.DONE]
    return JournalReport(
        run=len(runs),
        doubled=sum(1 for times in runs.values() if times > 1),
        refused_but_run=sum(1 for one in refused if one in runs),
        done_but_not_run=sum(1 for one in done if one not in runs),
    )


def _format_row(report: KindReport, names: list[str]) -> list[str]:
    counts = [str(report.outcomes.get(name, 0)) for name in names]
    times = (report.p50_ms, report.p99_ms, report.max_ms)
    return [*counts, *(f"{one:.1f}" for one in times)]
