import pytest

from tools.fleet import claimed_block

FIRST_BLOCK = 200


@pytest.fixture(scope="session")
def block():
    """Return the number of a block of loopback addresses not used by another run."""
    with claimed_block(FIRST_BLOCK) as number:
        yield number
