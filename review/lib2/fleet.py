"""A small deployment on loopback addresses: the project's processes and stand-ins."""

import hashlib
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from review.lib2.flows import Client, Host
from review.lib2.store import Store

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "lost_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "flow_ms": 2000,
    "max_flow_s": 60,
}
HEARTBEAT_MS = 1_200
IDLE_TIMEOUT_MS = 15_000
METRICS_PORT = 9_102
PROBE_INTERVAL_S = 0.5
MAX_MISSES = 2
READY_TIMEOUT_S = 20.0
RESTART_DELAY_S = 0.5


class CannotRunError(Exception):
    """The case can't run here."""


class Record:
    """The file record.txt of a case."""

    def __init__(self, path):
        self._file = path.open("w")
        self._began_at = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text):
        """Write a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
            self._file.flush()


class Router:
    """The platform's routers: hash flows over the balancers that are in rotation."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._misses = {}
        self._closed = threading.Event()
        self.rotation = []

    def start(self):
        """Probe the balancers at intervals."""
        for name in self._fleet.balancers:
            threading.Thread(target=self._probe, args=(name,), daemon=True).start()

    def close(self):
        """Stop probing."""
        self._closed.set()

    def pick(self, flow):
        """Return the address to which the packets of a flow go, or None.

        If none is in rotation, all are used, as PROTOCOL says for a zone.
        """
        names = self.rotation or self._fleet.balancers
        best = max(
            names, key=lambda name: hashlib.sha256(repr((flow, name)).encode()).digest()
        )
        return self._fleet.data_of(best)

    def _probe(self, name):
        while not self._closed.wait(PROBE_INTERVAL_S):
            is_ready = self._fleet.is_ready(name)
            misses = self._misses[name] = (
                0 if is_ready else self._misses.get(name, 0) + 1
            )
            in_rotation = name in self.rotation
            if is_ready and not in_rotation:
                self.rotation = sorted([*self.rotation, name])
                self._fleet.record(f"router: {name} in rotation")
            if misses >= MAX_MISSES and in_rotation:
                self.rotation = [one for one in self.rotation if one != name]
                self._fleet.record(f"router: {name} out of rotation")


