"""Start of papayagw processes in tests, and waiting for what they do."""

import os
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


POLL_INTERVAL_S = 0.02


def wait_until(condition, timeout_s, failure):
    """Poll until `condition` holds; fail with the text `failure` after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"{failure} after {timeout_s} s"
        time.sleep(POLL_INTERVAL_S)


def environment():
    """Return the environment variables with which processes use this source tree."""
    return {**os.environ, "PYTHONPATH": str(ROOT / "src")}


@contextmanager
def running(*arguments):
    """Run a papayagw command; enter the context once it reports that it is ready."""
    process = subprocess.Popen(
        [sys.executable, "-m", "papayagw", *map(str, arguments)],
        env=environment(),
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout.readline().startswith("ready")
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
