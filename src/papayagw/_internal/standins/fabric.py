"""Stand-in of the fabric: hands each packet to any balancer.

For each caller it keeps one socket towards the balancers, so that they see a
distinct address for each caller as behind a real fabric, and what comes back on
that socket goes to the caller from the entry address.
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
"""The most datagrams read from one socket before the next one has its turn."""

CALLER_IDLE_TIMEOUT_MS = Millis(60_000)
"""After this silence a caller's socket is closed."""

SWEEP_INTERVAL_MS = Millis(5_000)
RESERVED_FILES = 64
"""Open files kept back for the listeners and the loop."""

MAX_DATAGRAM_BYTES = 65_535
ENTRY_BUFFER_BYTES = 4 << 20
CALLER_BUFFER_BYTES = 1 << 20
_MAX_EVENTS = 256
# Linux's number; the socket module names it from Python 3.14 on.
_IP_RECVERR = 11

ClientAddress = tuple[str, int]


@dataclass(frozen=True, slots=True)
class FabricCounts:
    """What a fabric has carried.

    Attributes
    ----------
    packets_in : int
        Packets from callers.
    packets_out : int
        Packets handed to balancers, duplicates included.
    answers : int
        Packets handed to callers.
    lost : int
        Packets dropped on purpose or for want of room.
    callers_refused : int
        Packets dropped since no more files may be opened.
    """

    packets_in: int
    packets_out: int
    answers: int
    lost: int
    callers_refused: int


class _Caller:
    """A caller and its socket towards the balancers."""

    __slots__ = ("address", "socket", "last_used_at")

    def __init__(
        self, address: ClientAddress, caller_socket: socket.socket, now: Millis
    ):
        self.address = address
        self.socket = caller_socket
        self.last_used_at = now


class Fabric:
    """A stand-in of the platform's fabric.

    Parameters
    ----------
    routes : tuple of Route
        The entry addresses and their balancers.
    impairments : Impairments
        Loss and duplication.
    seed : int
        Seed of the random choices.
    watch_health : bool
        Whether a balancer whose host refuses a packet is left out for a second.
    clock : Clock
        The time.
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
        """What the fabric has carried so far."""
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
        """Carry packets until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep)
            while True:
                await anyio.wait_readable(self._epoll.fileno())
                now = self._clock.now()
                for descriptor, _ in self._epoll.poll(0, _MAX_EVENTS):
                    self._handlers[descriptor](now)

    def register(self, sock: socket.socket, handler: Callable[[Millis], None]) -> None:
        """Call `handler` when a socket has datagrams."""
        self._handlers[sock.fileno()] = handler
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def unregister(self, sock: socket.socket) -> None:
        """Forget a socket that is about to close."""
        self._epoll.unregister(sock.fileno())
        del self._handlers[sock.fileno()]

    @property
    def can_open_socket(self) -> bool:
        """Whether one more caller's socket may be opened."""
        return len(self._handlers) < self._max_sockets

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(to_seconds(SWEEP_INTERVAL_MS))
            for entry in self._entries:
                entry.close_idle(self._clock.now())


class _Entry:
    """One entry address and its callers."""

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
        """What this entry has carried."""
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
        """Close the entry's sockets."""
        for caller in self._callers.values():
            caller.socket.close()
        self._socket.close()

    def close_idle(self, now: Millis) -> None:
        """Close the sockets of callers that have been silent."""
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
        targets = self._sprayer.pick(now)
        if not targets:
            self._lost += 1
        for target in targets:
            try:
                caller.socket.sendto(data, target)
                self._packets_out += 1
            except OSError:
                # A full buffer, or the news that an earlier packet was refused.
                self._lost += 1
                self._read_error_queue(caller, now)

    def _open_caller(self, client: ClientAddress, now: Millis) -> _Caller | None:
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
    """Return how many callers' sockets the limit of open files allows."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(soft - RESERVED_FILES, 0)


def make_udp_socket(buffer_bytes: int) -> socket.socket:
    """Return a UDP socket that doesn't block, with large buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    return sock


def bind_udp(sock: socket.socket, endpoint: Endpoint) -> None:
    """Bind a socket, or raise `BindError`."""
    try:
        sock.bind(endpoint.sockaddr)
    except OSError as error:
        raise BindError(
            error.strerror or "can't bind",
            step=Step.BIND,
            peer=str(endpoint),
            remedy="stop what holds the address, or choose another one",
        ) from error
