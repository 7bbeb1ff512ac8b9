"""``papayagw standin fabric``: a stand-in for the platform's network fabric."""

import json
import sys
from collections.abc import Callable
from dataclasses import asdict

import anyio
from returns.pipeline import is_successful

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.net.clock import MonotonicClock
from papayagw._internal.standins.fabric import Fabric, max_callers
from papayagw._internal.standins.lifetime import announce_ready, cancelled_by_stop
from papayagw._internal.standins.spray import Impairments, Route, parse_route

LOW_CALLER_LIMIT = 1_000


class StandinFabricCommand:
    """Run a stand-in for the platform's network fabric."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return run_fabric


def run_fabric(
    *routes: object,
    loss: float = 0.0,
    duplicate: float = 0.0,
    seed: int = 1,
    health: bool = False,
) -> int:
    """Forward packets to random balancers until SIGTERM, then print packet counts.

    A route is ENTRY=TARGET,TARGET, such as
    127.0.1.1:4401=127.0.0.11:4401,127.0.0.12:4401. Each packet to the entry
    address goes to a random target, whether it is running or not.

    Parameters
    ----------
    routes : list of str
        One route for each entry address.
    loss : float
        Fraction of packets that are lost, 0 to 1.
    duplicate : float
        Fraction of packets that are sent twice, 0 to 1.
    seed : int
        Seed of the random choices.
    health : bool
        Exclude a target for one second after its host refuses a packet.
    """
    fabric = Fabric(
        tuple(_read_route(str(route)) for route in routes),
        Impairments(float(loss), float(duplicate)),
        seed,
        health,
        MonotonicClock(),
    )
    if max_callers() < LOW_CALLER_LIMIT:
        print(
            f"the open file limit allows only {max_callers()} callers;"
            " raise it (ulimit -n) before starting the fabric",
            file=sys.stderr,
        )
    anyio.run(_serve, fabric)
    return ExitCode.OK


def _read_route(text: str) -> Route:
    parsed = parse_route(text)
    if is_successful(parsed):
        return parsed.unwrap()
    raise SettingsError(
        parsed.failure(),
        step=Step.SETTINGS,
        remedy="give routes as ip:port=ip:port,ip:port",
    )


async def _serve(fabric: Fabric) -> None:
    fabric.start()
    try:
        async with cancelled_by_stop():
            announce_ready("fabric")
            await fabric.run()
    finally:
        counts = asdict(fabric.counts)
        fabric.close()
        print(json.dumps(counts), flush=True)


COMMAND = StandinFabricCommand()
