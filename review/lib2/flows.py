"""Stand-ins of clients and hosts: flows of packets, as PROTOCOL describes them."""

import http.client
import json
import random
import socket
import struct
import threading
import time

HEADER = struct.Struct(">IIIHIBB4sHH4s")
SYN, ACK, FIN, RST, BOUNCED = 1, 8, 16, 32, 64
MODULUS = 1 << 32
MAX_DATA_BYTES = 1_200
MAX_IN_FLIGHT = 16
FIRST_RETRANSMIT_S, MAX_RETRANSMIT_S = 0.2, 1.6
MAX_HOST_RETRANSMITS = 8
DELAYED_ACK_S = 0.02
SYN_COPIES_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4


class Packet:
    """A decoded packet."""

    def __init__(self, raw):
        fields = HEADER.unpack_from(raw)
        self.seq, self.ack, self.echo, length, self.sum, self.flags, _ = fields[:7]
        source, sport, dport, destination = fields[7:]
        self.src = (socket.inet_ntoa(source), sport)
        self.dst = (socket.inet_ntoa(destination), dport)
        self.data = raw[HEADER.size : HEADER.size + length]


def encode(src, dst, flags, seq, ack, data=b""):
    """Encode a packet of a client or host; the sum is never 0 in these."""
    ends = (socket.inet_aton(src[0]), src[1], dst[1], socket.inet_aton(dst[0]))
    total = random.getrandbits(32) | 1
    head = HEADER.pack(
        seq % MODULUS, ack % MODULUS, 0, len(data), total, flags, 0, *ends
    )
    return head + data


class Stream:
    """One end of an open flow: bytes in order, with acknowledgements and copies."""

    def __init__(self, transmit, seq, ack, max_retransmits):
        self._transmit = transmit
        self._max_retransmits = max_retransmits
        self._base = self._next = seq
        self._expected = ack
        self._unsent = b""
        self._in_flight = []
        self._early = {}
        self._unacknowledged = 0
        self._ack_at = None
        self._retransmit_at = None
        self._interval_s = FIRST_RETRANSMIT_S
        self._retransmits = 0
        self.received = b""
        self.sent_bytes = 0
        self.is_given_up = False

    def send(self, data):
        """Send bytes."""
        self._unsent += data
        self._fill()

    def on_packet(self, packet, now):
        """Handle a packet of the other end with ACK set."""
        acknowledged = (packet.ack - self._base) % MODULUS
        if 0 < acknowledged <= (self._next - self._base) % MODULUS:
            self._base = packet.ack
            self._in_flight = [
                one
                for one in self._in_flight
                if 0 < (one[0] + len(one[1]) - self._base) % MODULUS < MODULUS // 2
            ]
            self._interval_s, self._retransmits = FIRST_RETRANSMIT_S, 0
            waits = bool(self._in_flight)
            self._retransmit_at = now + self._interval_s if waits else None
        if packet.data:
            self._receive(packet, now)
        self._fill()

    def on_time(self, now):
        """Send a delayed acknowledgement, and the oldest packet once more."""
        if self._ack_at is not None and now >= self._ack_at:
            self._acknowledge()
        if self._retransmit_at is not None and now >= self._retransmit_at:
            if self._retransmits >= self._max_retransmits:
                self.is_given_up = True
                self._retransmit_at = None
                return
            self._retransmits += 1
            self._interval_s = min(2 * self._interval_s, MAX_RETRANSMIT_S)
            self._retransmit_at = now + self._interval_s
            seq, data = self._in_flight[0]
            self._transmit(ACK, seq, self._expected, data)

    def _receive(self, packet, now):
        offset = (packet.seq - self._expected) % MODULUS
        if offset == 0:
            self._take(packet.data)
            while self._expected in self._early:
                self._take(self._early.pop(self._expected))
        elif offset < MODULUS // 2:
            self._early[packet.seq] = packet.data
        self._unacknowledged += 1
        if self._unacknowledged >= 2 or offset:
            self._acknowledge()
        elif self._ack_at is None:
            self._ack_at = now + DELAYED_ACK_S

    def _take(self, data):
        self.received += data
        self._expected = (self._expected + len(data)) % MODULUS

    def _acknowledge(self):
        self._unacknowledged, self._ack_at = 0, None
        self._transmit(ACK, self._next, self._expected, b"")

    def _fill(self):
        while self._unsent and len(self._in_flight) < MAX_IN_FLIGHT:
            data, self._unsent = (
                self._unsent[:MAX_DATA_BYTES],
                self._unsent[MAX_DATA_BYTES:],
            )
            self._in_flight.append((self._next, data))
            self._transmit(ACK, self._next, self._expected, data)
            self._unacknowledged, self._ack_at = 0, None
            self._next = (self._next + len(data)) % MODULUS
            self.sent_bytes += len(data)
            if self._retransmit_at is None:
                self._retransmit_at = time.monotonic() + self._interval_s


