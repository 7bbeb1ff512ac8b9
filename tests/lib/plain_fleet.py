"""Fleet of real plain front end processes on loopback addresses, with stand-ins."""

import json
import os
import random
import signal
import subprocess
import sys
import urllib.request
from dataclasses import dataclass

from tests.lib.plain_standins import (
    REPORT_INTERVAL_S,
    BackendServer,
    FlowClient,
    KeyValueService,
)
from tests.lib.processes import ROOT, wait_until

SITE_KEY = "op/config"
ENTRY = ("198.18.0.1", 8443)
SERVICE = "order"
READY_TIMEOUT_S = 20
SITE = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "hostname": ENTRY[0],
            "prefix": f"/{ENTRY[1]}/",
            "service": SERVICE,
            "priority": 1,
        }
    ],
    "limits": {"idle_timeout_ms": 15_000},
}


@dataclass(frozen=True)
class Ports:
    """Ports, which are the same on every machine."""

    store: int = 18_169
    data: int = 18_172
    inner: int = 17_720
    readiness: int = 18_167
    metrics: int = 19_102
    reports: int = 18_166
    outbound: int = 18_162
    backend: int = 18_165


class PlainFleet:
    """Balancers, agents, backend servers and the store of one test.

    Parameters
    ----------
    folder : Path
        Folder of the settings files and logs.
    block : int
        Third octet of the loopback addresses, which separates concurrent runs.
    balancers, agents : int
        Number of each.
    """

    backend_type = BackendServer

    def __init__(self, folder, block, balancers=2, agents=2):
        self.folder = folder
        self.ports = Ports()
        self._block = block
        self._client_count = 0
        self._processes = {}
        self._random = random.Random(block)
        self.balancers = [f"balancer-{one}" for one in range(1, balancers + 1)]
        self.agents = [f"agent-{one}" for one in range(1, agents + 1)]
        self.store = KeyValueService((self._ip(200), self.ports.store))
        self.put_site(SITE)
        self.backends = {name: self._make_backend(name) for name in self.agents}

    def start(self):
        """Start all processes and wait until they are ready."""
        for name in (*self.agents, *self.balancers):
            self.start_process(name)
        for name in (*self.agents, *self.balancers):
            self.wait_ready(name)

    def close(self):
        """Stop all processes and stand-ins."""
        for name in list(self._processes):
            self.signal(name, signal.SIGCONT)
            self.kill(name)
        for backend in self.backends.values():
            backend.close()
        self.store.close()

    def service_of(self, name):
        """Return the service of an agent."""
        return SERVICE

    def _make_backend(self, name):
        return self.backend_type(
            f"i-{name}", self.service_of(name), self.ip_of(name), self.ports
        )

    def ip_of(self, name):
        """Return the loopback address of a machine."""
        role, _, number = name.partition("-")
        return self._ip(int(number) + (0 if role == "balancer" else 100))

    def start_process(self, name):
        """Start a process."""
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(self._settings(name)))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join((str(ROOT / "src"), str(ROOT))),
            "PAPAYAGW_NODE_FILE": str(path),
        }
        with (
            (self.folder / f"{name}.out").open("ab") as out,
            (self.folder / f"{name}.err").open("ab") as err,
        ):
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", *self.command(name.partition("-")[0])],
                env=environment,
                stdout=out,
                stderr=err,
            )

    def command(self, role):
        """Return the module that runs a role, and its arguments."""
        return ["papayagw.platform", role]

    def kill(self, name):
        """Kill a process."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def pid(self, name):
        """Return the process id."""
        return self._processes[name].pid

    def signal(self, name, signal_number):
        """Send a signal to a process."""
        self._processes[name].send_signal(signal_number)

    def wait_exit(self, name, timeout_s):
        """Wait until a process exits by itself; return its exit code."""
        return self._processes.pop(name).wait(timeout_s)

    def is_ready(self, name):
        """Return whether the readiness probe of a process succeeds."""
        url = f"http://{self.ip_of(name)}:{self.ports.readiness}/-/readyz"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def wait_ready(self, name):
        """Wait until a process is ready."""
        wait_until(lambda: self.is_ready(name), READY_TIMEOUT_S, f"{name} is not ready")

    def metrics(self, name):
        """Return the metrics of a process in their text format."""
        url = f"http://{self.ip_of(name)}:{self.ports.metrics}/metrics"
        with urllib.request.urlopen(url, timeout=2) as response:
            return response.read().decode()

    def log(self, name):
        """Return the log events of a process."""
        lines = (self.folder / f"{name}.out").read_text().splitlines()
        return [json.loads(line) for line in lines]

    def put_site(self, site):
        """Write a configuration to the store, like an operator."""
        self.store.put(SITE_KEY, json.dumps(site).encode())

    def applied_versions(self, name):
        """Return the versions that a balancer has put in force, in order."""
        return [
            event["version"]
            for event in self.log(name)
            if event["event"] == "configuration in force"
        ]

    def make_client(self):
        """Return a new client with its own address."""
        self._client_count += 1
        host = f"127.95.{self._block}.{self._client_count}"
        return FlowClient(host, self.ports.data, ENTRY, self._pick_balancer)

    def _pick_balancer(self):
        alive = [name for name in self.balancers if name in self._processes]
        if not alive:
            return None
        return (self.ip_of(self._random.choice(alive)), self.ports.data)

    def _ip(self, host):
        return f"127.94.{self._block}.{host}"

    def store_address(self, name):
        """Return the store's address in the settings of a machine."""
        return f"{self._ip(200)}:{self.ports.store}"

    def _settings(self, name):
        ip, ports = self.ip_of(name), self.ports
        common = {
            "name": name,
            "zone": "zone-a",
            "ip": ip,
            "inner_port": ports.inner,
            "readiness": f"{ip}:{ports.readiness}",
            "metrics_port": ports.metrics,
            "store": self.store_address(name),
            "grace_s": 6,
            "flow_limit_s": 60,
            "report_interval_ms": round(REPORT_INTERVAL_S * 1_000),
        }
        if name.startswith("balancer"):
            return {**common, "entry": f"{ip}:{ports.data}"}
        return {
            **common,
            "data": f"{ip}:{ports.data}",
            "service": self.service_of(name),
            "backend": f"{ip}:{ports.backend}",
            "outbound": f"{ip}:{ports.outbound}",
            "reports": f"{ip}:{ports.reports}",
        }
