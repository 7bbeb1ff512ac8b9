"""UDP sockets for anyio tasks."""

import anyio
import anyio.lowlevel

from papayagw._internal.net.datagrams import BatchSocket


class DatagramSocket(BatchSocket):
    """Bound UDP socket on which anyio tasks wait."""

    def close_and_notify(self) -> None:
        """Close the socket and wake a task that waits on it with an error."""
        anyio.notify_closing(self._socket)
        self._socket.close()

    async def wait_readable(self) -> None:
        """Wait until the socket is readable, and yield to other tasks at least once."""
        if self._is_full_batch:
            # More datagrams are likely: a system call to poll costs more than a read.
            await anyio.lowlevel.checkpoint()
        else:
            await anyio.wait_readable(self._socket)
