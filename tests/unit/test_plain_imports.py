"""Tests of the modules that each role imports.

A process serves nothing while it starts, so imports must stay few.
"""

import subprocess
import sys

import pytest

FORBIDDEN_MODULES = {
    "absl",
    "aioquic",
    "anyio",
    "asyncio",
    "capnp",
    "cryptography",
    "fire",
    "httpx",
    "json5",
    "logging",
    "matplotlib",
    "numpy",
    "returns",
    "starlette",
    "statsd",
    "uvicorn",
}
MEMORY_LIMIT_KB = 25 * 1024
"""Limit on the peak resident memory of a process until it serves."""


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_a_role_imports_no_unused_heavy_modules(role):
    code = (
        "import sys\n"
        f"import papayagw._internal.net.plain.{role}_process\n"
        "import papayagw.platform.__main__\n"
        "status = open('/proc/self/status').read().splitlines()\n"
        "print(*[one.split()[1] for one in status if one.startswith('VmHWM')])\n"
        "print(*{name.partition('.')[0] for name in sys.modules})\n"
    )
    # -S skips the modules that the environment's site start-up files import.
    found = subprocess.run(
        [
            sys.executable,
            "-S",
            "-c",
            f"import sys; sys.path[:0] = {sys.path!r}\n{code}",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    memory, modules = found.stdout.splitlines()
    assert not FORBIDDEN_MODULES & set(modules.split())
    assert int(memory) < MEMORY_LIMIT_KB
