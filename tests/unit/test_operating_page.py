from pathlib import Path

import pytest

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.core.burn import WINDOWS
from papayagw._internal.exceptions import Step
from papayagw._internal.models.decision import DropReason
from papayagw._internal.models.report import LATENCY_BOUNDS_MS
from papayagw._internal.observe.burn_text import RISK_LABELS
from papayagw._internal.observe.logs import LEVEL_NAMES

PAGE = (Path(__file__).parents[2] / "docs" / "OPERATING.md").read_text()


@pytest.mark.parametrize(
    "word",
    [
        *(f"`{step.value}`" for step in Step),
        *(f"| `{reason.value}` |" for reason in DropReason),
        *(f"| `{word}` |" for word in RISK_LABELS.values()),
        *(f"| {code.value} |" for code in ExitCode),
        *(f"`{level}`" for level in LEVEL_NAMES),
        *(window.name for window in WINDOWS),
        ", ".join(map(str, LATENCY_BOUNDS_MS)),
    ],
)
def test_page_names(word):
    assert word in PAGE
