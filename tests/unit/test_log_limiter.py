import pytest

from papayagw._internal.core.log_limiter import MAX_KINDS, LogLimiter


@pytest.mark.parametrize(
    ("times", "admitted"),
    [
        ([0, 0, 0], [0, 0, None]),
        ([0, 0, 0, 999], [0, 0, None, None]),
        ([0, 0, 0, 0, 1_000], [0, 0, None, None, 2]),
        ([0, 0, 0, 1_000, 1_000, 1_000, 2_500], [0, 0, None, 1, 0, None, 1]),
    ],
)
def test_window_admits_burst_and_counts_rest(times, admitted):
    limiter = LogLimiter(burst=2, window=1_000)
    assert [limiter.admit("bad tag", at) for at in times] == admitted


def test_kinds_have_separate_limits():
    limiter = LogLimiter(burst=1, window=1_000)
    assert [limiter.admit(kind, 0) for kind in "abab"] == [0, 0, None, None]


def test_suppressed_counts_are_returned_once_after_window():
    limiter = LogLimiter(burst=1, window=1_000)
    for _ in range(5):
        limiter.admit("bad tag", 0)
    assert limiter.pop_suppressed(999) == {}
    assert limiter.pop_suppressed(1_000) == {"bad tag": 4}
    assert limiter.pop_suppressed(1_000) == {}


def test_number_of_kinds_is_bounded():
    limiter = LogLimiter(burst=1, window=1_000)
    admitted = [limiter.admit(f"kind {number}", 0) for number in range(2 * MAX_KINDS)]
    assert admitted.count(0) == MAX_KINDS
