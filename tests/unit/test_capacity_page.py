from pathlib import Path

import pytest

from bench.capacity import Need, format_needs, format_slopes

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"


@pytest.mark.parametrize("line", [*format_needs(), *format_slopes()])
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
