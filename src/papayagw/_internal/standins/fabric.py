"""Stand-in for the platform's fabric, which sprays packets over the balancers.

Each caller has its own socket towards the balancers, so that the balancers see a
distinct source address for each caller, as behind a real fabric. Packets that arrive
on that socket are sent to the caller from the entry address.
"""

import random
import resource
import select
import socket
from collections.abc import Callable
from dataclasses import asdict, dataclass

import anyio

from papayagw._internal.exceptions import BindError, Step
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.spray import Impairments, Route, Sprayer

MAX_BATCH_DATAGRAMS = 64
"""Maximum number of datagrams read from one socket before the next one is served."""

CALLER_IDLE_TIMEOUT_MS = Millis(60_000)
"""Time without packets after which the socket of a caller is closed."""

SWEEP_INTERVAL_MS = Millis(5_000)
"""Interval between checks for idle callers."""

RESERVED_FILES = 64
"""File descriptors reserved for the entry sockets and the event loop."""

MAX_DATAGRAM_BYTES = 65_535
ENTRY_BUFFER_BYTES = 4 << 20
CALLER_BUFFER_BYTES = 1 << 20
_MAX_EVENTS = 256
# Value on Linux; the socket module defines the constant from Python 3.14 on.
_IP_RECVERR = 11

ClientAddress = tuple[str, int]


@dataclass(frozen=True, slots=True)
class FabricCounts:
    """Packet counts of a fabric.

    Attributes
    ----------
    packets_in : int
        Packets received from callers.
    packets_out : int
        Packets sent to balancers, including duplicates.
    answers : int
        Packets sent to callers.
    lost : int
        Packets dropped by simulated loss or because sending failed.
    callers_refused : int
        Packets dropped because the limit of open files was reached.
    """

    packets_in: int
    packets_out: int
    answers: int
    lost: int
    callers_refused: int


class _Caller:
    """Address of a caller and the socket that represents it towards the balancers."""

    __slots__ = ("address", "socket", "last_used_at")

    def __init__(
        self, address: ClientAddress, caller_socket: socket.socket, now: Millis
    ):
        self.address = address
        self.socket = caller_socket
        self.last_used_at = now


class Fabric:
    """Stand-in for the platform's fabric.

    Parameters
    ----------
    routes : tuple of Route
        Entry addresses and the balancers behind each.
    impairments : Impairments
        Simulated loss and duplication.
    seed : int
        Seed of the random number generator.
    watch_health : bool
        Whether a balancer whose host refuses a packet is excluded for one second.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        routes: tuple[Route, ...],
        impairments: Impairments,
        seed: int,
        watch_health: bool,
        clock: Clock,
    ):
        self._clock = clock
        self._epoll = select.epoll()
        self._handlers: dict[int, Callable[[Millis], None]] = {}
        draw = random.Random(seed).random
        limit = max_callers()
        self._entries = [
            _Entry(self, route, Sprayer(route.targets, impairments, draw), watch_health)
            for route in routes
        ]
        self._max_sockets = limit

    @property
    def counts(self) -> FabricCounts:
        """Packet counts summed over all entry addresses."""
        parts = [asdict(entry.counts) for entry in self._entries]
        return FabricCounts(
            **{name: sum(part[name] for part in parts) for name in parts[0]}
        )

    def start(self) -> None:
        """Bind the entry addresses."""
        for entry in self._entries:
            entry.start()

    def close(self) -> None:
        """Close all sockets."""
        for entry in self._entries:
            entry.close()
        self._epoll.close()

    async def run(self) -> None:
        """Forward packets until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep)
            while True:
                await anyio.wait_readable(self._epoll.fileno())
                now = self._clock.now()
                for descriptor, _ in self._epoll.poll(0, _MAX_EVENTS):
                    self._handlers[descriptor](now)

    def register(self, sock: socket.socket, handler: Callable[[Millis], None]) -> None:
        """Call `handler` with the current time whenever a socket is readable."""
        self._handlers[sock.fileno()] = handler
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def unregister(self, sock: socket.socket) -> None:
        """Stop polling a socket; call this before closing it."""
        self._epoll.unregister(sock.fileno())
        del self._handlers[sock.fileno()]

    @property
    def can_open_socket(self) -> bool:
        """Whether the limit of open files allows another socket for a caller."""
        return len(self._handlers) < self._max_sockets

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(to_seconds(SWEEP_INTERVAL_MS))
            for entry in self._entries:
                entry.close_idle(self._clock.now())


