"""The fleet of a soak: real programs, proxies, and stand-ins that keep a record."""

import json
import signal
import threading
import time
from collections import Counter

from tests.lib.plain_fleet import SITE, PlainFleet
from tests.lib.plain_standins import SYN, BackendServer, unpack
from tests.soak.proxies import ConnectionProxy, PacketProxy


class RecordingBackend(BackendServer):
    """A backend server that can end, drain, and tells what it took when."""

    def __init__(self, name, service, ip, ports):
        self.drained_at = None
        self.openings = []
        super().__init__(name, service, ip, ports)

    def restart(self):
        """End and start anew: nothing of before is known."""
        self.flows = {}
        self.started_at = time.time_ns() // 1_000_000
        self._number = 0
        self.resume()

    def drain(self):
        """Want no new flows from the next report on."""
        self.state = "draining"

    def resume(self):
        """Want new flows again; a new run would say so."""
        self.state, self.drained_at = "ready", None

    def on_report_accepted(self, fields):
        if fields["state"] == "draining" and self.drained_at is None:
            self.drained_at = time.monotonic()

    def _handle_packet(self, raw):
        packet = unpack(raw)
        is_new = (packet["src"], packet["dst"]) not in self.flows
        if packet["flags"] & SYN and is_new:
            self.openings.append((time.monotonic(), self.drained_at))
        super()._handle_packet(raw)


class SoakFleet(PlainFleet):
    """A fleet whose every way to the store and to balancers passes a proxy.

    Parameters
    ----------
    folder : Path
        Where settings and logs go.
    block : int
        Third part of the loopback numbers.
    size : int
        How many balancers, and how many agents.
    double : str or None
        The mechanism that is turned off.
    """

    backend_type = RecordingBackend

    def __init__(self, folder, block, size=3, mutant=None):
        self._mutant = mutant
        self._start_counts = Counter()
        super().__init__(folder, block, size, size)
        self.lock = threading.RLock()
        self.unexpected_exits = []
        self.disturbed_at = {}
        self._site = SITE
        names = (*self.balancers, *self.agents)
        store = (self._ip(200), self.ports.store)
        self.store_proxies = {
            name: ConnectionProxy((self._ip(210 + at), self.ports.store), store)
            for at, name in enumerate(names)
        }
        self.packet_proxies = {
            name: PacketProxy(
                (self._ip(230 + at), self.ports.data),
                (self.ip_of(name), self.ports.data),
            )
            for at, name in enumerate(self.balancers)
        }
        for proxy in (*self.store_proxies.values(), *self.packet_proxies.values()):
            proxy.start()

    def close(self):
        super().close()
        for proxy in (*self.store_proxies.values(), *self.packet_proxies.values()):
            proxy.close()

    def command(self, role):
        if self._mutant is None:
            return super().command(role)
        return ["tests.soak.mutants", self._mutant, role]

    def store_address(self, name):
        at = (*self.balancers, *self.agents).index(name)
        return f"{self._ip(210 + at)}:{self.ports.store}"

    def start_process(self, name):
        self._start_counts[name] += 1
        super().start_process(name)

    def mark_disturbed(self, name):
        """Note that a process was struck."""
        self.disturbed_at[name] = time.monotonic()

    def restart(self, name, signal_number):
        """End a process by a signal and start it again."""
        with self.lock:
            process = self._processes.get(name)
            if process is None:
                return
            has_exited = process.poll() is not None
            if has_exited and not self._exited_before_start(name, process):
                self.unexpected_exits.append((name, process.returncode))
            self.mark_disturbed(name)
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal_number)
            process.wait(10)
            self.start_process(name)
            self.mark_disturbed(name)

    def restart_early_exits(self):
        """Start what a hangup ended before the program's first instruction."""
        with self.lock:
            for name, process in list(self._processes.items()):
                if self._exited_before_start(name, process):
                    self.start_process(name)

    def _exited_before_start(self, name, process):
        events = [one["event"] for one in self.log(name)]
        is_before_start = events.count("started") < self._start_counts[name]
        return process.poll() == -signal.SIGHUP and is_before_start

    def record_unexpected_exits(self):
        """Note processes that ended by themselves."""
        for name, process in self._processes.items():
            if process.poll() is not None:
                self.unexpected_exits.append((name, process.returncode))

    def change_site(self):
        """Accept a newer configuration."""
        version = self._site["version"] + 3
        limits = {"idle_timeout_ms": 15_000 + version}
        self._site = {**self._site, "version": version, "limits": limits}
        self.store.put("op/config", json.dumps(self._site).encode())
        return version

    @property
    def version(self):
        """The newest version of the configuration."""
        return self._site["version"]

    def _pick_balancer(self):
        name = self._random.choice(self.balancers)
        at = self.balancers.index(name)
        return (self._ip(230 + at), self.ports.data)
