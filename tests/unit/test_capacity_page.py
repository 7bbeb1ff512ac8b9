import json
from pathlib import Path

import pytest

from bench.capacity import Need, format_needs, format_slopes
from bench.sweep_slopes import HEADINGS, Slope, format_slope, read_slopes

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
SWEEP = ROOT / "journal" / "20261204T211859-a9b968bc.json"
"""Journal entry of the sweep that the page shows."""

SWEEP_LINES = [
    *HEADINGS,
    *map(format_slope, read_slopes(json.loads(SWEEP.read_text())["digest"])),
]


def test_slopes_of_both_roles_are_read_from_a_sweep():
    assert len(SWEEP_LINES) == len(HEADINGS) + 10


@pytest.mark.parametrize(
    ("power", "at_design_size"), [(0.0, 8.0), (-0.5, 8.0), (0.5, 16.0), (1.0, 32.0)]
)
def test_only_growth_is_carried_on(power, at_design_size):
    slope = Slope("agent: memory", "MB", (8.0, 8.0, 8.0), power, 2_585)
    assert slope.at_design_size == pytest.approx(at_design_size)


@pytest.mark.parametrize("line", [*format_needs(), *format_slopes(), *SWEEP_LINES])
def test_page_has_each_line_that_the_command_prints(line):
    assert line in PAGE.read_text(encoding="utf-8").splitlines()


@pytest.mark.parametrize(
    ("value", "budget", "verdict"),
    [
        (1.0, 2.0, "kept"),
        (2.0, 2.0, "kept"),
        (2.1, 2.0, "broken"),
        (9.0, None, "no budget"),
    ],
)
def test_verdict_follows_budget(value, budget, verdict):
    assert Need("role", "what", value, "unit", budget).verdict == verdict
