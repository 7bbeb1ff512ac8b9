"""Stand-ins of a client and of the platform's routers."""

import hashlib
import random
import socket
import threading
import time
import urllib.error
import urllib.request

from lib import packets
from lib.packets import ACK, FIN, RST, SYN, Packet

COPIES_AT_S = (0.0, 0.2, 0.6)
"""When a client sends an opening and its copies."""

OPENING_TIMEOUT_S = 1.4
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
RESET_WINDOW = 76_800
"""How far a reset may be from a client's last acknowledgement."""


class Router:
    """Routers that probe the entry machines and hash flows over those in rotation."""

    def __init__(self, record, machines):
        self._record = record
        self._machines = machines
        self._misses = dict.fromkeys(machines, 2)
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._probe, args=(name,), daemon=True)
            for name in machines
        ]

    def start(self):
        """Start probing."""
        for thread in self._threads:
            thread.start()

    def close(self):
        """Stop probing."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def is_in_rotation(self, name):
        """Return whether a machine is in rotation."""
        return self._misses[name] < 2

    def pick(self, flow):
        """Return the name of the machine that gets a flow's packets."""
        names = [one for one in self._machines if self.is_in_rotation(one)]
        return max(names or self._machines, key=lambda name: _score(flow, name))

    def _probe(self, name):
        while not self._is_over.is_set():
            is_ready = self._is_ready(name)
            was_in = self.is_in_rotation(name)
            self._misses[name] = 0 if is_ready else self._misses[name] + 1
            if self.is_in_rotation(name) != was_in:
                self._record.write("rotation", machine=name, is_in=not was_in)
            self._is_over.wait(0.5)

    def _is_ready(self, name):
        ip, port = self._machines[name].at("readiness")
        try:
            with urllib.request.urlopen(
                f"http://{ip}:{port}/-/readyz", timeout=0.45
            ) as response:
                return response.status == 200
        except (OSError, urllib.error.URLError):
            return False


def _score(flow, name):
    return hashlib.blake2s(repr((flow, name)).encode()).digest()


class Flow:
    """A client with one flow at an address of its own.

    Parameters
    ----------
    record : Record
        Log of the case.
    name : str
        Name of the client in the log.
    address : tuple
        Address at which the client receives packets.
    entry : tuple
        Address and port of the route.
    router : Router
        Picks the balancer.
    data_port : int
        Port of the balancers.
    machines : dict
        The entry machines by name.
    """

    def __init__(self, record, name, address, entry, router, machines):
        self.name = name
        self.resets = []
        self.is_open = False
        self._record = record
        self._entry = entry
        self._router = router
        self._machines = machines
        self._source = (address[0], random.randint(20_000, 60_000))
        self._position = random.getrandbits(31)
        self._server_start = 0
        self._last_ack = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)

    @property
    def key(self):
        """Both ends of the flow."""
        return self._source, self._entry

    def close(self):
        """Close the socket."""
        self._socket.close()

    def balancer(self):
        """Return the name of the balancer that gets the flow's packets."""
        return self._router.pick(self.key)

    def open(self):
        """Open the flow; return "open", "reset" or "no answer"."""
        start = time.monotonic()
        self._record.write("opening sent", client=self.name, flow=self.key)
        for copy, at in enumerate(COPIES_AT_S):
            self._send(SYN, self._position, copy)
            until = COPIES_AT_S[copy + 1] if copy < 2 else OPENING_TIMEOUT_S
            packet = self._receive(start + until, lambda one: one.flags & SYN)
            if packet is None:
                continue
            if packet.flags & RST:
                self._record.write("opening reset", client=self.name, after=at)
                return "reset"
            self.is_open = True
            self._position += 1
            self._server_start = packet.seq
            self._acknowledge(packet.seq + 1)
            return "open"
        self._record.write("opening unanswered", client=self.name)
        return "no answer"

    def request(self, number, timeout_s=2.0):
        """Send a request; return "answered", "reset" or "no answer"."""
        request = f"{self.name}-{number}"
        data = (
            f"GET /feed HTTP/1.1\r\nHost: service\r\nX-Request-Id: {request}\r\n\r\n"
        ).encode()
        end = self._position + len(data)
        self._record.write(
            "request sent", request=request, via=self.balancer(), flow=self.key
        )
        deadline, wait = time.monotonic() + timeout_s, RETRANSMIT_S
        while time.monotonic() < deadline:
            self._send(ACK, self._position, self._last_ack, data)
            packet = self._receive(
                min(time.monotonic() + wait, deadline),
                lambda one: one.data and one.ack == end % packets.MODULUS,
            )
            if packet is not None and packet.flags & RST:
                self._record.write("request reset", request=request)
                return "reset"
            if packet is not None:
                self._position = end
                self._acknowledge(packet.seq + len(packet.data))
                self._record.write("request answered", request=request)
                return "answered"
            wait = min(2 * wait, MAX_RETRANSMIT_S)
        self._record.write("request unanswered", request=request)
        return "no answer"

    def finish(self):
        """Close the flow; return whether the server closed it too."""
        for _ in range(3):
            self._send(ACK | FIN, self._position, self._last_ack)
            packet = self._receive(
                time.monotonic() + RETRANSMIT_S, lambda one: one.flags & FIN
            )
            if packet is not None and packet.flags & FIN:
                self._position += 1
                self._acknowledge(packet.seq + 1)
                self.is_open = False
                self._record.write("flow finished", client=self.name)
                return True
        return False

    def _acknowledge(self, number):
        self._last_ack = number % packets.MODULUS
        self._send(ACK, self._position, self._last_ack)

    def _send(self, flags, seq, ack, data=b""):
        packet = Packet(self._source, self._entry, flags, seq, ack, data)
        machine = self._machines[self.balancer()]
        self._socket.sendto(packet.encode(), machine.at("data"))

    def _receive(self, deadline, is_expected):
        """Return the expected packet or a reset that counts; None if none came."""
        while (left := deadline - time.monotonic()) > 0:
            self._socket.settimeout(left)
            try:
                packet = packets.decode(self._socket.recv(4_096))
            except TimeoutError:
                return None
            if packet.dst != self._source or packet.src != self._entry:
                continue
            if packet.is_system_reset():
                if self._is_valid_reset(packet):
                    self.resets.append(time.monotonic())
                    self._record.write(
                        "system reset", client=self.name, is_open=self.is_open
                    )
                    return packet
            elif not packet.is_genuine():
                self._record.write("forged packet", client=self.name)
            elif packet.flags & RST or is_expected(packet):
                return packet
        return None

    def _is_valid_reset(self, packet):
        if not self.is_open:
            return True
        distance = (packet.seq - self._last_ack) % packets.MODULUS
        return min(distance, packets.MODULUS - distance) <= RESET_WINDOW
