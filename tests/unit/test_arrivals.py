from collections import Counter

import pytest

from papayagw._internal.core.arrivals import Share, plan_arrivals
from papayagw._internal.models.clock import Millis

SHARES = (Share("order", 0.8), Share("feed", 0.2))
DURATION = Millis(100_000)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("rate", [10.0, 200.0])
def test_arrivals_keep_rate_shares_and_order(rate, seed):
    arrivals = list(plan_arrivals(SHARES, rate, DURATION, seed))
    expected = rate * DURATION / 1_000
    assert abs(len(arrivals) - expected) < 4 * expected**0.5
    assert [arrival.number for arrival in arrivals] == list(range(len(arrivals)))
    assert sorted(arrivals, key=lambda arrival: arrival.due) == arrivals
    assert arrivals[-1].due < DURATION
    feeds = Counter(arrival.kind for arrival in arrivals)["feed"]
    assert feeds / len(arrivals) == pytest.approx(0.2, abs=0.05)


@pytest.mark.parametrize(("left", "right", "same"), [(7, 7, True), (7, 8, False)])
def test_seed_determines_arrivals(left, right, same):
    plans = [
        list(plan_arrivals(SHARES, 50.0, DURATION, seed)) for seed in (left, right)
    ]
    assert (plans[0] == plans[1]) is same
