"""An interrupted run of tests leaves no process behind."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.lib.processes import ROOT

TEST = """
import os, signal, subprocess, time

# A shell that starts this run in the background has it ignore interrupts.
signal.signal(signal.SIGINT, signal.default_int_handler)

def start():
    # A process that isn't registered anywhere, with a child of its own.
    subprocess.Popen(["sh", "-c", "sleep {mark} & exec sleep {mark}"])
    time.sleep(0.3)

def test_it():
    {steps}
"""


def find_processes(mark):
    """Return the ids of processes with an argument."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            words = path.read_bytes().split(b"\0")
        except OSError:
            continue
        if mark.encode() in words:
            found.append(path.parent.name)
    return found


@pytest.mark.parametrize(
    ("steps", "code"),
    [
        ("start(); os.kill(os.getpid(), signal.SIGINT); time.sleep(5)", 2),
        ("start(); assert False", 1),
        ("start()", 0),
    ],
)
def test_a_run_leaves_no_process(tmp_path, steps, code):
    mark = f"{1_000_000 + os.getpid()}"
    path = tmp_path / "test_it.py"
    path.write_text(TEST.format(mark=mark, steps=steps))
    plugin = ["-p", "tests.processes.conftest", "-p", "no:cacheprovider"]
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *plugin, "--rootdir", tmp_path, path],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert done.returncode == code
    assert find_processes(mark) == []
    assert done.stderr.count(f"left: sleep {mark}") == 2
