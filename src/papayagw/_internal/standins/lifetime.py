"""How a stand-in runs as a process: until a signal says to stop."""

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def announce_ready(name: str) -> None:
    """Tell whoever started the process that it serves."""
    print(f"ready {name}", flush=True)


async def wait_for_stop(on_drain: Callable[[], None] | None = None) -> None:
    """Return at SIGTERM or SIGINT; call `on_drain` at each SIGUSR1."""
    watched = STOP_SIGNALS if on_drain is None else (*STOP_SIGNALS, signal.SIGUSR1)
    with anyio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number in STOP_SIGNALS:
                return
            if on_drain is not None:
                on_drain()


@asynccontextmanager
async def cancelled_by_stop() -> AsyncIterator[None]:
    """Cancel the body at the next SIGTERM or SIGINT."""
    async with anyio.create_task_group() as tasks:

        async def cancel() -> None:
            await wait_for_stop()
            tasks.cancel_scope.cancel()

        tasks.start_soon(cancel)
        yield
        tasks.cancel_scope.cancel()