def read_message(buffer):
    """Return the head and the body at the start of `buffer`, and the rest; or None."""
    head, separator, rest = buffer.partition(b"\r\n\r\n")
    if not separator:
        return None
    fields = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        fields[name.strip().lower().decode()] = value.strip().decode()
    length = int(fields.get("content-length", 0))
    if len(rest) < length:
        return None
    first = head.split(b"\r\n")[0].decode()
    return first, fields, rest[:length], rest[length:]


class Host:
    """A host: answers requests on its flows, and reports to the agent beside it."""

    def __init__(self, name, service, ip, ports, record, heartbeat_s=1.2):
        self.name, self.service = name, service
        self.flows = {}
        self.sent_resets = set()
        self.state = "ready"
        self._ip, self._ports, self._record = ip, ports, record
        self._heartbeat_s = heartbeat_s
        self._born = time.time_ns() // 1_000_000
        self._reports = 0
        self._half_open = {}
        self._closed = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind((ip, ports["backend"]))
        self._socket.settimeout(0.005)
        for work in (self._serve, self._report):
            threading.Thread(target=work, daemon=True).start()

    def close(self):
        """Stop serving and reporting."""
        self._closed.set()

    def _serve(self):
        while not self._closed.is_set():
            try:
                raw, _ = self._socket.recvfrom(2_048)
                self._on_packet(raw)
            except TimeoutError:
                pass
            now = time.monotonic()
            for stream in list(self.flows.values()):
                stream.on_time(now)

    def _on_packet(self, raw):
        packet = Packet(raw)
        flow = (packet.src, packet.dst)
        if packet.flags & SYN:
            seq = self._half_open.setdefault(flow, random.getrandbits(32))
            if flow not in self.flows:
                self._send(flow, SYN | ACK, seq, packet.seq + 1)
            return
        stream = self.flows.get(flow)
        if stream is None:
            seq = self._half_open.get(flow)
            if seq is None or packet.ack != (seq + 1) % MODULUS or packet.flags & RST:
                self._bounce(raw)
                return
            stream = self.flows[flow] = Stream(
                lambda *fields: self._send(flow, *fields),
                packet.ack,
                packet.seq,
                MAX_HOST_RETRANSMITS,
            )
            self._record(f"{self.name}: flow of {_name(flow)} is open")
        if packet.flags & RST:
            self.flows.pop(flow)
            self._record(f"{self.name}: {_name(flow)} aborted by its client")
            return
        stream.on_packet(packet, time.monotonic())
        while (message := read_message(stream.received)) is not None:
            first, fields, _, stream.received = message
            self._run(flow, stream, first, fields)

    def _run(self, flow, stream, first, fields):
        request = fields["x-request-id"]
        size = int(first.split()[1].rpartition("/")[2])
        self._record(f"{self.name} ({self.service}): runs {request} of {_name(flow)}")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.name}\r\n"
            f"X-Request-Id: {request}\r\nContent-Length: {size}\r\n\r\n"
        )
        stream.send(head.encode() + b"x" * size)

    def _bounce(self, raw):
        returned = bytearray(raw)
        returned[18] |= BOUNCED
        returned[19] = 0
        self._socket.sendto(bytes(returned), (self._ip, self._ports["outbound"]))

    def _send(self, flow, flags, seq, ack, data=b""):
        client, entry = flow
        raw = encode(entry, client, flags, seq, ack, data)
        self._socket.sendto(raw, (self._ip, self._ports["outbound"]))

    def _report(self):
        while not self._closed.is_set():
            self._reports += 1
            is_accepted = self._put_report()
            # Without an acknowledgement the next node is called, which is the same one.
            self._closed.wait(self._heartbeat_s if is_accepted else 0.1)

    def _put_report(self):
        fields = {
            "service": self.service,
            "address": f"{self._ip}:{self._ports['backend']}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._reports,
            "born": self._born,
        }
        address = (self._ip, self._ports["reports"])
        connection = http.client.HTTPConnection(*address, timeout=1.0)
        try:
            connection.request(
                "PUT",
                f"/-/instances/{self.name}",
                json.dumps(fields),
                {"Content-Type": "application/json"},
            )
            return 200 <= connection.getresponse().status < 300
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Client:
    """A client machine: opens flows and sends requests on them, one at a time."""

    def __init__(self, ip, port, router, record):
        self._ip, self._router, self._record = ip, router, record
        self._port = 40_000
        self.flows = {}
        self._lock = threading.RLock()
        self._closed = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind((ip, port))
        self._socket.settimeout(0.005)
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        """Stop."""
        self._closed.set()

    def open(self, entry):
        """Open a flow; return it, or None if the attempt ended."""
        with self._lock:
            self._port += 1
            flow = ClientFlow(self, (self._ip, self._port), entry)
            self.flows[flow.source] = flow
        self._record(f"client: sends an opening of {flow.name}")
        began_at = time.monotonic()
        for copy, until in enumerate((*SYN_COPIES_S, OPENING_TIMEOUT_S)):
            flow.transmit(SYN, flow.first_seq, copy, b"")
            while time.monotonic() - began_at < until:
                if flow.stream is not None or flow.reset is not None:
                    break
                time.sleep(0.002)
            if flow.stream is not None:
                self._record(f"client: {flow.name} is open")
                return flow
            if flow.reset is not None:
                break
        self._record(f"client: {flow.name} was not opened, reset: {flow.reset}")
        return None

    def send_opening(self, entry, balancer):
        """Send one opening straight to a balancer; return the flow."""
        with self._lock:
            self._port += 1
            flow = ClientFlow(self, (self._ip, self._port), entry)
            self.flows[flow.source] = flow
        raw = encode(flow.source, entry, SYN, flow.first_seq, 0)
        self._socket.sendto(raw, balancer)
        return flow

    def send(self, source, entry, raw):
        """Send a packet to the balancer that the routers choose for the flow."""
        peer = self._router.pick((source, entry))
        if peer is not None:
            self._socket.sendto(raw, peer)

    def _serve(self):
        while not self._closed.is_set():
            try:
                raw, sender = self._socket.recvfrom(2_048)
                packet = Packet(raw)
                flow = self.flows.get(packet.dst)
                if flow is not None and packet.src == flow.entry:
                    with self._lock:
                        flow.on_packet(packet, sender)
            except TimeoutError:
                pass
            now = time.monotonic()
            with self._lock:
                for flow in list(self.flows.values()):
                    if flow.stream is not None and flow.reset is None:
                        flow.stream.on_time(now)


