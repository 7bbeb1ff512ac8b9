"""Soak test: injects the faults of a seed into a fleet and checks its guarantees."""

import itertools
import signal
import threading
import time
from collections import defaultdict

from tests.lib.limits import CHANGE_TIMEOUT_S
from tests.soak.plan import draw_changes, draw_plan, draw_store_losses
from tests.soak.world import SERVICE, SoakFleet

CALLER_COUNT = 12
SHORT_FLOW_REQUESTS = 5
"""Number of requests on each flow of callers that use their ports again."""

REQUEST_TIMEOUT_S = 8.0
"""Time for which a request is retransmitted on an open flow.

A backend server gives up later.
"""

DRAIN_OPENING_LIMIT_S = 3.0
"""Time after an acknowledged drain report in which openings may still arrive.

Source: the rules.
"""

DISTURBANCE_GRACE_S = 4.0
"""Time after a fault on a machine during which it may exceed the limits.

Source: the rules.
"""

RECOVERY_LIMIT_S = 12.0
"""Maximum time from the last fault until everything is served; source: the rules."""

ENTRY_RESTORE_LIMIT_S = 2.0
"""Maximum time from the store's recovery until an entry is stored again.

Source: the customers' request.
"""

PORT_PAUSE_S = 0.5
"""Time from the end of a flow to the next one from its port."""

PROCESS_START_S = 0.5
"""Time allowed for a process to start."""

STORE_MODES = {
    "store delayed": "delayed",
    "store reset": "reset",
    "store answers lost": "answers lost",
    "store silent": "silent",
}
PACKET_MODES = {"packets delayed": "delayed", "packets lost": "lost"}
SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGTERM}


class Caller(threading.Thread):
    """Thread that sends requests on one flow, then opens another.

    Parameters
    ----------
    soak : Soak
        Soak test to which broken flows are reported.
    client : FlowClient
        Client that sends the packets.
    flow_requests : int or None
        Number of requests on each flow; None keeps a flow open until it breaks.
    uses_port_again : bool
        Whether the next flow comes from the same port.
    """

    def __init__(self, soak, client, flow_requests=None, uses_port_again=False):
        super().__init__(daemon=True)
        self._uses_port_again = uses_port_again
        self._soak = soak
        self._client = client
        self._flow_requests = flow_requests
        self.is_closed = False

    def run(self):
        number = 0
        while not self.is_closed:
            if not self._client.open():
                self._client.start_new_flow()
                continue
            while not self.is_closed:
                number += 1
                outcome = self._client.request(
                    b"request %08d" % number, REQUEST_TIMEOUT_S
                )
                if outcome is not True:
                    self._soak.record_broken_flow(self._client, outcome)
                    break
                time.sleep(0.03)
                if self._flow_requests and number % self._flow_requests == 0:
                    break
            if self._uses_port_again:
                self._client.abort()
                time.sleep(PORT_PAUSE_S)
            else:
                self._client.start_new_flow()


