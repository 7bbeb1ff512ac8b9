"""Measure processes while flows are held open and idle."""

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

from bench.usage import Line, Usage, fit_line, read_usage
from papayagw._internal.models.endpoint import Endpoint
from tools.fleet import Fleet

_RESPONSE_TIMEOUT_S = 30.0
_SETTLE_S = 1.0
_MEASURE_S = 5.0


@dataclass(frozen=True, slots=True)
class HeldFlowsUsage:
    """Resource usage of the processes at one number of open flows.

    Attributes
    ----------
    flows : int
        Number of open, idle flows.
    rss_kb : dict
        Resident memory of each process in KB, by name.
    cpu_share : dict
        Share of one core used by each process, by name.
    """

    flows: int
    rss_kb: dict[str, int]
    cpu_share: dict[str, float]


def hold_flows(
    fleet: Fleet, target: Endpoint, sizes: tuple[int, ...], names: tuple[str, ...]
) -> Iterator[HeldFlowsUsage]:
    """Yield the usage of the named processes as more flows are opened."""
    with ExitStack() as stack:
        flows = 0
        for size in sizes:
            for number in range(flows, size):
                stack.enter_context(open_feed(target, f"held-{number}"))
            flows = size
            time.sleep(_SETTLE_S)
            yield _measure_usage(fleet, size, names)


def fit_memory(usages: list[HeldFlowsUsage], name: str) -> Line:
    """Fit the memory of a process, in KB, to the number of open flows."""
    return fit_line(
        [usage.flows for usage in usages], [usage.rss_kb[name] for usage in usages]
    )


def fit_cpu(usages: list[HeldFlowsUsage], name: str) -> Line:
    """Fit the share of a core used by a process to the number of open flows."""
    return fit_line(
        [usage.flows for usage in usages], [usage.cpu_share[name] for usage in usages]
    )


@contextmanager
def open_feed(target: Endpoint, feed_id: str) -> Iterator[None]:
    """Hold a feed open whose second line is due an hour after its first."""
    with socket.create_connection(target.sockaddr, _RESPONSE_TIMEOUT_S) as connection:
        connection.sendall(f"FEED {feed_id} 2 3600000\n".encode())
        if not connection.recv(1_024).startswith(b"STATUS"):
            raise SystemExit(
                f"feed {feed_id!r} at {target} did not start with a STATUS line"
            )
        yield


def _measure_usage(fleet: Fleet, flows: int, names: tuple[str, ...]) -> HeldFlowsUsage:
    before = {name: read_usage(fleet.pid(name)) for name in names}
    time.sleep(_MEASURE_S)
    after = {name: read_usage(fleet.pid(name)) for name in names}
    return HeldFlowsUsage(
        flows,
        {name: usage.rss_kb for name, usage in after.items()},
        {name: _compute_cpu_share(before[name], after[name]) for name in names},
    )


def _compute_cpu_share(before: Usage, after: Usage) -> float:
    return (after.cpu_seconds - before.cpu_seconds) / _MEASURE_S
