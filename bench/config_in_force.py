"""Time until a configuration change is in force at every balancer process.

Starts the stand-ins of platform and fabric and the balancers, and submits changes.
Then a new balancer starts during a platform outage, and the platform is restored from
an older snapshot. Run: python -m bench.config_in_force
"""

import json
import sys
import tempfile
import time
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from statistics import median

import anyio
import fire
import httpx

from bench.usage import describe_machine
from papayagw._internal.core.submission import Accepted, Proposal
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.configuration_store import ConfigurationStore
from papayagw._internal.net.submission import submit
from papayagw._internal.settings.development_keys import make_development_keys
from papayagw._internal.settings.site import load_site
from papayagw._internal.store.etcd import EtcdStore
from tests.lib.processes import running
from tools.fleet import claimed_block
from tools.fleet_folder import (
    BASE,
    KEYS,
    OVERLAY,
    SUFFIX,
    FleetPlan,
    ServicePlan,
    make_balancer,
    write_folder,
)

POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 60.0
SUBMIT_TIMEOUT_MS = Millis(15_000)
HOLD_S = 5.0
SITE = "bench"
CHANGE_AFTER_OUTAGE = 500
"""Number of the change that is submitted after the platform outage."""


class Bench:
    """The processes of one run and the operations of its operator."""

    def __init__(self, folder, plan, stack):
        self._folder = folder
        self._plan = plan
        self._stack = stack
        self.platform = f"127.{plan.block}.5.1:2379"
        self.url = f"http://{self.platform}"
        self._client = stack.enter_context(httpx.Client(trust_env=False, timeout=5))
        self.nodes = {}
        self.highest = {}
        self._processes = {}

    def start(self):
        """Start the stand-ins, submit a first version, start all balancers but one."""
        write_folder(self._plan, self._folder)
        self._start_process("standin", "platform", "--listen", self.platform)
        numbers = range(1, self._plan.balancers + 1)
        inner = [make_balancer(self._plan, number)["inner"] for number in numbers]
        site = load_site(self._folder / BASE, self._folder / OVERLAY).unwrap()
        routes = [f"{site.control_address}={','.join(inner)}"]
        for service in site.services:
            port = service.address.port
            targets = [address.replace(":4300", f":{port}") for address in inner]
            routes.append(f"{service.address}={','.join(targets)}")
        self._start_process("standin", "fabric", *routes)
        self.submit(0)
        for number in numbers[:-1]:
            self.start_balancer(number)

    def start_balancer(self, number):
        """Start one balancer, configured from the platform or its peers."""
        self._start_node("balancer", make_balancer(self._plan, number))

    def kill_balancers(self):
        """Kill every balancer with SIGKILL."""
        for name in [node for node in self.nodes if node.startswith("balancer")]:
            self._processes[name].kill()
            self._processes[name].wait()
            del self.nodes[name], self.highest[name]

    def start_path(self, service):
        """Start a backend server, its agent and connect; return the client endpoint."""
        name = f"agent-{service}-1"
        settings = self._read(f"{name}{SUFFIX}")
        backend = "--listen", settings["backend"], "--kind", service
        self._start_process("standin", "backend", *backend, "--name", f"{service}-1")
        self._start_node("agent", settings)
        self._start_process("connect", self._folder / f"connect{SUFFIX}")
        listeners = self._read(f"connect{SUFFIX}")["listeners"]
        listen = next(
            listener["listen"]
            for listener in listeners
            if listener["service"] == service
        )
        return Endpoint.parse(listen)

    def make_fleet_key(self, name):
        """Write a new fleet key and return its path relative to the settings folder."""
        make_development_keys(self._folder / name, ("order",))
        return f"{name}/fleet.key"

    def submit(self, change, edit=None):
        """Edit the overlay, submit the site and return the accepted version."""
        overlay = self._folder / OVERLAY
        content = self._read(OVERLAY)
        if edit is None:
            content["services"]["order"]["max_flows"] = 1_000 + change
        else:
            edit(content)
        overlay.write_text(json.dumps(content), encoding="utf-8")
        site = load_site(self._folder / BASE, overlay).unwrap()
        proposal = Proposal(site, f"change-{change}", "bench")
        outcome = anyio.run(_submit, self.url, proposal)
        assert isinstance(outcome, Accepted), outcome
        return outcome.version

    def control(self, path, **message):
        """Post a control command to the platform's stand-in."""
        self._client.post(f"{self.url}/standin/{path}", json=message)

    def count_calls(self):
        """Return the platform's call counts by kind of call."""
        return self._client.get(f"{self.url}/standin/calls").json()

    def read_versions(self):
        """Return the version in force at each node; assert that none decreased."""
        versions = {}
        for name, admin in self.nodes.items():
            report = self._client.get(f"http://{admin}/status").json()
            versions[name] = report["configuration_version"]
            assert versions[name] >= self.highest.get(name, 0), (name, versions)
            self.highest[name] = versions[name]
        return versions

    def read_held(self):
        """Return the configuration version stored on the platform."""
        return anyio.run(_read_held, self.url)

    def wait_in_force(self, version):
        """Return the milliseconds until `version` is in force at every node."""
        return wait_until(lambda: set(self.read_versions().values()) == {version})

    def _start_node(self, role, settings):
        del settings["base"], settings["overlay"]
        settings |= {
            "site": SITE,
            "platform": [self.url],
            "peers": self._peers,
            "keys": [{"id": 1, "file": f"{KEYS}/fleet.key"}],
        }
        file = self._folder / f"platform-{settings['name']}{SUFFIX}"
        file.write_text(json.dumps(settings), encoding="utf-8")
        self._processes[settings["name"]] = self._start_process(role, file)
        self.nodes[settings["name"]] = settings["admin"]

    @property
    def _peers(self):
        balancers = [make_balancer(self._plan, number)["inner"] for number in (1, 2)]
        return [*balancers, self._read(f"agent-order-1{SUFFIX}")["inner"]]

    def _read(self, name):
        return json.loads((self._folder / name).read_text(encoding="utf-8"))

    def _start_process(self, *words):
        return self._stack.enter_context(running(*words))


