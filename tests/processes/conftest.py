import pytest

from tools.fleet import claimed_block

FIRST_BLOCK = 200


@pytest.fixture(scope="session")
def block():
    """Return a block of IP numbers that no other run of the tests uses."""
    with claimed_block(FIRST_BLOCK) as number:
        yield number