class ClientFlow:
    """A flow at its client."""

    def __init__(self, client, source, entry):
        self._client = client
        self.source, self.entry = source, entry
        self.first_seq = random.getrandbits(32)
        self.stream = None
        self.reset = None
        self.acknowledged = 0

    @property
    def name(self):
        """Name in the record."""
        return _name((self.source, self.entry))

    def transmit(self, flags, seq, ack, data=b""):
        """Send a packet of the flow."""
        if flags & ACK:
            self.acknowledged = ack
        raw = encode(self.source, self.entry, flags, seq, ack, data)
        self._client.send(self.source, self.entry, raw)

    def on_packet(self, packet, sender):
        """Handle a packet to this end."""
        if packet.flags & RST:
            distance = (packet.seq - self.acknowledged + 76_800) % MODULUS
            if self.stream is None or distance <= 2 * 76_800:
                origin = "a host" if packet.sum else "the system"
                self.reset = f"sent by {origin} from {sender[0]}"
            return
        if packet.flags & SYN:
            if self.stream is None:
                # The client that has this seq in its next packet opens the flow there.
                self.stream = Stream(
                    self.transmit,
                    (self.first_seq + 1) % MODULUS,
                    (packet.seq + 1) % MODULUS,
                    99,
                )
                self.transmit(ACK, self.first_seq + 1, packet.seq + 1)
            return
        if self.stream is not None:
            self.stream.on_packet(packet, time.monotonic())

    def request(self, request, size, timeout_s):
        """Send a request for `size` bytes; return how it ended.

        That is "200 NAME" with the stamp of the host, "reset ..." or "no answer".
        """
        record = self._client._record
        record(f"client: sends {request} for {size} bytes on {self.name}")
        result = self._exchange(request, size, timeout_s)
        record(f"client: {request} on {self.name}: {result}")
        return result

    def _exchange(self, request, size, timeout_s):
        """Send a request and wait for its end."""
        if self.reset is not None:
            return f"reset {self.reset}"
        head = (
            f"GET /bytes/{size} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {request}\r\n\r\n"
        )
        with self._client._lock:
            self.stream.send(head.encode())
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            with self._client._lock:
                message = read_message(self.stream.received)
                if message is not None:
                    first, fields, body, self.stream.received = message
                    is_whole = len(body) == size and fields["x-request-id"] == request
                    status = first.split()[1] if is_whole else "wrong"
                    return f"{status} {fields['x-server-stamp']}"
            if self.reset is not None:
                return f"reset {self.reset}"
            time.sleep(0.002)
        return "no answer"


def _name(flow):
    (client, port), (address, entry_port) = flow
    return f"{client}:{port}>{address}:{entry_port}"