class _Entry:
    """Entry address with the sockets of its callers."""

    def __init__(
        self, fabric: Fabric, route: Route, sprayer: Sprayer, watch_health: bool
    ):
        self._fabric = fabric
        self._route = route
        self._sprayer = sprayer
        self._watch_health = watch_health
        self._callers: dict[ClientAddress, _Caller] = {}
        self._socket = make_udp_socket(ENTRY_BUFFER_BYTES)
        self._packets_in = self._packets_out = self._answers = self._lost = (
            self._callers_refused
        ) = 0

    @property
    def counts(self) -> FabricCounts:
        """Packet counts of this entry address."""
        return FabricCounts(
            self._packets_in,
            self._packets_out,
            self._answers,
            self._lost,
            self._callers_refused,
        )

    def start(self) -> None:
        """Bind the entry address."""
        bind_udp(self._socket, self._route.entry)
        self._fabric.register(self._socket, self._read_entry)

    def close(self) -> None:
        """Close the entry socket and the sockets of all callers."""
        for caller in self._callers.values():
            caller.socket.close()
        self._socket.close()

    def close_idle(self, now: Millis) -> None:
        """Close the sockets of callers whose idle timeout has passed."""
        idle = [
            one
            for one in self._callers.values()
            if now - one.last_used_at > CALLER_IDLE_TIMEOUT_MS
        ]
        for caller in idle:
            del self._callers[caller.address]
            self._fabric.unregister(caller.socket)
            caller.socket.close()

    def _read_entry(self, now: Millis) -> None:
        """Forward a batch of callers' packets to balancers."""
        receive, callers = self._socket.recvfrom, self._callers
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                data, client = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            self._packets_in += 1
            caller = callers.get(client) or self._open_caller(client, now)
            if caller is None:
                self._callers_refused += 1
                continue
            caller.last_used_at = now
            self._spray(caller, data, now)

    def _spray(self, caller: _Caller, data: bytes, now: Millis) -> None:
        """Send a caller's packet to the balancers chosen at random for it."""
        targets = self._sprayer.pick(now)
        if not targets:
            self._lost += 1
        for target in targets:
            try:
                caller.socket.sendto(data, target)
                self._packets_out += 1
            except OSError:
                # The send buffer is full, or an earlier packet was refused.
                self._lost += 1
                self._read_error_queue(caller, now)

    def _open_caller(self, client: ClientAddress, now: Millis) -> _Caller | None:
        """Open the socket of a new caller, or return None at the file limit."""
        if not self._fabric.can_open_socket:
            return None
        caller_socket = make_udp_socket(CALLER_BUFFER_BYTES)
        caller_socket.bind((self._route.entry.ip, 0))
        if self._watch_health:
            caller_socket.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)
        caller = self._callers[client] = _Caller(client, caller_socket, now)
        self._fabric.register(caller_socket, lambda at: self._read_caller(caller, at))
        return caller

    def _read_caller(self, caller: _Caller, now: Millis) -> None:
        """Forward a batch of balancers' packets to a caller."""
        receive, send = caller.socket.recv, self._socket.sendto
        caller.last_used_at = now
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                data = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self._read_error_queue(caller, now)
                continue
            try:
                send(data, caller.address)
                self._answers += 1
            except OSError:
                self._lost += 1

    def _read_error_queue(self, caller: _Caller, now: Millis) -> None:
        """Exclude the balancers named by ICMP errors if health is watched."""
        if not self._watch_health:
            return
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                _, _, _, target = caller.socket.recvmsg(
                    0, socket.CMSG_SPACE(64), socket.MSG_ERRQUEUE
                )
            except OSError:
                return
            self._sprayer.exclude(target, now)


def max_callers() -> int:
    """Return the number of callers that the limit of open files allows."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(soft - RESERVED_FILES, 0)


def make_udp_socket(buffer_bytes: int) -> socket.socket:
    """Return a non-blocking UDP socket that requests buffers of `buffer_bytes`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    return sock


def bind_udp(sock: socket.socket, endpoint: Endpoint) -> None:
    """Bind a socket to `endpoint`.

    Raises
    ------
    BindError
        If the address can't be bound.
    """
    try:
        sock.bind(endpoint.sockaddr)
    except OSError as error:
        raise BindError(
            error.strerror or "could not bind the address",
            step=Step.BIND,
            peer=str(endpoint),
            remedy="stop the process that uses the address, or choose another",
        ) from error
