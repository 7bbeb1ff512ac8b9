import json
import subprocess
import sys
from contextlib import ExitStack

import pytest

from tests.lib.processes import ROOT, environment, running


@pytest.mark.parametrize(
    ("profile", "services", "swapped", "code"),
    [
        ("valukoja", ("order", "drawings"), False, 0),
        ("norrbo", ("ledger", "intake"), False, 0),
        ("norrbo", ("ledger", "intake"), True, 1),
    ],
)
def test_load_reports_what_backends_ran(block, profile, services, swapped, code):
    servers = {one: f"127.{block}.3.{i + 1}:19020" for i, one in enumerate(services)}
    answering = reversed(services) if swapped else services
    targets = zip(answering, servers.values(), strict=True)
    words = "--targets", ",".join(f"{name}={at}" for name, at in targets)
    with ExitStack() as stack:
        for kind, at in servers.items():
            plan = "--listen", at, "--kind", kind, "--name", f"{kind}-1"
            stack.enter_context(running("standin", "backend", *plan))
        run = subprocess.run(
            [sys.executable, "-m", "papayagw", "load", profile, *words]
            + [
                "--rate",
                "60",
                "--seconds",
                "1",
                "--feed_lines",
                "2",
                "--as_json",
                "--seed",
                "3",
            ]
            + ["--backends", ",".join(servers.values())],
            env=environment(),
            capture_output=True,
            text=True,
            cwd=ROOT,
        )
    assert run.returncode == code, run.stderr
    report = json.loads(run.stdout)
    outcomes = {name: one["outcomes"] for name, one in report["kinds"].items()}
    total = sum(sum(one.values()) for one in outcomes.values())
    ended_well = sum(one.get("done", 0) for one in outcomes.values())
    assert report["journal"]["run"] == ended_well == (0 if swapped else total)
