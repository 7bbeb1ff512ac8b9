"""Processes of the deploy file on loopback addresses, with the stand-ins."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path

from lib.client import Flow, Router
from lib.server import Server
from lib.store import Store

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
BOUNDS = {"grace_s": 6, "max_flow_s": 60}
HEARTBEAT_MS = 1_200
READY_TIMEOUT_S = 20
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes."""

_PORT_NAMES = (
    "store",
    "data",
    "inner",
    "readiness",
    "metrics",
    "reports",
    "outbound",
    "backend",
)


class NotRunError(Exception):
    """The case couldn't run."""


class Record:
    """Log of what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, event, **fields):
        """Write one line."""
        at = time.monotonic() - self._start
        line = f"{at:8.3f} {event} {json.dumps(fields, default=str)}\n"
        with self._lock:
            self._file.write(line)
            self._file.flush()


class Machine:
    """Addresses of one machine."""

    def __init__(self, name, ip, ports, zone="se-mid-a"):
        self.name = name
        self.ip = ip
        self.zone = zone
        self._ports = ports

    def at(self, port_name):
        """Return the address and port with a name."""
        return self.ip, self._ports[port_name]

    def text(self, port_name):
        """Return the address and port with a name as text."""
        return f"{self.ip}:{self._ports[port_name]}"


class Fleet:
    """Store, routers, machines and processes of one case."""

    def __init__(self, record):
        if not (DEPS / "papayagw").is_dir():
            raise NotRunError(
                "target/deps is missing: run the build of the deploy file"
            )
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._network = f"127.{random.randint(20, 119)}.{random.randint(1, 250)}"
        self._ports = _find_free_ports(f"{self._network}.1")
        self.machines = {}
        self.fronts = {}
        self.processes = {}
        self._stores = {}
        self._clients = 0
        self._flows = []
        self.servers = []
        self.store = Store(record)
        self.router = None

    def close(self):
        """End all processes and stand-ins."""
        for name in list(self.processes):
            self.signal(name, signal.SIGCONT)
            self.kill(name)
        if self.router is not None:
            self.router.close()
        for server in self.servers:
            server.crash()
        for flow in self._flows:
            flow.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def entry(self, number, port=8443):
        """Return the address and port of a route."""
        return f"{self._network}.{200 + number}", port

    def add_machine(self, name, host):
        """Add a machine and its address of the store."""
        machine = Machine(name, f"{self._network}.{host}", self._ports)
        self.machines[name] = machine
        store = (f"{self._network}.{host + 120}", self._ports["store"])
        if store not in self._stores.values():
            self.store.listen(name, store)
        self._stores[name] = store
        return machine

    def add_front(self, name, host):
        """Add an entry machine."""
        self.fronts[name] = self.add_machine(name, host)

    def start_router(self):
        """Start the routers' probes."""
        self.router = Router(self.record, self.fronts)
        self.router.start()

    def put_site(self, version, routes):
        """Write a configuration; `routes` maps entries to services."""
        services = sorted(set(routes.values()))
        site = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{ip.rpartition('.')[2]}-{port}",
                    "hostname": ip,
                    "prefix": f"/{port}/",
                    "type": "safe",
                    "timeout_ms": 2_000,
                    "objective_ms": 225,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                }
                for (ip, port), service in routes.items()
            ],
            "services": [
                {"name": name, "health_path": "/healthz"} for name in services
            ],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.store.put("op/config", json.dumps(site).encode())
        texts = {f"{ip}:{port}": service for (ip, port), service in routes.items()}
        self.record.write("configuration acknowledged", version=version, routes=texts)

    def start_server(self, name, machine, service, **options):
        """Start a backend server."""
        server = Server(self.record, name, self.machines[machine], service, **options)
        self.servers.append(server)
        server.start()
        return server

    def end_server(self, server):
        """Let a server crash."""
        self.servers.remove(server)
        server.crash()

    def start(self, name, service=None):
        """Start the process of a machine: an agent if `service` is given."""
        role = "agent" if service else "balancer"
        path = self.folder / f"{name}.jsonc"
        path.write_text(self._render(role, self.machines[name], service))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(DEPS),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PAPAYAGW_NODE_FILE": str(path),
        }
        with (self.folder / f"{name}.out").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "-m", "papayagw.platform", role],
                cwd=ROOT,
                env=environment,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        self.record.write("process started", machine=name, role=role)

    def signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record.write("process killed", machine=name)

    def terminate(self, name):
        """Send SIGTERM, and SIGKILL after the grace."""
        self.record.write("SIGTERM", machine=name)
        process = self.processes.pop(name)
        process.terminate()
        try:
            process.wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.record.write("process ended", machine=name, code=process.returncode)

    def wait_in_rotation(self, names=None):
        """Wait until entry machines are in rotation."""
        for name in names or self.fronts:
            wait_until(
                lambda name=name: self.router.is_in_rotation(name),
                READY_TIMEOUT_S,
                f"{name} is not ready",
            )

    def events(self, name):
        """Return the log events of a machine's processes."""
        lines = (self.folder / f"{name}.out").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def wait_known(self, agents, fronts=None, since=None):
        """Wait until balancers know the agents' entries."""
        since = since or {}
        for front in fronts or self.fronts:
            for agent in agents:
                address = self.machines[agent].text("inner")
                wait_until(
                    lambda front=front, address=address: any(
                        event["event"] == "agent known" and event["agent"] == address
                        for event in self.events(front)[since.get(front, 0) :]
                    ),
                    READY_TIMEOUT_S,
                    f"{front} doesn't know {agent}",
                )

    def make_flow(self, entry):
        """Return a new client with one flow."""
        self._clients += 1
        number = self._clients
        address = (
            f"{self._network.rpartition('.')[0]}.{251 + number // 250}."
            f"{1 + number % 250}",
            self._ports["data"],
        )
        flow = Flow(self.record, f"c{number}", address, entry, self.router, self.fronts)
        self._flows.append(flow)
        return flow

    def _render(self, role, machine, service):
        """Fill in the role's template, as DEPLOY describes it."""
        fields = {
            "node_name": machine.name,
            "zone": machine.zone,
            "ip": machine.ip,
            "port_range": [machine.at("inner")[1], machine.at("inner")[1] + 15],
            "listen": {
                "datagram_addr": machine.text("data"),
                "readiness_addr": machine.text("readiness"),
                "outbound": machine.text("outbound"),
                "control": machine.text("reports"),
            },
            "platform": {"address": "{}:{}".format(*self._stores[machine.name])},
            "bounds": BOUNDS,
            "heartbeat_ms": HEARTBEAT_MS,
            "service": service,
            "app": machine.text("backend"),
        }

        def fill(match):
            value = fields
            for part in match.group(1).split("."):
                value = value[int(part) if isinstance(value, list) else part]
            return json.dumps(value) if match.group(2) else str(value)

        text = (ROOT / "deploy" / f"{role}.jsonc").read_text()
        text = re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)
        port = machine.at("metrics")[1]
        return text.replace('"metrics_port": 9102', f'"metrics_port": {port}')


