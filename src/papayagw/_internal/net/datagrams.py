"""UDP sockets that are drained in batches, for any way of waiting."""

import errno
import socket
import struct
from collections.abc import Sequence

from papayagw._internal.exceptions import BindError
from papayagw._internal.models.endpoint import Endpoint

MAX_DATAGRAM_BYTES = 2_048
"""No process of the system sends more; a longer datagram is cut and fails its check."""
BATCH_DATAGRAMS = 64
"""How many datagrams are read before other tasks get a turn."""

_BUFFER_BYTES = 4 << 20
_ANCILLARY_BYTES = 512
_IP_RECVERR = 11
"""The option of Linux's ip(7) that keeps errors with what they are about."""
_EXTENDED_ERROR = struct.Struct("=IBBBBII")
_ORIGIN_ICMP = 2

AddressedDatagram = tuple[bytes, tuple[str, int]]


class BatchSocket:
    """A bound UDP socket.

    Waiting costs a turn of the loop, so each readiness is used to read up to
    `BATCH_DATAGRAMS`.

    Parameters
    ----------
    endpoint : Endpoint or None
        Where to bind; None takes a free port.
    keeps_refused : bool
        Whether datagrams that met a closed port are kept for `receive_refused`.
    max_bytes : int
        The longest datagram that is expected; a longer one is cut.
    """

    def __init__(
        self,
        endpoint: Endpoint | None,
        *,
        keeps_refused: bool = False,
        max_bytes: int = MAX_DATAGRAM_BYTES,
    ):
        self._endpoint = endpoint
        self._max_bytes = max_bytes
        self._keeps_refused = keeps_refused
        self._may_have_refused = False
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
        if self._keeps_refused:
            self._socket.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)
        address = ("0.0.0.0", 0) if self._endpoint is None else self._endpoint.sockaddr
        try:
            self._socket.bind(address)
        except OSError as error:
            raise BindError.from_os("bind UDP", str(self._endpoint), error) from error

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def fileno(self) -> int:
        """Return the descriptor, for a loop that waits on it."""
        return self._socket.fileno()

    def receive_batch(self) -> list[AddressedDatagram]:
        """Return the datagrams that are there, up to a batch."""
        received: list[AddressedDatagram] = []
        receive = self._socket.recvfrom
        for _ in range(BATCH_DATAGRAMS):
            try:
                received.append(receive(self._max_bytes))
            except BlockingIOError:
                break
            except OSError:
                # An earlier datagram met a closed port; the next one may be fine.
                continue
        self._is_full_batch = len(received) == BATCH_DATAGRAMS
        # Readiness without a datagram tells of an error.
        self._may_have_refused |= not received
        return received

    def receive_refused(self) -> list[AddressedDatagram]:
        """Return datagrams that met a closed port, and where each one was sent.

        The host of the peer lives and says that no process holds the port. The
        network may have cut a datagram to its first 500 bytes or so.
        """
        refused: list[AddressedDatagram] = []
        if not (self._keeps_refused and self._may_have_refused):
            return refused
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, ancillary, _, peer = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES, _ANCILLARY_BYTES, socket.MSG_ERRQUEUE
                )
            except OSError:
                self._may_have_refused = False
                break
            if any(_is_closed_port(error) for _, _, error in ancillary):
                refused.append((data, peer))
        return refused

    def send(self, data: bytes, peer: tuple[str, int]) -> None:
        """Send a datagram, or count it if the machine doesn't take it."""
        try:
            self._sendto(data, peer)
        except ConnectionRefusedError:
            # That was the error of an earlier datagram: this one wasn't sent yet.
            self._may_have_refused = True
            self._resend(data, peer)
        except OSError:
            # Datagrams may be lost anywhere: the flow's loss recovery resends.
            self._send_failures += 1

    def send_all(self, datagrams: Sequence[AddressedDatagram]) -> None:
        """Send datagrams, each to its peer, one right after the other."""
        for data, peer in datagrams:
            self.send(data, peer)

    def _resend(self, data: bytes, peer: tuple[str, int]) -> None:
        try:
            self._sendto(data, peer)
        except OSError:
            self._send_failures += 1


def _is_closed_port(error: bytes) -> bool:
    """Return whether an error of the queue is 'port unreachable', and no other."""
    if len(error) < _EXTENDED_ERROR.size:
        return False
    code, origin, *_ = _EXTENDED_ERROR.unpack_from(error)
    return bool(code == errno.ECONNREFUSED and origin == _ORIGIN_ICMP)
