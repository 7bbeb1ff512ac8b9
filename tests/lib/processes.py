"""Start of papayagw processes in tests, and waiting for what they do."""

import ctypes
import os
import signal
import subprocess
import sys
import time
from contextlib import contextmanager, suppress
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


_PR_SET_CHILD_SUBREAPER = 36
"""Linux's option of prctl that makes orphaned descendants children of this process."""


def adopt_orphans():
    """Become the parent of processes whose own parent ends, so that they are found."""
    ctypes.CDLL(None).prctl(_PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)


def list_children():
    """Return the ids of this process's children."""
    files = Path("/proc/self/task").glob("*/children")
    return [int(child) for file in files for child in file.read_text().split()]


def end_children():
    """Kill all descendants of this process; return the command lines of those left.

    An interrupt may come between the start of a process and its registration with the
    object that ends it, and a process that is killed can't end its own children.
    """
    commands = []
    while children := list_children():
        for child in children:
            with suppress(OSError):
                line = Path(f"/proc/{child}/cmdline").read_bytes()
                commands.append(line.replace(b"\0", b" ").decode(errors="replace"))
            with suppress(ProcessLookupError):
                os.kill(child, signal.SIGKILL)
            with suppress(ChildProcessError):
                os.waitpid(child, 0)
    # Those that had ended, but weren't waited for, have no command line.
    return [one for one in commands if one]
