"""Worth of an answer to callers, by the order of waiting openings.

Run with ``python -m bench.waiting_order``; the load test is that of
``tests/unit/test_plain_waiting.py``, without a network.
"""

from tests.unit.test_plain_waiting import EQUALS, KINDS, ORDERS, mean_worth

CASES = (
    *((load, {}) for load in (0.5, 1, 1.1, 1.5, 2, 4)),
    (0.9, {"burst": "b"}),
    (0.6, {"lost": True}),
    (0.9, {"slow": 0}),
)


def main():
    """Print the mean worth for each order, kinds of one priority first."""
    print("priorities", "load", "trouble", *(order.__name__ for order in ORDERS))
    for name, kinds in (("equal", EQUALS), ("unequal", KINDS)):
        for load, trouble in CASES:
            means = (mean_worth(order, kinds, load, **trouble) for order in ORDERS)
            print(name, load, trouble, *(f"{one:.3f}" for one in means), flush=True)


if __name__ == "__main__":
    main()
