"""Start of papayagw processes in tests."""

import os
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


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
