"""Memory of a flow table at a balancer, which flow tags make unnecessary.

``python -m bench.flow_table_memory`` fills the simplest possible table, a dict from
a caller's address to an agent, at several sizes, and fits a line.
"""

import tracemalloc

import fire

from bench.usage import describe_machine, fit_line

SIZES = (10_000, 50_000, 100_000, 200_000, 400_000)


def measure(flows: int) -> float:
    """Return the memory in KB of a table of `flows` flows."""
    agent = ("127.0.0.1", 4310)
    tracemalloc.start()
    table = {
        (f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 1_024 + n % 60_000): agent
        for n in range(flows)
    }
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return used / 1_024


def main():
    """Measure and print the memory and the slope of the fitted line."""
    values = [measure(size) for size in SIZES]
    print(describe_machine())
    for size, value in zip(SIZES, values, strict=True):
        print(f"{size:>8} flows {value:>9.0f} KB")
    print(f"slope {fit_line(SIZES, values).slope * 1_024:.0f} bytes a flow")


if __name__ == "__main__":
    fire.Fire(main)
