"""Stand-in of a backend server, as PROTOCOL, sections Flows to Discovery, has it."""

import json
import random
import re
import socket
import threading
import time

from lib import packets
from lib.packets import ACK, FIN, RST, SYN, Packet

HEARTBEAT_S = 1.2
"""Interval between acknowledged reports."""

WORK_S = 0.004
"""Time that a server works on a request."""

ACK_TIMEOUT_S = 1.0
"""Time within which a report must be acknowledged."""


class Server:
    """One lifetime of a backend server.

    Parameters
    ----------
    record : Record
        Log of the case.
    name : str
        Name of the server in the log.
    machine : Machine
        Addresses of its machine.
    service : str
        Service that it runs.
    born : int
        Unix time of its start in ms, by its machine's clock.
    slots : int
        Number of requests that it reports to handle at a time.
    """

    def __init__(self, record, name, machine, service, born=None, slots=3):
        self.name = name
        self.service = service
        self.identity = f"i-{random.getrandbits(40):010x}"
        self.born = time.time_ns() // 1_000_000 if born is None else born
        self.state = "ready"
        self.acknowledged_at = 0.0
        self.acknowledged_draining_at = None
        self.flows = {}
        self.opened = {}
        self.arrivals = []
        self.requests = []
        self._ended = {}
        self._record = record
        self._machine = machine
        self._slots = slots
        self._number = 0
        self._is_over = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(machine.at("backend"))
        self._socket.settimeout(0.05)
        self._threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._serve, self._report)
        ]

    def start(self):
        """Start serving and reporting."""
        self._record.write("server starts", server=self.name, born=self.born)
        for thread in self._threads:
            thread.start()

    def crash(self):
        """End without a word; all flows are lost."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()
        self._socket.close()
        self._record.write("server crashed", server=self.name)

    def drain(self):
        """Announce a planned end from the next report on, which is sent at once."""
        self.state = "draining"
        self._record.write("server drains", server=self.name)
        self._send_report()

    def _serve(self):
        while not self._is_over.is_set():
            try:
                raw, _ = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            except OSError:
                return
            self._handle(raw)

    def _handle(self, raw):
        packet = packets.decode(raw)
        flow = packet.src, packet.dst
        if not packet.is_genuine():
            self._record.write("forged packet", server=self.name, flow=flow)
            return
        if not packet.flags & SYN:
            is_own = self._holds(flow, packet.ack)
            self.arrivals.append((time.monotonic(), flow, is_own))
        if packet.flags & SYN:
            self._accept(packet, flow)
        elif flow in self._ended:
            self._answer_ended(packet, flow)
        elif not self._holds(flow, packet.ack):
            self._record.write(
                "packet of another server",
                server=self.name,
                flow=flow,
                flags=packet.flags,
                bytes=len(packet.data),
            )
            self._socket.sendto(packets.bounce(raw), self._machine.at("outbound"))
        elif packet.flags & RST:
            self.flows.pop(flow, None)
            self.opened.pop(flow, None)
        else:
            self._receive(packet, flow)

    def _accept(self, packet, flow):
        if flow not in self.flows:
            self._record.write(
                "opening taken", server=self.name, flow=flow, service=self.service
            )
        self._ended.pop(flow, None)
        start = self.flows.setdefault(flow, random.getrandbits(32))
        self._send(flow, SYN | ACK, start, packet.seq + 1)

    def _holds(self, flow, ack):
        start = self.flows.get(flow)
        return start is not None and (ack - start) % packets.MODULUS < 1 << 22

    def _receive(self, packet, flow):
        if flow not in self.opened:
            self.opened[flow] = {}
            self._record.write("flow open", server=self.name, flow=flow)
        end = packet.seq + len(packet.data)
        if packet.flags & FIN:
            self._send(flow, ACK | FIN, packet.ack, end + 1)
            self._ended[flow] = packet.ack
            self.flows.pop(flow)
            self.opened.pop(flow)
            self._record.write("flow closed", server=self.name, flow=flow)
        elif packet.data:
            answers = self.opened[flow]
            if end not in answers:
                answers[end] = self._run(packet.data)
            self._send(flow, ACK, packet.ack, end, answers[end])

    def _answer_ended(self, packet, flow):
        """Answer a late packet of a flow that has ended here."""
        end = packet.seq + len(packet.data)
        if packet.flags & FIN:
            self._send(flow, ACK, self._ended[flow] + 1, end + 1)
        elif packet.data:
            self._send(flow, RST, self._ended[flow] + 1, end)

    def _run(self, data):
        found = re.search(rb"X-Request-Id: (\S+)", data)
        request = found.group(1).decode() if found else "none"
        self.requests.append(request)
        self._record.write("request run", server=self.name, request=request)
        time.sleep(WORK_S)
        body = f"done {request} by {self.name}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.identity}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _send(self, flow, flags, seq, ack, data=b""):
        client, entry = flow
        packet = Packet(entry, client, flags, seq, ack, data)
        self._socket.sendto(packet.encode(), self._machine.at("outbound"))

    def _report(self):
        while not self._is_over.is_set():
            is_acknowledged = self._send_report()
            self._is_over.wait(HEARTBEAT_S if is_acknowledged else 0.2)

    def _send_report(self):
        """Send a report; return whether it was acknowledged in time."""
        self._number += 1
        state = self.state
        fields = {
            "service": self.service,
            "address": "{}:{}".format(*self._machine.at("backend")),
            "zone": self._machine.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._number,
            "born": self.born,
        }
        status = self._call("PUT", fields)
        if status == 200:
            self.acknowledged_at = time.monotonic()
        if state == "draining" and self.acknowledged_draining_at is None:
            self._record.write(
                "draining reported", server=self.name, status=status, fields=fields
            )
            if status == 200:
                self.acknowledged_draining_at = time.monotonic()
        return status == 200

    def _call(self, method, fields):
        body = json.dumps(fields).encode()
        head = (
            f"{method} /-/instances/{self.identity} HTTP/1.1\r\nHost: agent\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            with socket.create_connection(
                self._machine.at("reports"), ACK_TIMEOUT_S
            ) as connection:
                connection.sendall(head.encode() + body)
                line = connection.recv(1_000).split(b"\r\n")[0].split()
                return int(line[1]) if len(line) > 1 else 0
        except OSError:
            return 0
