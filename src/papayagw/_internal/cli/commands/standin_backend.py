"""``papayagw standin backend``: a stand-in for a backend server."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.backend import BackendServer
from papayagw._internal.standins.lifetime import announce_ready, wait_for_stop
from papayagw._internal.standins.workload import (
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_SERVICE_MS,
    BackendKind,
    BackendPlan,
)

_Value = TypeVar("_Value")


class StandinBackendCommand:
    """Run a stand-in for a backend server."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return run_backend


def run_backend(
    listen: str,
    kind: str,
    name: str,
    speed: float = 1.0,
    slots: int = 1,
    max_connections: int = DEFAULT_MAX_CONNECTIONS,
    service_ms: int = DEFAULT_SERVICE_MS,
    runs_file: str = "",
) -> int:
    """Serve requests over TCP until SIGTERM; reject new ones after SIGUSR1.

    Requests are lines: ORDER id, CHECK id, FEED id count interval_ms, ECHO id count
    followed by the lines, and UPLOAD id bytes followed by the bytes. RUNS lists the
    executed requests and HEALTH reports state and load. DRAIN rejects all new
    requests from then on, SHED 1 until SHED 0; STALL ms delays requests, and LIE
    load sets the load that HEALTH reports.

    Parameters
    ----------
    listen : str
        Endpoint to listen on, as ip:port.
    kind : str
        Service: order, drawings, ledger or intake.
    name : str
        Name of the server, which its responses contain.
    speed : float
        Relative speed; at 0.25, a request takes four times the service time.
    slots : int
        Number of requests processed concurrently; further ones are queued.
    max_connections : int
        Maximum number of connections; further ones are closed at once.
    service_ms : int
        Service time of a request at speed 1, in milliseconds.
    runs_file : str
        File to which the executed requests are written on shutdown.
    """
    plan = BackendPlan(
        name=str(name),
        kind=_parse_flag(lambda: BackendKind(kind)),
        speed=float(speed),
        slots=slots,
        max_connections=max_connections,
        service_ms=Millis(service_ms),
    )
    server = BackendServer(_parse_flag(lambda: Endpoint.parse(listen)), plan)
    anyio.run(_serve, server, plan.name)
    if runs_file:
        Path(runs_file).write_text(server.journal.format_lines(), encoding="utf-8")
    return ExitCode.OK


def _parse_flag(parse: Callable[[], _Value]) -> _Value:
    try:
        return parse()
    except ValueError as error:
        raise SettingsError(
            str(error), step=Step.SETTINGS, remedy="see --help"
        ) from error


async def _serve(server: BackendServer, name: str) -> None:
    async with anyio.create_task_group() as tasks:
        await server.start(tasks)
        announce_ready(name)
        await wait_for_stop(server.drain)
        await server.close()
        await server.wait_idle()
        tasks.cancel_scope.cancel()


COMMAND = StandinBackendCommand()
