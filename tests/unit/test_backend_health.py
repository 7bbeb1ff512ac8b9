import pytest

from papayagw._internal.core.backend_health import ConnectHealth
from papayagw._internal.models.clock import Millis


@pytest.mark.parametrize(
    ("connects", "now", "reachable"),
    [
        ([], 0, True),
        ([(0, True)], 0, True),
        ([(0, False)], 199, False),
        ([(0, False)], 200, True),
        ([(0, False), (50, False)], 200, True),
        ([(0, False), (200, False)], 599, False),
        ([(0, False), (200, False)], 600, True),
        ([(0, False), (50, True)], 51, True),
        ([(at, False) for at in range(0, 100_000, 5_000)], 99_999, False),
        ([(at, False) for at in range(0, 100_000, 5_000)], 100_000, True),
    ],
)
def test_pause_after_failed_connects(connects, now, reachable):
    health = ConnectHealth()
    for at, reached in connects:
        health.record_connect(reached, Millis(at))
    assert health.is_reachable(Millis(now)) is reachable