def _find_free_ports(ip):
    """Return a free port for each name."""
    for _ in range(50):
        base = random.randint(20_000, 30_000)
        ports = {name: base + 20 * at for at, name in enumerate(_PORT_NAMES)}
        if all(_is_free(ip, port) for port in ports.values()):
            return ports
    raise NotRunError("no free ports")


def _is_free(ip, port):
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def wait_until(condition, timeout_s, what):
    """Wait until a condition holds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise NotRunError(what)
        time.sleep(0.02)


def run_case(folder, play):
    """Play a case and exit with its result.

    `play` gets the fleet and whether to make the disruption, and returns the breaks
    of the rule that it saw.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write("case", trouble=has_trouble)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    fleet = None
    try:
        fleet = Fleet(record)
        breaks = play(fleet, has_trouble)
        code = BROKEN if breaks else HELD
        for one in breaks:
            record.write("rule broken", what=one)
    except Exception as error:
        # A fault of the case itself must not look like a broken rule.
        record.write("not run", reason=repr(error), trace=traceback.format_exc())
        code = NOT_RUN
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep and fleet is not None:
            shutil.copytree(fleet.folder, keep, dirs_exist_ok=True)
        if fleet is not None:
            fleet.close()
    record.write("result", code=code)
    print(f"result {code}: {('held', 'broken', 'not run')[code]}")
    sys.exit(code)