class Fleet:
    """Balancers, and hosts with an agent each, of some services.

    Parameters
    ----------
    case : Path
        Folder of the case, for record.txt.
    balancers : int
        Number of balancers.
    services : dict of str to int
        Number of hosts of each service.
    """

    def __init__(self, case, balancers, services):
        self.record = Record(case / "record.txt")
        self._folder = tempfile.TemporaryDirectory(prefix="papayagw-review-")
        self._block = (random.randrange(16, 120), random.randrange(1, 255))
        self._processes = {}
        self._lock = threading.Lock()
        self.balancers = [f"balancer-{one}" for one in range(1, balancers + 1)]
        self.services = {}
        for service, count in services.items():
            for _ in range(count):
                self.services[f"agent-{len(self.services) + 1}"] = service
        self.ports = self._find_ports()
        self.store_address = (self._ip(200), self.ports["store"])
        self.store = Store(self.store_address)
        self.hosts = {}
        self.router = Router(self)
        self.client = None
        self._version = 0

    @property
    def agents(self):
        """Names of the agents."""
        return list(self.services)

    def start(self):
        """Start all and wait until the processes are ready."""
        if not (ROOT / "target/deps/papayagw").is_dir():
            raise CannotRunError("target/deps is missing: run the deploy file's build")
        for name in (*self.balancers, *self.agents):
            self.start_process(name)
        for name, service in self.services.items():
            self.hosts[name] = Host(
                f"i-{name}", service, self.ip_of(name), self.ports, self.record
            )
        self.client = Client(
            self._ip(230), self.ports["data"], self.router, self.record
        )
        for name in (*self.balancers, *self.agents):
            self.wait_ready(name)
        self.router.start()
        self.wait_until(
            lambda: len(self.router.rotation) == len(self.balancers), "rotation"
        )

    def close(self):
        """End all processes and stand-ins."""
        self.router.close()
        for name in list(self._processes):
            self.kill(name)
        for host in self.hosts.values():
            host.close()
        if self.client is not None:
            self.client.close()
        self.store.close()
        self._folder.cleanup()

    def ip_of(self, name):
        """Return the address of a process's machine."""
        role, _, number = name.partition("-")
        return self._ip(int(number) + (0 if role == "balancer" else 100))

    def move_store(self):
        """Serve the store at another address too; return the former address."""
        former, self.store_address = (
            self.store_address,
            (self._ip(201), self.ports["store"]),
        )
        self.store.listen(self.store_address)
        self.record(f"platform: the store also serves at {self.store_address[0]}")
        return former

    def data_of(self, name):
        """Return the address at which a balancer takes clients' packets."""
        return (self.ip_of(name), self.ports["data"])

    def entry(self, number):
        """Return the address and port of a route."""
        return (self._ip(240), 8_000 + number)

    def put_config(self, routes):
        """Write the next configuration; `routes` maps entries to services."""
        self._version += 3
        config = {
            "version": self._version,
            "routes": [
                {
                    "name": f"r-{number}",
                    "hostname": self.entry(number)[0],
                    "prefix": f"/{self.entry(number)[1]}/",
                    "type": "safe",
                    "timeout_ms": 2_000,
                    "objective_ms": 226,
                    "priority": 2,
                    "service": service,
                    "max_attempts": 2,
                }
                for number, service in routes.items()
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/healthz",
                    "max_conns": 2_000,
                    "protocol": "h1",
                    "tls": False,
                }
                for service in sorted(set(self.services.values()))
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": IDLE_TIMEOUT_MS,
            },
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record(f"operator: version {self._version} acknowledged, routes {routes}")

    def start_process(self, name):
        """Start a process with the command and the template of the deploy file."""
        role = name.partition("-")[0]
        path = self.write_settings(name)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": self._folder.name,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PAPAYAGW_NODE_FILE": str(path),
        }
        with (Path(self._folder.name) / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                ["python3", "-S", "-m", "papayagw.platform", role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record(f"{name}: started")

    def write_settings(self, name):
        """Write the settings file of a process; return its path."""
        role = name.partition("-")[0]
        path = Path(self._folder.name) / f"{name}.jsonc"
        template = (ROOT / f"deploy/{role}.jsonc").read_text()
        path.write_text(_render(template, self._settings(name)))
        return path

    def change_settings(self, name):
        """Write the settings file again, and tell the process by SIGHUP."""
        self.write_settings(name)
        self._processes[name].send_signal(signal.SIGHUP)
        self.record(f"{name}: settings changed, SIGHUP")

    def kill(self, name):
        """Kill a process."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def kill_all(self):
        """Kill all processes of the system at once."""
        for process in self._processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            process.wait()
        self._processes.clear()
        self.record("all processes killed")

    def terminate(self, name):
        """Stop a process with SIGTERM, as planned work does, and wait for its end."""
        process = self._processes.pop(name)
        self.record(f"{name}: SIGTERM")
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.record(f"{name}: ended")

    def is_ready(self, name):
        """Return whether a readiness probe succeeds."""
        address = (self.ip_of(name), self.ports["readiness"])
        connection = http.client.HTTPConnection(*address, timeout=PROBE_INTERVAL_S)
        try:
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self, name):
        """Wait until a process is ready."""
        self.wait_until(lambda: self.is_ready(name), f"{name} ready")

    def wait_until(self, condition, what):
        """Wait until a condition holds."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            if time.monotonic() > ends_at:
                raise CannotRunError(f"not reached in time: {what}")
            time.sleep(0.02)

    def events(self, name, event):
        """Return the log lines of a process with an event."""
        text = (Path(self._folder.name) / f"{name}.log").read_text()
        lines = [json.loads(one) for one in text.splitlines() if one.startswith("{")]
        return [one for one in lines if one["event"] == event]

    def _settings(self, name):
        ip, ports = self.ip_of(name), self.ports
        settings = {
            "node_name": name,
            "zone": "zone-a",
            "ip": ip,
            "port_range": [ports["inner"], ports["inner"] + 15],
            "listen": {
                "datagram_addr": f"{ip}:{ports['data']}",
                "readiness_addr": f"{ip}:{ports['readiness']}",
            },
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "platform": {"address": "{}:{}".format(*self.store_address)},
        }
        if name in self.services:
            settings["service"] = self.services[name]
            settings["app"] = f"{ip}:{ports['backend']}"
            settings["listen"]["outbound"] = f"{ip}:{ports['outbound']}"
            settings["listen"]["control"] = f"{ip}:{ports['reports']}"
        return settings

    def _ip(self, host):
        return f"127.{self._block[0]}.{self._block[1]}.{host}"

    def _find_ports(self):
        """Return ports that are free on this machine."""
        names = (
            "store",
            "data",
            "inner",
            "readiness",
            "reports",
            "outbound",
            "backend",
        )
        held = []
        ports = {}
        for name in names:
            probe = socket.socket()
            probe.bind(("0.0.0.0", 0))
            held.append(probe)
            ports[name] = probe.getsockname()[1]
        for probe in held:
            probe.close()
        return ports


def _render(template, fields):
    """Fill in the placeholders of a template of settings."""

    def replace(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        if match[2] or isinstance(value, dict | list):
            return json.dumps(value)
        return str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


def run_case(case, balancers, services, routes, play):
    """Run a case; return its exit code.

    `routes` are those of the first configuration. `play` gets the fleet and whether
    the disruption happens, and returns whether the rule was broken.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        fleet = Fleet(case, balancers, services)
    except OSError as error:
        print(f"can't run: {error}", file=sys.stderr)
        return 2
    try:
        fleet.put_config(routes)
        fleet.start()
        is_broken = play(fleet, with_trouble)
        fleet.record(f"result: {'rule broken' if is_broken else 'rule held'}")
        print("rule broken" if is_broken else "rule held")
        return 1 if is_broken else 0
    except (CannotRunError, OSError) as error:
        fleet.record(f"can't run: {error}")
        print(f"can't run: {error}", file=sys.stderr)
        return 2
    finally:
        fleet.close()
