"""Tests of the scripts that install packages: another machine's are replaced."""

import os
import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
KIND = "arm-3.11.6"
"""Kind of machine that the stand-in of Python claims."""

PYTHON = """#!/bin/sh
# Stands in for python3: claims a kind of machine and records what it is asked to do.
echo "$*" >> "$CALLS"
case "$*" in
    -c*) echo KIND ;;
    "-m venv"*) for folder; do :; done; mkdir -p "$folder/bin"
        cp "$0" "$folder/bin/pip" ;;
    "-m pip"*) mkdir -p target/deps ;;
esac
"""


def make_checkout(folder):
    """Copy the scripts and what they read; return the environment to run them in."""
    for name in ("tools", "deploy"):
        shutil.copytree(ROOT / name, folder / name)
    for name in ("pyproject.toml", "constraints.txt"):
        shutil.copy(ROOT / name, folder)
    (folder / "src" / "papayagw").mkdir(parents=True)
    programs = folder / "programs"
    programs.mkdir()
    (programs / "python3").write_text(PYTHON.replace("KIND", KIND))
    (programs / "python3").chmod(0o755)
    path = f"{programs}{os.pathsep}{os.environ['PATH']}"
    return {"PATH": path, "CALLS": str(folder / "calls")}


def run(script, folder, environment):
    """Run a script; return whether it installed packages."""
    calls = folder / "calls"
    calls.unlink(missing_ok=True)
    subprocess.run(["bash", script], cwd=folder, env=environment, check=True)
    return any("install" in line for line in calls.read_text().splitlines())


@pytest.mark.parametrize(
    ("script", "built", "stamps"),
    [
        ("deploy/build", "target/deps", ".done-*"),
        ("tools/setup-env", ".venv", ".installed-*"),
    ],
)
@pytest.mark.parametrize(
    ("kind", "is_rebuilt"),
    [(KIND, False), ("x86_64-3.11.6", True), ("arm-3.12.1", True), (None, True)],
)
def test_packages_of_another_kind_of_machine_are_rebuilt(
    tmp_path, script, built, stamps, kind, is_rebuilt
):
    environment = make_checkout(tmp_path)
    assert run(script, tmp_path, environment)
    (stamp,) = (tmp_path / built).glob(stamps)
    assert stamp.name.endswith(KIND)
    left = tmp_path / built / "left-by-another-machine"
    left.touch()
    if kind is None:
        stamp.unlink()
    else:
        stamp.rename(stamp.with_name(stamp.name.replace(KIND, kind)))
    assert run(script, tmp_path, environment) is is_rebuilt
    if script == "deploy/build":
        assert left.exists() is not is_rebuilt
