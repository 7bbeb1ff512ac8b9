"""Readiness message and signal handling of stand-in processes."""

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def announce_ready(name: str) -> None:
    """Print the line that tells the parent process that this one is ready."""
    print(f"ready {name}", flush=True)


async def wait_for_stop(on_drain: Callable[[], None] | None = None) -> None:
    """Wait for SIGTERM or SIGINT; call `on_drain` on each SIGUSR1."""
    watched = STOP_SIGNALS if on_drain is None else (*STOP_SIGNALS, signal.SIGUSR1)
    with anyio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number in STOP_SIGNALS:
                return
            if on_drain is not None:
                on_drain()


@asynccontextmanager
async def cancelled_by_stop() -> AsyncIterator[None]:
    """Cancel the body of the context on SIGTERM or SIGINT."""
    async with anyio.create_task_group() as tasks:

        async def cancel() -> None:
            await wait_for_stop()
            tasks.cancel_scope.cancel()

        tasks.start_soon(cancel)
        yield
        tasks.cancel_scope.cancel()
