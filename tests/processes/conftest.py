import sys

import pytest

from tests.lib.processes import adopt_orphans, end_children
from tools.fleet import claimed_block

FIRST_BLOCK = 200


def pytest_configure(config):
    adopt_orphans()


def pytest_unconfigure(config):
    """End what the fixtures couldn't, as after an interrupt."""
    for command in end_children():
        print(f"ended a process that was left: {command}", file=sys.stderr)


@pytest.fixture(scope="session")
def block():
    """Return the number of a block of loopback addresses not used by another run."""
    with claimed_block(FIRST_BLOCK) as number:
        yield number
