"""How a process runs: until a signal says to stop, gracefully at first."""

import signal
from typing import Protocol

import anyio

from papayagw._internal.models.clock import Millis, to_seconds

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon(Protocol):
    """A process of the system, without its signals."""

    def start(self) -> None:
        """Take the addresses; an error here ends the process at once."""

    async def run(self) -> None:
        """Serve until cancelled."""

    async def drain(self) -> None:
        """Return when a graceful stop has nothing left to wait for."""

    def close(self) -> None:
        """Give the addresses back."""


async def run_daemon(daemon: Daemon, name: str, stop_limit_ms: Millis) -> None:
    """Run a daemon until a signal; a second signal stops it at once.

    Parameters
    ----------
    daemon : Daemon
        What to run.
    name : str
        What is printed, after ``ready``, when it serves.
    stop_limit_ms : Millis
        How long a graceful stop may take before the rest is cut.
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
