import pytest

from papayagw._internal.core.deadlines import DeadlineQueue


@pytest.mark.parametrize(
    ("settings", "now", "due", "next_at"),
    [
        ([], 10, [], None),
        ([("a", 5), ("b", 7)], 4, [], 5),
        ([("a", 5), ("b", 7)], 5, ["a"], 7),
        ([("b", 7), ("a", 5)], 9, ["a", "b"], None),
        ([("a", 5), ("a", 8)], 6, [], 8),
        ([("a", 8), ("a", 5)], 6, ["a"], None),
        ([("a", 5), ("a", None)], 6, [], None),
        ([("a", 5), ("a", 8), ("a", 5)], 5, ["a"], None),
    ],
)
def test_due_keys_are_returned_once_and_in_order(settings, now, due, next_at):
    queue = DeadlineQueue()
    for key, at in settings:
        queue.set(key, at)
    assert queue.pop_due(now) == due
    assert queue.next_at == next_at
