"""``papayagw standin platform``: a stand-in of the platform's service."""

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
    """Run a stand-in of the platform's key-value service."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return run_platform


def run_platform(listen: str = DEFAULT_LISTEN) -> int:
    """Hold keys and values in memory until SIGTERM; then print the calls' counts.

    It speaks the JSON gateway of etcd v3. POST /standin/faults takes a JSON object
    with outage, delay_ms, answer_delay_ms and lost_answers; POST
    /standin/copies/NAME keeps a copy, POST /standin/restore/NAME goes back to it;
    GET /standin/calls counts the calls.

    Parameters
    ----------
    listen : str
        Where to listen, as ip:port.
    """
    standin = PlatformStandin(MonotonicClock())
    _install_noop_signal_handlers()
    anyio.run(_serve, standin, read_endpoint(listen, "listen"))
    print(json.dumps(standin.counts.by_kind), flush=True)
    return ExitCode.OK


def _install_noop_signal_handlers() -> None:
    # The server hands its signals on to these handlers when it has stopped.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)


async def _serve(standin: PlatformStandin, listen: Endpoint) -> None:
    server = HttpServer(standin.app, listen, partial(announce_ready, "platform"))
    await server.serve()


COMMAND = StandinPlatformCommand()
