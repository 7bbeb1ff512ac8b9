"""UDP sockets for tasks of anyio."""

import anyio
import anyio.lowlevel

from papayagw._internal.net.datagrams import BatchSocket


class DatagramSocket(BatchSocket):
    """A bound UDP socket that tasks wait for."""

    def close_and_notify(self) -> None:
        """Close the socket while a task may wait for it, which is told so."""
        anyio.notify_closing(self._socket)
        self._socket.close()

    async def wait_readable(self) -> None:
        """Wait until a datagram is there, and let other tasks have a turn."""
        if self._is_full_batch:
            # More are there, most likely: asking the machine costs more than to try.
            await anyio.lowlevel.checkpoint()
        else:
            await anyio.wait_readable(self._socket)