async def _submit(url, proposal):
    store = ConfigurationStore(EtcdStore([url]), SITE)
    try:
        return await submit(store, proposal, SUBMIT_TIMEOUT_MS, Random(1))
    finally:
        await store.close()


async def _read_held(url):
    store = ConfigurationStore(EtcdStore([url]), SITE)
    try:
        return (await store.read()).unwrap().configuration.version
    finally:
        await store.close()


def wait_until(condition):
    """Return the milliseconds until `condition` holds."""
    start = time.monotonic()
    while not condition():
        assert time.monotonic() - start < WAIT_TIMEOUT_S, condition
        time.sleep(POLL_INTERVAL_S)
    return round(1000 * (time.monotonic() - start))


def measure_changes(bench, changes):
    """Print how long the changes took to be in force at every node."""
    before = bench.count_calls()
    in_force = []
    for change in range(1, changes + 1):
        in_force.append(bench.wait_in_force(bench.submit(change)))
    after = bench.count_calls()
    calls = {kind: after[kind] - before.get(kind, 0) for kind in after}
    print(f"changes {changes}: in force at {len(bench.nodes)} balancers after")
    print(f"  median {median(in_force)} ms, longest {max(in_force)} ms")
    print(f"  calls, the operator's read and write of each change with them: {calls}")


def measure_outage(bench, number, seconds=0.0):
    """Print how long a balancer start in an outage takes, and the recovery after it."""
    newest = max(bench.read_versions().values())
    bench.control("faults", outage=True)
    start = time.monotonic()
    bench.start_balancer(number)
    started = round(1000 * (time.monotonic() - start))
    check_version_held(bench, newest, seconds)
    bench.control("faults")
    print(f"outage: a new balancer had version {newest} from a peer, ready in")
    print(f"  {started} ms, process start with it; no version fell in {seconds:.0f} s")
    recovered = bench.wait_in_force(bench.submit(CHANGE_AFTER_OUTAGE))
    print(f"  a change after it was in force everywhere after {recovered} ms")


def check_version_held(bench, version, seconds):
    """Assert for `seconds` that every node has `version` in force."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        assert set(bench.read_versions().values()) == {version}
        time.sleep(POLL_INTERVAL_S)
    assert set(bench.read_versions().values()) == {version}


def measure_restore(bench, change):
    """Print how the site recovers when the platform is restored from an older copy."""
    bench.control("copies/older")
    newest = bench.submit(change)
    bench.wait_in_force(newest)
    bench.control("restore/older")
    held = bench.read_held()
    recovered = wait_until(lambda: bench.read_held() == newest)
    check_version_held(bench, newest, HOLD_S)
    print(f"restore: the platform fell to version {held}; back at {newest} after")
    print(f"  {recovered} ms; in {HOLD_S:.0f} s no balancer left version {newest}")


@contextmanager
def open_bench(balancers, first_block):
    """Run the bench's processes in the first free block until the context exits."""
    services = ServicePlan("order", 1), ServicePlan("drawings", 1)
    with (
        tempfile.TemporaryDirectory(prefix="papayagw-bench-") as name,
        claimed_block(first_block) as block,
        ExitStack() as stack,
    ):
        plan = FleetPlan(services, balancers, block)
        bench = Bench(Path(name), plan, stack)
        bench.start()
        yield bench


def main(balancers=20, changes=10, outage_s=5, block=61):
    """Run all measurements; exit with 1 if a check fails."""
    print(describe_machine())
    try:
        with open_bench(balancers, block) as bench:
            wait_until(lambda: len(set(bench.read_versions().values())) == 1)
            measure_changes(bench, changes)
            measure_outage(bench, balancers, outage_s)
            measure_restore(bench, changes + 1)
    except AssertionError as error:
        print(f"broken: {error!r}")
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(main)
