"""UDP sockets that are drained in batches."""

import socket

import anyio
import anyio.lowlevel

from papayagw._internal.exceptions import BindError, Step
from papayagw._internal.models.endpoint import Endpoint

MAX_DATAGRAM_BYTES = 2_048
"""No process of the system sends more; a longer datagram is cut and fails its check."""
BATCH_DATAGRAMS = 64
"""How many datagrams are read before other tasks get a turn."""

_BUFFER_BYTES = 4 << 20

Received = tuple[bytes, tuple[str, int]]


class DatagramSocket:
    """A bound UDP socket.

    Waiting costs a turn of the event loop, so each readiness is used to read up to
    `BATCH_DATAGRAMS`.

    Parameters
    ----------
    endpoint : Endpoint or None
        Where to bind; None takes a free port.
    """

    def __init__(self, endpoint: Endpoint | None):
        self._endpoint = endpoint
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sendto = self._socket.sendto
        self._is_full_batch = False
        self._send_failures = 0

    @property
    def local(self) -> Endpoint:
        """Where the socket is bound."""
        ip, port = self._socket.getsockname()
        return Endpoint(ip, port)

    @property
    def send_failures(self) -> int:
        """How many datagrams the machine didn't take."""
        return self._send_failures

    def start(self) -> None:
        """Bind the socket."""
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, _BUFFER_BYTES)
        address = ("0.0.0.0", 0) if self._endpoint is None else self._endpoint.sockaddr
        try:
            self._socket.bind(address)
        except OSError as error:
            raise BindError(
                f"can't bind UDP: {error.strerror}",
                step=Step.BIND,
                peer=str(self._endpoint),
                remedy="choose an address of this machine that no process uses",
            ) from error

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def abandon(self) -> None:
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

    def receive_batch(self) -> list[Received]:
        """Return the datagrams that are there, up to a batch."""
        received: list[Received] = []
        receive = self._socket.recvfrom
        for _ in range(BATCH_DATAGRAMS):
            try:
                received.append(receive(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                break
            except OSError:
                # An earlier datagram met a closed port; the next one may be fine.
                continue
        self._is_full_batch = len(received) == BATCH_DATAGRAMS
        return received

    def send(self, data: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram, or count it if the machine doesn't take it."""
        try:
            self._sendto(data, peer)
        except OSError:
            # Datagrams may be lost anywhere: the flow's loss recovery resends.
            self._send_failures += 1
