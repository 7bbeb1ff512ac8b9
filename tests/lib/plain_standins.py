"""Stand-ins of the prepared platform for tests with real processes.

The key-value service, backend servers and clients run on threads of the test and
implement the platform's documented protocol. Each machine has its own loopback
address.
"""

import base64
import json
import random
import socket
import struct
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

HEADER = struct.Struct(">IIIHIBB4sHH4s")
SYN, ACK, FIN, RST, REJECTED = 1, 8, 16, 32, 64
REPORT_INTERVAL_S = 0.2
MODULUS = 1 << 32


def encode_packet(src, dst, flags, seq=0, ack=0, data=b"", echo=0):
    """Encode a packet between two (address, port) pairs."""
    (src_ip, sport), (dst_ip, dport) = src, dst
    head = HEADER.pack(
        seq,
        ack,
        echo,
        len(data),
        0,
        flags,
        0,
        socket.inet_aton(src_ip),
        sport,
        dport,
        socket.inet_aton(dst_ip),
    )
    return head + data


def decode_packet(raw):
    """Decode the addresses, flags, sequence numbers and data of a packet."""
    seq, ack, echo, length, _, flags, _, src, sport, dport, dst = HEADER.unpack_from(
        raw
    )
    return {
        "src": (socket.inet_ntoa(src), sport),
        "dst": (socket.inet_ntoa(dst), dport),
        "flags": flags,
        "seq": seq,
        "ack": ack,
        "echo": echo,
        "data": raw[HEADER.size : HEADER.size + length],
    }


