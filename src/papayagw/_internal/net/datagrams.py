"""UDP sockets that are read in batches, independent of the event loop."""

import errno
import socket
import struct
from collections.abc import Sequence

from papayagw._internal.exceptions import BindError
from papayagw._internal.models.endpoint import Endpoint

MAX_DATAGRAM_BYTES = 2_048
"""Default maximum length of a received datagram.

No process of the system sends more; longer datagrams are cut and fail to verify.
"""

BATCH_DATAGRAMS = 64
"""Maximum number of datagrams to read before other tasks run."""

_BUFFER_BYTES = 4 << 20
_ANCILLARY_BYTES = 512
_IP_RECVERR = 11
"""Linux socket option, see ip(7): queue errors with the datagrams that caused them."""
_EXTENDED_ERROR = struct.Struct("=IBBBBII")
_ORIGIN_ICMP = 2

AddressedDatagram = tuple[bytes, tuple[str, int]]


class BatchSocket:
    """Bound UDP socket.

    Each wait costs an iteration of the event loop, so up to `BATCH_DATAGRAMS` are read
    whenever the socket is readable.

    Parameters
    ----------
    endpoint : Endpoint or None
        Endpoint to bind; None binds a free port on all addresses.
    keeps_refused : bool
        Whether `receive_refused` returns datagrams that were sent to a closed port.
    max_bytes : int
        Maximum length of a received datagram; longer ones are cut.
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
        """Endpoint to which the socket is bound."""
        ip, port = self._socket.getsockname()
        return Endpoint(ip, port)

    @property
    def send_failures(self) -> int:
        """Number of datagrams that the operating system rejected."""
        return self._send_failures

    def start(self) -> None:
        """Bind the socket.

        Raises
        ------
        BindError
            If the endpoint can't be bound.
        """
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
        """Return the file descriptor, for an event loop that waits on it."""
        return self._socket.fileno()

    def receive_batch(self) -> list[AddressedDatagram]:
        """Return the datagrams that are available, at most one batch."""
        received: list[AddressedDatagram] = []
        receive = self._socket.recvfrom
        for _ in range(BATCH_DATAGRAMS):
            try:
                received.append(receive(self._max_bytes))
            except BlockingIOError:
                break
            except OSError:
                # The error belongs to a datagram sent earlier to a closed port.
                # Further datagrams may be available.
                continue
        self._is_full_batch = len(received) == BATCH_DATAGRAMS
        # A readable socket without a datagram has an error queued.
        self._may_have_refused |= not received
        return received

    def receive_refused(self) -> list[AddressedDatagram]:
        """Return datagrams that were sent to a closed port, each with its destination.

        The peer's host is alive and reports that no process has bound the port. The
        network may have cut a datagram to about its first 500 bytes.
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
        """Send a datagram, or count it if the operating system rejects it."""
        try:
            self._sendto(data, peer)
        except ConnectionRefusedError:
            # The error belongs to an earlier datagram; this one wasn't sent yet.
            self._may_have_refused = True
            self._resend(data, peer)
        except OSError:
            # Like a datagram lost in the network; the flow's loss recovery resends it.
            self._send_failures += 1

    def send_all(self, datagrams: Sequence[AddressedDatagram]) -> None:
        """Send each datagram to its peer, in order and without yielding in between."""
        for data, peer in datagrams:
            self.send(data, peer)

    def _resend(self, data: bytes, peer: tuple[str, int]) -> None:
        try:
            self._sendto(data, peer)
        except OSError:
            self._send_failures += 1


def _is_closed_port(error: bytes) -> bool:
    """Return whether a queued error is ICMP 'port unreachable'."""
    if len(error) < _EXTENDED_ERROR.size:
        return False
    code, origin, *_ = _EXTENDED_ERROR.unpack_from(error)
    return bool(code == errno.ECONNREFUSED and origin == _ORIGIN_ICMP)
