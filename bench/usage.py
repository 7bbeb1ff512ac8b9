"""Processor time and memory of processes, read from Linux's /proc."""

import os
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_UTIME, _STIME = 11, 12
"""Field indices in /proc/PID/stat, counted after the command name."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process.

    Attributes
    ----------
    cpu_seconds : float
        User and system processor time since the start of the process.
    rss_kb : int
        Resident memory in KB.
    """

    cpu_seconds: float
    rss_kb: int


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process up to now."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2]
    fields = stat.split()
    ticks = int(fields[_UTIME]) + int(fields[_STIME])
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    rss = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage(ticks / _TICKS_PER_SECOND, int(rss.split()[1]))


def describe_machine() -> str:
    """Return one line with the machine's core count and load averages."""
    load_1min, load_5min, _ = os.getloadavg()
    return (
        f"machine: {os.cpu_count()} cores, load average {load_1min:.1f} (1 min)"
        f" {load_5min:.1f}"
    )


@dataclass(frozen=True, slots=True)
class Line:
    """A line fitted to measurements.

    Attributes
    ----------
    base : float
        Value at size 0.
    slope : float
        Increase of the value per unit of size.
    """

    base: float
    slope: float

    def predict(self, size: float) -> float:
        """Return the fitted value at `size`."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least-squares line through measurements."""
    slope, base = statistics.linear_regression(sizes, values)
    return Line(base, slope)
