"""Tests of the detection of restorations of the store."""

import pytest

from papayagw._internal.core.plain.store.store_era import EraTracker


@pytest.mark.parametrize(
    ("eras", "restored"),
    [
        ([4, 4, 5, 5, 6], [False, False, True, False, True]),
        ([None, 4, None, 4, 5], [False, False, False, False, True]),
        ([None, None], [False, False]),
        ([4, None, 6], [False, False, True]),
        ([5, 4, 4], [False, True, False]),
    ],
)
def test_a_change_of_the_era_is_a_restoration(eras, restored):
    tracker = EraTracker()
    assert [tracker.record(era) for era in eras] == restored
