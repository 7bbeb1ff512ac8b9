"""``papayagw standin platform``: a stand-in for the platform's key-value store."""

import json
import signal
from collections.abc import Callable
from functools import partial

import anyio

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.values import read_endpoint
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.clock import MonotonicClock
from papayagw._internal.standins.http_server import HttpServer
from papayagw._internal.standins.lifetime import announce_ready
from papayagw._internal.standins.platform import PlatformStandin

DEFAULT_LISTEN = "127.0.0.1:2379"


class StandinPlatformCommand:
    """Run a stand-in for the platform's key-value store."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return run_platform


def run_platform(listen: str = DEFAULT_LISTEN) -> int:
    """Serve an in-memory key-value store until SIGTERM, then print call counts.

    It implements the JSON gateway of etcd v3. POST /standin/faults sets faults from a
    JSON object with outage, delay_ms, answer_delay_ms and lost_answers; POST
    /standin/copies/NAME saves a snapshot and POST /standin/restore/NAME restores it;
    GET /standin/calls returns the call counts.

    Parameters
    ----------
    listen : str
        Endpoint to listen on, as ip:port.
    """
    standin = PlatformStandin(MonotonicClock())
    _install_noop_signal_handlers()
    anyio.run(_serve, standin, read_endpoint(listen, "listen"))
    print(json.dumps(standin.counts.by_kind), flush=True)
    return ExitCode.OK


def _install_noop_signal_handlers() -> None:
    # After it has stopped, the server re-raises the signals that it caught. Without
    # these handlers they would end the process before the counts are printed.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)


async def _serve(standin: PlatformStandin, listen: Endpoint) -> None:
    server = HttpServer(standin.app, listen, partial(announce_ready, "platform"))
    await server.serve()


COMMAND = StandinPlatformCommand()
