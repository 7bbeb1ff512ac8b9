"""Fleet of a soak test: real processes, proxies, and stand-ins that keep records."""

import signal
import threading
import time
from collections import Counter

from tests.lib.plain_fleet import SERVICE, SITE, PlainFleet
from tests.lib.plain_standins import SYN, BackendServer, decode_packet
from tests.soak.proxies import ConnectionProxy, PacketProxy

OTHER_SERVICE = "drawings"
REUSE_AFTER_S = 2.0
"""Time after which the address of a machine that is gone is used again."""


class RecordingBackend(BackendServer):
    """Backend server that can restart and drain, and records its openings."""

    def __init__(self, name, service, ip, ports):
        self.drained_at = None
        self.openings = []
        super().__init__(name, service, ip, ports)

    def restart(self):
        """Simulate a restart, after which no earlier flow is known."""
        self.flows = {}
        self.started_at = time.time_ns() // 1_000_000
        self._number = 0
        self.resume()

    def drain(self):
        """Report the draining state, from the next report on."""
        self.state = "draining"

    def resume(self):
        """Report the ready state again, as a new run would."""
        self.state, self.drained_at = "ready", None

    def on_report_accepted(self, fields):
        if fields["state"] == "draining" and self.drained_at is None:
            self.drained_at = time.monotonic()

    def _handle_packet(self, raw):
        packet = decode_packet(raw)
        is_new = (packet["src"], packet["dst"]) not in self.flows
        if packet["flags"] & SYN and is_new:
            self.openings.append((time.monotonic(), self.drained_at))
        super()._handle_packet(raw)


class SoakFleet(PlainFleet):
    """Fleet with a proxy before each balancer and on each path to the store.

    Parameters
    ----------
    folder : Path
        Folder of the settings files and logs.
    block : int
        Third octet of the loopback addresses.
    size : int
        Number of balancers and of agents.
    mutant : str or None
        Name of the mutant whose mechanism is disabled, a key of `MUTANTS`.
    services : int
        Number of services, each with `size` agents.
    """

    backend_type = RecordingBackend

    def __init__(self, folder, block, size=3, mutant=None, services=1):
        self._mutant = mutant
        self._first_other_agent = size + 1
        self._replaced_names = {}
        self._replaced_services = {}
        self.retired = []
        self.routed = []
        self._start_counts = Counter()
        super().__init__(folder, block, size, services * size)
        self.lock = threading.RLock()
        self.unexpected_exits = []
        self.disturbed_at = {}
        self._site = SITE
        self._copies = []
        names = (*self.balancers, *self.agents)
        store = (self._ip(200), self.ports.store)
        listen = {
            name: (self._ip(210 + index), self.ports.store)
            for index, name in enumerate(names)
        }
        self._store_addresses = {
            name: f"{host}:{port}" for name, (host, port) in listen.items()
        }
        self.store_proxies = {
            name: ConnectionProxy(address, store) for name, address in listen.items()
        }
        self.packet_proxies = {
            name: PacketProxy(
                (self._ip(230 + index), self.ports.data),
                (self.ip_of(name), self.ports.data),
            )
            for index, name in enumerate(self.balancers)
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

    def service_of(self, name):
        if name in self._replaced_services:
            return self._replaced_services[name]
        is_other = int(name.partition("-")[2]) >= self._first_other_agent
        return OTHER_SERVICE if is_other else SERVICE

    def ip_of(self, name):
        return super().ip_of(self._machine_of(name))

    def store_address(self, name):
        return self._store_addresses[self._machine_of(name)]

    def _machine_of(self, name):
        """Return the first name of the machine that a name stands for."""
        return self._replaced_names.get(name, name)

    def replace_machine(self, name):
        """End a machine without a word, and give its address to the other service.

        The new agent has another name, so that the old store entry stays until its
        lease ends.
        """
        with self.lock:
            if name not in self._processes:
                return
            service = self.service_of(name)
            self.agents.remove(name)
            self.kill(name)
            backend = self.backends.pop(name)
            backend.close()
            self.retired.append(backend)
        time.sleep(REUSE_AFTER_S)
        with self.lock:
            # Sorted by name, the old entry comes after the new one.
            new = "agent-1" + name.partition("-")[2]
            self._replaced_names[new] = self._machine_of(name)
            self._replaced_services[new] = (
                SERVICE if service == OTHER_SERVICE else OTHER_SERVICE
            )
            self.backends[new] = self._make_backend(new)
            self.agents.append(new)
            self.start_process(new)
            self.mark_disturbed(new)

    def move_route(self):
        """Give the route to the other service, as the operator."""
        route = self._site["routes"][0]
        is_other = route["service"] == OTHER_SERVICE
        service = SERVICE if is_other else OTHER_SERVICE
        self._site = {**self._site, "routes": [{**route, "service": service}]}
        self.change_site()
        self.routed.append((time.monotonic(), service))

    def send_foreign_report(self, name):
        """Send an agent a report for a service that isn't its own, of a later run."""
        backend = self.backends.get(name)
        if backend is not None:
            born = time.time_ns() // 1_000_000
            backend.send_report(
                {**backend.make_report(), "service": "unknown", "born": born}
            )

    def start_process(self, name):
        self._start_counts[name] += 1
        super().start_process(name)

    def mark_disturbed(self, name):
        """Record the time of a fault on a process."""
        self.disturbed_at[name] = time.monotonic()

    def restart(self, name, signal_number):
        """Stop a process by a signal and start it again."""
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
        """Restart processes that SIGHUP ended before their code could handle it."""
        with self.lock:
            for name, process in list(self._processes.items()):
                if self._exited_before_start(name, process):
                    self.start_process(name)

    def _exited_before_start(self, name, process):
        events = [one["event"] for one in self.log(name)]
        is_before_start = events.count("started") < self._start_counts[name]
        return process.poll() == -signal.SIGHUP and is_before_start

    def record_unexpected_exits(self):
        """Record processes that have exited without being stopped."""
        for name, process in self._processes.items():
            if process.poll() is not None:
                self.unexpected_exits.append((name, process.returncode))

    def change_site(self):
        """Write a newer configuration to the store and return its version."""
        version = self._site["version"] + 3
        limits = {"idle_timeout_ms": 15_000 + version}
        self._site = {**self._site, "version": version, "limits": limits}
        self.put_site(self._site)
        return version

    def copy_store(self):
        """Keep a copy of the store for `restore_store`."""
        self._copies.append((time.monotonic(), self.store.copy()))

    def restore_store(self, age_s):
        """Restore the store from its newest copy of this age, or else its oldest.

        The operator writes the configuration again.
        """
        latest = time.monotonic() - age_s
        _, copy = max(
            (one for one in self._copies if one[0] <= latest),
            key=lambda one: one[0],
            default=self._copies[0],
        )
        self.store.restore(copy)
        self.put_site(self._site)

    @property
    def version(self):
        """Version of the newest configuration."""
        return self._site["version"]

    def _pick_balancer(self):
        name = self._random.choice(self.balancers)
        index = self.balancers.index(name)
        return (self._ip(230 + index), self.ports.data)