class KeyValueService:
    """Stand-in of the platform's key-value service, with leases and watches."""

    def __init__(self, address):
        self.address = address
        self.is_down = False
        self.closed = threading.Event()
        self._items = {}
        self._events = []
        self._leases = {}
        self._next_lease = 70_000
        self._era = 1
        self._revision = 1
        self._open_watches = []
        self._silenced_watches = 0
        self._changed = threading.Condition()
        service = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length)) if length else {}
                url = urlparse(self.path)
                query = {key: one[0] for key, one in parse_qs(url.query).items()}
                status, fields = service.handle_request(
                    self.command, url.path, query, body
                )
                if status is None:
                    service.closed.wait()
                    return
                data = json.dumps(fields).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", str(service.era))
                self.end_headers()
                # A killed process has closed its connection.
                with suppress(ConnectionError):
                    self.wfile.write(data)

            # http.server calls handlers by these names.
            do_GET = do_POST = do_DELETE = handle_any  # noqa: N815

            def log_message(self, *args):
                pass

        class Server(ThreadingHTTPServer):
            def handle_error(self, request, client_address):
                # Tests and exiting processes reset connections.
                pass

        self._server = Server(address, Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self.closed.set()
        self._server.shutdown()
        self._server.server_close()

    def handle_request(self, method, path, query, body):
        """Return the status and the JSON fields of the response.

        The status is None if the connection stays open without a response.
        """
        if self.is_down:
            return 503, {}
        with self._changed:
            self._expire_leases()
            match method, path.removeprefix("/-/"):
                case "GET", "kv-range":
                    return 200, self._range(query["prefix"])
                case "GET", "kv-watch":
                    return self._watch(query)
                case "POST", "kv-txn":
                    return self._write(body)
                case "POST", "kv-lease":
                    lease, self._next_lease = self._next_lease, self._next_lease + 1
                    self._leases[lease] = (time.monotonic(), body["ttl_ms"] / 1_000)
                    return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            verb, _, lease = path.removeprefix("/-/").partition("/")
            return self._renew_or_end_lease(verb, int(lease))

    def put(self, key, value, lease=0):
        """Write a key, like an operator."""
        with self._changed:
            self._put(key, base64.b64encode(value).decode(), lease)

    def remove(self, key):
        """Remove a key."""
        with self._changed:
            self._remove(key)

    def list_keys(self):
        """Return the keys that exist."""
        with self._changed:
            return set(self._items)

    def count_watches(self, prefix):
        """Return the number of open watches of a prefix that may still be answered."""
        with self._changed:
            return self._open_watches.count(prefix)

    def silence_watches(self):
        """Leave all open watches without an answer; later calls are answered."""
        with self._changed:
            self._open_watches.clear()
            self._silenced_watches += 1
            self._changed.notify_all()

    def lease_of(self, key):
        """Return the lease of a key; None if the key doesn't exist."""
        with self._changed:
            return self._items[key]["lease"] if key in self._items else None

    @property
    def era(self):
        """Number of restorations, plus one."""
        return self._era

    def copy(self):
        """Return a copy for `restore`."""
        with self._changed:
            return (
                dict(self._items),
                list(self._events),
                dict(self._leases),
                self._next_lease,
                self._revision,
            )

    def restore(self, copy):
        """Return to a copy: revisions and leases since are given out again.

        Open watches aren't ended.
        """
        items, events, leases, next_lease, revision = copy
        with self._changed:
            self._items, self._events = dict(items), list(events)
            self._leases = {
                lease: (time.monotonic(), ttl) for lease, (_, ttl) in leases.items()
            }
            self._next_lease, self._revision = next_lease, revision
            self._era += 1

    def _range(self, prefix):
        """Return the response to a read of the keys with a prefix."""
        items = [
            one for key, one in sorted(self._items.items()) if key.startswith(prefix)
        ]
        return {"items": items, "has_more": False, "store_revision": self._revision}

    def _watch(self, query):
        """Return the response to a watch, once there are events or its time is over."""
        deadline = time.monotonic() + int(query["wait_ms"]) / 1_000
        prefix, silenced = query["prefix"], self._silenced_watches
        if int(query["after"]) > self._revision:
            return 410, {}
        self._open_watches.append(prefix)
        while self._silenced_watches == silenced:
            events = [
                one
                for one in self._events
                if one["revision"] > int(query["after"])
                and one["key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0 or self.is_down:
                self._open_watches.remove(prefix)
                return 200, {"events": events, "store_revision": self._revision}
            self._changed.wait(min(left, 0.5))
        return None, {}

    def _write(self, body):
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self._leases:
                return 404, {}
            self._put(put["key"], put["value"], put["lease"])
        return 200, {"revision": self._revision}

    def _renew_or_end_lease(self, verb, lease):
        if lease not in self._leases:
            return 404, {}
        if verb == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        ttl = self._leases[lease][1]
        self._leases[lease] = (time.monotonic(), ttl)
        return 200, {"ttl_ms": round(ttl * 1_000)}

    def _put(self, key, value, lease):
        self._revision += 1
        created = self._items.get(key, {"created": self._revision})["created"]
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)
        self._changed.notify_all()

    def _remove(self, key):
        self._revision += 1
        del self._items[key]
        self._events.append({"key": key, "revision": self._revision, "deleted": True})
        self._changed.notify_all()

    def _end_lease(self, lease):
        del self._leases[lease]
        for key in [key for key, one in self._items.items() if one["lease"] == lease]:
            self._remove(key)

    def _expire_leases(self):
        now = time.monotonic()
        for lease, (at, ttl) in list(self._leases.items()):
            if now - at > ttl:
                self._end_lease(lease)


class BackendServer:
    """Stand-in of a backend server, which echoes the data of each packet.

    Reports to its agent every `REPORT_INTERVAL_S`.
    """

    def __init__(self, name, service, ip, ports):
        self.name = name
        self.service = service
        self.flows = {}
        self.runs = {}
        self._ip = ip
        self._ports = ports
        self._outbound = (ip, ports.outbound)
        self.state = "ready"
        self.started_at = time.time_ns() // 1_000_000
        self._number = 0
        self._is_closed = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, ports.backend))
        self._socket.settimeout(0.1)
        self._threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._receive, self._report_periodically)
        ]
        for thread in self._threads:
            thread.start()

    def close(self):
        self._is_closed = True
        for thread in self._threads:
            thread.join()
        self._socket.close()

    def owns(self, flow, ack):
        """Return whether the client acknowledged this server's acceptance."""
        return flow in self.flows and ack == (self.flows[flow] + 1) % MODULUS

    def _receive(self):
        while not self._is_closed:
            try:
                raw, _ = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            self._handle_packet(raw)

    def _handle_packet(self, raw):
        """Accept an opening, echo data, and reject packets of unknown flows."""
        packet = decode_packet(raw)
        flow = packet["src"], packet["dst"]
        if packet["flags"] & RST:
            self.flows.pop(flow, None)
            return
        if packet["flags"] & SYN:
            start = self.flows.setdefault(flow, random.getrandbits(32))
            self._send(flow, SYN | ACK, start, packet["seq"] + 1)
            return
        if not self.owns(flow, packet["ack"]):
            returned = bytearray(raw)
            returned[18] |= REJECTED
            self._socket.sendto(bytes(returned), self._outbound)
            return
        if packet["data"]:
            end = packet["seq"] + len(packet["data"])
            self.runs.setdefault((flow, end), 0)
            self.runs[flow, end] += 1
            self._send(flow, ACK, self.flows[flow] + 1, end, packet["data"])

    def _send(self, flow, flags, seq, ack, data=b""):
        client, entry = flow
        raw = encode_packet(entry, client, flags, seq % MODULUS, ack, data)
        self._socket.sendto(raw, self._outbound)

    def _report_periodically(self):
        while not self._is_closed:
            self._number += 1
            fields = self.make_report()
            if self.send_report(fields):
                self.on_report_accepted(fields)
            time.sleep(REPORT_INTERVAL_S)

    def make_report(self):
        """Return the fields of the server's current report."""
        return {
            "service": self.service,
            "address": f"{self._ip}:{self._ports.backend}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 1,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._number,
            "born": self.started_at,
        }

    def on_report_accepted(self, fields):
        """Handle the acceptance of a report by the agent; subclasses override it."""

    def send_report(self, fields):
        """Send a report to the agent; return whether it was acknowledged."""
        body = json.dumps(fields).encode()
        head = (
            f"PUT /-/instances/{self.name} HTTP/1.1\r\nHost: a\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            peer = (self._ip, self._ports.reports)
            with socket.create_connection(peer, 1) as connection:
                connection.sendall(head.encode() + body)
                return connection.recv(1_000).startswith(b"HTTP/1.1 200")
        except OSError:
            # The agent isn't running; the next report reaches it.
            return False


USED_PORT_SEQUENCE_STEP = 1_000_000
"""Distance between the first sequence numbers of flows from one port, in bytes."""


class FlowClient:
    """A client with one flow, which sends each packet to any running balancer."""

    def __init__(self, ip, client_port, entry, pick_balancer):
        self._ip = ip
        self._entry = entry
        self._pick_balancer = pick_balancer
        self._source = (ip, 40_001)
        self._server_sequence = None
        self._first_sequence = 0
        self._position = 1
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, client_port))

    def close(self):
        self._socket.close()

    @property
    def flow(self):
        """Addresses of the client and of the entry."""
        return self._source, self._entry

    @property
    def acknowledged(self):
        """Acknowledgement number of the client's packets."""
        return (self._server_sequence + 1) % MODULUS

    def start_new_flow(self):
        """Abandon the flow; the next one uses another source port."""
        self._source = (self._ip, self._source[1] + 1)
        self._first_sequence, self._position = 0, 1

    def abort(self):
        """Abort the flow; the next one uses the same source port."""
        raw = encode_packet(
            self._source, self._entry, RST, self._position, self.acknowledged
        )
        balancer = self._pick_balancer()
        if balancer is not None:
            self._socket.sendto(raw, balancer)
        self._first_sequence += USED_PORT_SEQUENCE_STEP
        self._position = self._first_sequence + 1

    def open(self, timeout_s=5.0):
        """Open the flow; return whether it was accepted."""
        raw = encode_packet(self._source, self._entry, SYN, self._first_sequence)
        packet = self._send_until_answered(
            raw, lambda one: one["flags"] & SYN, timeout_s
        )
        if packet is None:
            return False
        self._server_sequence = packet["seq"]
        return True

    def request(self, data, timeout_s=10.0):
        """Send a request; return whether it was answered, or "reset"."""
        raw = encode_packet(
            self._source, self._entry, ACK, self._position, self.acknowledged, data
        )
        end = self._position + len(data)
        packet = self._send_until_answered(
            raw, lambda one: one["data"] == data and one["ack"] == end, timeout_s
        )
        if packet is None:
            return False
        if packet["flags"] & RST:
            return "reset"
        self._position = end
        return True

    def _send_until_answered(self, raw, is_answer, timeout_s):
        """Send a packet to balancers, with retransmissions, until it is answered."""
        deadline, wait = time.monotonic() + timeout_s, 0.2
        while time.monotonic() < deadline:
            balancer = self._pick_balancer()
            if balancer is not None:
                self._socket.sendto(raw, balancer)
            packet = self._receive(is_answer, min(wait, deadline - time.monotonic()))
            if packet is not None:
                return packet
            wait = min(2 * wait, 0.4)
        return None

    def _receive(self, is_answer, wait):
        end = time.monotonic() + wait
        while (left := end - time.monotonic()) > 0:
            self._socket.settimeout(left)
            try:
                packet = decode_packet(self._socket.recv(4_096))
            except TimeoutError:
                return None
            is_ours = packet["dst"] == self._source
            if is_ours and (packet["flags"] & RST or is_answer(packet)):
                return packet
        return None
