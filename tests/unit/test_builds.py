"""Tests of the scripts that install packages.

Another machine's packages are replaced, and a role that starts during a build finds
its package.
"""

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

PROBE = """#!/bin/sh
# Stands in for a program of the same name: records that the package is missing.
[ -e target/deps/papayagw/__init__.py ] || echo "missing before NAME $*" >> "$CALLS"
PATH=${PATH#*:} exec NAME "$@"
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


def test_the_package_is_there_at_each_step_of_a_build(tmp_path):
    """Roles failed to start while another build had removed the package."""
    environment = make_checkout(tmp_path)
    (tmp_path / "src" / "papayagw" / "__init__.py").touch()
    run("deploy/build", tmp_path, environment)
    for name in ("cp", "find", "ln", "mv", "readlink", "rm"):
        path = tmp_path / "programs" / name
        path.write_text(PROBE.replace("NAME", name))
        path.chmod(0o755)
    for _ in range(3):
        run("deploy/build", tmp_path, environment)
        assert "missing" not in (tmp_path / "calls").read_text()
    folders = [one for one in (tmp_path / "target").iterdir() if one.is_dir()]
    # The one in use, by both of its names, and the previous one.
    assert len(folders) == 3