class Soak:
    """Soak test of one seed.

    Parameters
    ----------
    seed : int
        Seed of the fault schedule.
    folder : Path
        Folder of the settings files and logs.
    block : int
        Third octet of the loopback addresses.
    duration : float
        Time in which faults begin, in seconds.
    size : int
        Number of balancers and of agents.
    mutant : str or None
        Name of the mutant whose mechanism is disabled, a key of `MUTANTS`.
    flow_requests : int or None
        Number of requests on each flow; None keeps flows open until they break.
    store_losses : int
        Number of restorations of the store and of silenced watches.
    changes : int
        Number of moved routes, with the other kinds in `CHANGES`. If given, these are
        the only faults, there are two services, and half of the callers use their ports
        again.
    """

    def __init__(
        self,
        seed,
        folder,
        block,
        duration=6.0,
        size=3,
        mutant=None,
        flow_requests=None,
        store_losses=0,
        changes=0,
    ):
        self.violations = []
        self._flow_requests = flow_requests
        self._has_changes = changes > 0
        services = 2 if self._has_changes else 1
        self.fleet = SoakFleet(folder, block, size, mutant, services)
        machines = {"balancer": self.fleet.balancers, "agent": self.fleet.agents}
        drawn = (
            draw_changes(seed, machines, duration, changes)
            if self._has_changes
            else draw_plan(seed, machines, duration)
        )
        self.plan = sorted(
            [*drawn, *draw_store_losses(seed, duration, store_losses)],
            key=lambda one: one.start_s,
        )
        self._pending_ends = []
        self._restarts = []
        self._active_counts = defaultdict(int)

    def run(self):
        """Inject all faults and return descriptions of the violations."""
        fleet = self.fleet
        callers = []
        try:
            fleet.start()
            callers = [self._make_caller(number) for number in range(CALLER_COUNT)]
            for caller in callers:
                caller.start()
            self._inject_faults()
            self._check_recovery()
            for caller in callers:
                caller.is_closed = True
            for caller in callers:
                caller.join()
            self._check_records()
        finally:
            for caller in callers:
                caller.is_closed = True
            self._join_restarts()
            fleet.close()
        return self.violations

    def _make_caller(self, number):
        """Return a caller; among changes, each second one uses its port again.

        The flows of the others stay open through all changes.
        """
        uses_port_again = self._has_changes and number % 2 == 1
        flow_requests = self._flow_requests
        if uses_port_again and flow_requests is None:
            flow_requests = SHORT_FLOW_REQUESTS
        client = self.fleet.make_client()
        return Caller(self, client, flow_requests, uses_port_again)

    def record_broken_flow(self, client, outcome):
        """Record a violation if a flow with a reset or no response is still open."""
        for name, backend in self.fleet.backends.items():
            if backend.owns(client.flow, client.acknowledged):
                what = "reset" if outcome == "reset" else "unanswered"
                self.violations.append(
                    f"{what}: flow of {client.flow[0]} is still open at {name}"
                )

    def _inject_faults(self):
        start = time.monotonic()
        for fault in self.plan:
            self._end_due_faults(start + fault.start_s)
            time.sleep(max(0.0, start + fault.start_s - time.monotonic()))
            self.fleet.copy_store()
            self._inject(fault)
        self._end_due_faults(None)
        self._join_restarts()

    def _join_restarts(self):
        for restart in self._restarts:
            restart.join()

    def _end_due_faults(self, until):
        """End the faults that are due before `until`, or all of them if it is None."""
        while self._pending_ends and (
            until is None or min(self._pending_ends)[0] <= until
        ):
            ends_at, _, end_fault = due = min(
                self._pending_ends, key=lambda one: one[:2]
            )
            self._pending_ends.remove(due)
            time.sleep(max(0.0, ends_at - time.monotonic()))
            end_fault()

    def _hold_until_end(self, key, fault, begin, end):
        """Hold a state until the last of the overlapping faults with this key ends."""
        self._active_counts[key] += 1
        begin()

        def end_fault():
            self._active_counts[key] -= 1
            if not self._active_counts[key]:
                end()

        ends_at = time.monotonic() + fault.duration_s
        self._pending_ends.append(
            (ends_at, len(self._pending_ends) + fault.start_s, end_fault)
        )

    def _inject(self, fault):
        fleet, name = self.fleet, fault.target
        if fault.kind in SIGNALS:
            number = SIGNALS[fault.kind]
            restart = threading.Thread(target=fleet.restart, args=(name, number))
            self._restarts.append(restart)
            restart.start()
        elif fault.kind == "pause":
            self._hold_until_end(
                (name, "pause"),
                fault,
                lambda: self._signal(name, signal.SIGSTOP),
                lambda: self._signal(name, signal.SIGCONT),
            )
        elif fault.kind == "hangup":
            self._signal(name, signal.SIGHUP)
        elif fault.kind in STORE_MODES:
            self._set_proxy_mode(
                fleet.store_proxies[name], STORE_MODES[fault.kind], fault
            )
        elif fault.kind in PACKET_MODES:
            self._set_proxy_mode(
                fleet.packet_proxies[name], PACKET_MODES[fault.kind], fault
            )
        else:
            self._inject_service_fault(fault)

    def _inject_service_fault(self, fault):
        fleet, name = self.fleet, fault.target
        match fault.kind:
            case "backend restarted":
                fleet.mark_disturbed(name)
                fleet.backends[name].restart()
            case "backend drains":
                backend = fleet.backends[name]
                self._hold_until_end(
                    (name, "drain"), fault, backend.drain, backend.resume
                )
            case "store down":
                self._hold_until_end("down", fault, self._store_down, self._store_up)
            case "entry removed":
                key = f"papayagw/agents/{name}"
                if key in fleet.store.list_keys():
                    fleet.store.remove(key)
            case "configuration":
                fleet.change_site()
            case "store restored":
                fleet.restore_store(fault.duration_s)
            case "watches silent":
                fleet.store.silence_watches()
            case _:
                self._inject_change(fault)

    def _inject_change(self, fault):
        fleet, name = self.fleet, fault.target
        match fault.kind:
            case "route moved":
                fleet.move_route()
            case "foreign report":
                fleet.send_foreign_report(name)
            case "address reused":
                replacement = threading.Thread(
                    target=fleet.replace_machine, args=(name,)
                )
                self._restarts.append(replacement)
                replacement.start()
            case other:
                raise ValueError(other)

    def _set_proxy_mode(self, proxy, mode, fault):
        def begin():
            proxy.mode = mode

        def end():
            proxy.mode = "pass"

        self._hold_until_end(id(proxy), fault, begin, end)

    def _signal(self, name, number):
        with self.fleet.lock:
            self.fleet.mark_disturbed(name)
            self.fleet.signal(name, number)

    def _store_down(self):
        self.fleet.store.is_down = True

    def _store_up(self):
        self.fleet.store.is_down = False

    def _check_recovery(self):
        """Check that everything is served again within `RECOVERY_LIMIT_S`."""
        fleet = self.fleet
        time.sleep(PROCESS_START_S)
        fleet.restart_early_exits()
        started_at = time.monotonic()
        keys = {f"papayagw/agents/{name}" for name in fleet.agents}
        self._wait_for(
            "entries of all agents",
            lambda: keys <= fleet.store.list_keys(),
            RECOVERY_LIMIT_S,
        )
        names = (*fleet.balancers, *fleet.agents)
        for name in names:
            self._wait_for(
                f"{name} ready", lambda n=name: fleet.is_ready(n), RECOVERY_LIMIT_S
            )
        self._check_version(RECOVERY_LIMIT_S)
        self._wait_for(
            "a lease of its own for each agent",
            lambda: len({fleet.store.lease_of(key) for key in keys}) == len(keys),
            RECOVERY_LIMIT_S,
        )
        fleet.store.silence_watches()
        fleet.change_site()
        self._check_version(CHANGE_TIMEOUT_S)
        client = fleet.make_client()
        remaining_s = max(1.0, RECOVERY_LIMIT_S - (time.monotonic() - started_at))
        if (
            not client.open(remaining_s)
            or client.request(b"at last", remaining_s) is not True
        ):
            self.violations.append("a new flow is not served after the last fault")
        client.close()

    def _check_version(self, limit_s):
        """Check that all balancers reach the newest configuration within `limit_s`."""
        fleet = self.fleet
        self._wait_for(
            f"all balancers on version {fleet.version}",
            lambda: all(
                self._last_version(name) == fleet.version for name in fleet.balancers
            ),
            limit_s,
        )

    def _wait_for(self, what, condition, seconds):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                self.violations.append(f"not reached within {seconds} s: {what}")
                return
            time.sleep(0.05)

    def _last_version(self, name):
        versions = self.fleet.applied_versions(name)
        return versions[-1] if versions else None

    def _check_records(self):
        """Check the processes' exits and the records of backend servers and logs."""
        fleet = self.fleet
        fleet.record_unexpected_exits()
        self.violations += [f"unexpected exit: {one}" for one in fleet.unexpected_exits]
        ran_at = defaultdict(set)
        for name, backend in fleet.backends.items():
            for request in backend.runs:
                ran_at[request].add(name)
            self._check_drain(name, backend)
        for request, names in ran_at.items():
            if len(names) > 1:
                self.violations.append(
                    f"executed at several agents {sorted(names)}: {request}"
                )
        for backend in (*fleet.backends.values(), *fleet.retired):
            self._check_service(backend)
        for name in (*fleet.balancers, *fleet.agents):
            self._check_log(name)

    def _check_drain(self, name, backend):
        last_disturbed_at = self.fleet.disturbed_at.get(name, 0.0)
        for at, drained_at in backend.openings:
            if drained_at is None or at - drained_at <= DRAIN_OPENING_LIMIT_S:
                continue
            if not last_disturbed_at <= at <= last_disturbed_at + DISTURBANCE_GRACE_S:
                late = at - drained_at
                self.violations.append(f"{name} drains, opening after {late:.1f} s")

    def _check_service(self, backend):
        """Check that no flow opened at a service that its route lost long before."""
        routed = [(0.0, SERVICE), *self.fleet.routed]
        for at, _ in backend.openings:
            current = [service for moved_at, service in routed if moved_at <= at][-1:]
            recent = [
                service
                for (_, service), (lost_at, _) in itertools.pairwise(routed)
                if at - CHANGE_TIMEOUT_S <= lost_at <= at
            ]
            if backend.service not in (*current, *recent):
                self.violations.append(
                    f"{backend.name} of {backend.service} took an opening "
                    f"{at - self.fleet.routed[-1][0]:.1f} s after the last change"
                )

    def _check_log(self, name):
        version = 0
        for one in self.fleet.log(name):
            if one["event"] == "fault":
                self.violations.append(f"{name} logged a fault: {one['error']}")
            if one["event"] == "started":
                version = 0
            if one["event"] == "configuration in force":
                if one["version"] < version:
                    self.violations.append(
                        f"{name} reverted to version {one['version']}"
                    )
                version = one["version"]
