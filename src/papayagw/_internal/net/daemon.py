"""Life cycle of a process: it runs until a signal requests a graceful shutdown."""

import signal
from typing import Protocol

import anyio

from papayagw._internal.models.clock import Millis, to_seconds

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon(Protocol):
    """A long-running process, apart from its signal handling."""

    def start(self) -> None:
        """Bind the sockets; an error here ends the process at once."""

    async def run(self) -> None:
        """Serve until cancelled."""

    async def drain(self) -> None:
        """Prepare for a graceful shutdown; return when nothing is left to wait for."""

    def close(self) -> None:
        """Close the sockets."""


async def run_daemon(daemon: Daemon, name: str, stop_limit_ms: Millis) -> None:
    """Run a daemon until a signal drains it; a second signal stops it at once.

    Parameters
    ----------
    daemon : Daemon
        The daemon to run.
    name : str
        Printed after ``ready`` once the daemon is started.
    stop_limit_ms : Millis
        Timeout of the graceful shutdown; then the process stops without waiting.
    """
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        daemon.start()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(daemon.run)
                print(f"ready {name}", flush=True)
                await anext(signals)
                async with anyio.create_task_group() as stopping:
                    stopping.start_soon(_drain, daemon, stop_limit_ms, stopping)
                    await anext(signals)
                    stopping.cancel_scope.cancel()
                tasks.cancel_scope.cancel()
        finally:
            daemon.close()


async def _drain(
    daemon: Daemon, stop_limit_ms: Millis, stopping: anyio.abc.TaskGroup
) -> None:
    with anyio.move_on_after(to_seconds(stop_limit_ms)):
        await daemon.drain()
    stopping.cancel_scope.cancel()
