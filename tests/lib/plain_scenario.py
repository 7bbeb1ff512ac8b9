"""Language for fault scenarios of the plain front end, one statement on each line.

    network loss=0.02 duplication=0.02 delay=1-15
    balancer NAME...            agent NAME [SERVICE] [WORK_MS] [ZONE]
    at MS VERB WORD...          run MS
    call REQUESTS [PAUSE_MS]    calls COUNT REQUESTS EVERY_MS [PAUSE_MS]
    expect OUTCOME COUNT        (clients with this outcome; COUNT may be "all")
    expect-event EVENT          expect-no-event EVENT      (events in the logs)
    expect-openings AGENT COUNT FROM_MS TO_MS   (openings its backend server received)
    expect-served AGENT         (its backend server has run requests)
    expect-opened-within MS     (of every client that opened its flow)
    store MS                    (duration of a balancer's first read from now on)

Verbs with the NAME of a process: restart-balancer, restart-agent, stop-balancer,
freeze-balancer NAME MS, freeze-agent NAME MS, reuse-machine NAME SERVICE,
replace-machine NAME NEW_NAME SERVICE (the store entry of NAME stays). Verbs with the
NAME of an agent: crash and drain act on its backend server, expire-entry and
restore on its store entry, lose ends both for good. Verbs without a name: remove-route,
close-flows KIND (of packet), reuse-ports REQUESTS FIRST_SEQUENCE (of all clients),
move-route SERVICE..., and lose-power, which restarts all that isn't lost. evacuate ZONE
and withdraw ZONE write and remove the operator's key; copy-store and restore-store act
on these keys. A balancer after deafen NAME isn't told of changes of the store.
`#` starts a comment.
"""

from papayagw._internal.models.plain.packet import PacketKind
from tests.lib.plain_world import NetworkConditions, PlainWorld, make_site


class PlainScenario:
    """Executes scenario statements on a simulated world.

    Each method ``do_NAME`` executes the statements that begin with NAME.
    """

    def __init__(self, seed=0, mechanisms=None, evacuate_ms=None):
        self.world = PlainWorld(seed, mechanisms=mechanisms, evacuate_ms=evacuate_ms)
        self.copy = None
        self.start = self.world.now

    def execute(self, text):
        """Execute each line of `text`."""
        for line in text.splitlines():
            words = line.partition("#")[0].split()
            if words:
                self.run_statement(*words)

    def run_statement(self, verb, *words):
        """Execute one statement."""
        getattr(self, "do_" + verb.replace("-", "_"))(*words)

    def do_network(self, *words):
        options = dict(word.split("=") for word in words)
        low, high = options.get("delay", "1-1").split("-")
        loss, duplication = (
            float(options.get("loss", 0)),
            float(options.get("duplication", 0)),
        )
        self.world.network = NetworkConditions(loss, duplication, (int(low), int(high)))

    def do_balancer(self, *names):
        for name in names:
            self.world.add_balancer(name)

    def do_agent(self, name, service="order", work_ms=20, zone="zone-a"):
        self.world.add_agent(name, service, int(work_ms), zone=zone)

    def do_evacuate(self, zone):
        self.world.evacuate(zone)

    def do_withdraw(self, zone):
        self.world.withdraw(zone)

    def do_copy_store(self):
        self.copy = self.world.revision, frozenset(self.world.evacuated_at)

    def do_restore_store(self):
        self.world.restore_evacuations(*self.copy)

    def do_deafen(self, name):
        self.world.balancers[name].is_deaf = True

    def do_at(self, at, *words):
        self.world.at(self.start + int(at), lambda: self.run_statement(*words))

    def do_run(self, duration):
        self.world.run(int(duration))

    def do_call(self, requests, pause_ms=300):
        self.world.call(int(requests), int(pause_ms))

    def do_calls(self, count, requests, every_ms, pause_ms=300):
        for number in range(int(count)):
            self.world.after(
                number * int(every_ms), lambda: self.do_call(requests, pause_ms)
            )

    def do_restart_balancer(self, name):
        self.world.restart_balancer(name)

    def do_stop_balancer(self, name):
        self.world.balancers[name].is_alive = False

    def do_restart_agent(self, name):
        self.world.restart_agent(name)

    def do_freeze_balancer(self, name, duration):
        self.world.freeze(self.world.balancers[name], int(duration))

    def do_freeze_agent(self, name, duration):
        self.world.freeze(self.world.agents[name], int(duration))

    def do_crash(self, name):
        self.world.crash_backend(name)

    def do_lose(self, name):
        self.world.lose_machine(name)

    def do_lose_power(self):
        self.world.lose_power()

    def do_store(self, duration):
        self.world.store_ms = int(duration)

    def do_expect_opened_within(self, limit):
        waits = [
            client.opened_at - client.began_at
            for client in self.world.clients.values()
            if client.opened_at is not None
        ]
        assert max(waits) <= int(limit), max(waits)

    def do_drain(self, name):
        self.world.drain(name)

    def do_reuse_machine(self, name, service):
        self.world.reuse_machine(name, service)

    def do_close_flows(self, kind):
        for client in self.world.clients.values():
            client.close(PacketKind[kind])

    def do_reuse_ports(self, requests, first_sequence):
        self.world.reuse_ports(int(requests), int(first_sequence))

    def do_replace_machine(self, old, new, service):
        self.world.replace_machine(old, new, service)

    def do_expire_entry(self, name):
        self.world.expire_entry(name)

    def do_restore(self, name):
        self.world.store_entry(self.world.agents[name])

    def do_remove_route(self):
        self.world.apply_site(make_site(self.world.site.version + 1, routes={}))

    def do_move_route(self, *services):
        self.world.apply_site(make_site(self.world.site.version + 1, *services))

    def do_expect(self, outcome, count):
        found = self.world.outcomes()
        wanted = len(self.world.clients) if count == "all" else int(count)
        assert found.get(outcome, 0) == wanted, found

    def do_expect_served(self, agent):
        """Expect requests to have been run by an agent's backend server."""
        assert self.world.backends[agent].runs, agent

    def do_expect_event(self, *words):
        assert " ".join(words) in self._events(), sorted(self._events())

    def do_expect_no_event(self, *words):
        assert " ".join(words) not in self._events()

    def do_expect_openings(self, agent, count, after_ms, before_ms):
        received = [
            packet
            for at, backend, packet in self.world.arrivals
            if backend.agent_name == agent
            and packet.kind is PacketKind.OPEN
            and int(after_ms) <= at - self.start < int(before_ms)
        ]
        assert len(received) == int(count), len(received)

    def _events(self):
        return {log_event.event for _, _, log_event in self.world.log_events}
