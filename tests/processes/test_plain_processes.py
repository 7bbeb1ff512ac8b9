"""Tests of the roles as real processes, with stand-ins for the platform."""

import signal
import sys
import threading
import time
from contextlib import suppress
from ipaddress import ip_address
from pathlib import Path

import pytest

from tests.lib.limits import CHANGE_TIMEOUT_S
from tests.lib.odd_values import (
    DEEP_ARRAY,
    ODD_DOCUMENTS,
    ODD_ENDPOINTS,
    ODD_TEXTS,
    with_field,
)
from tests.lib.plain_fleet import (
    READY_TIMEOUT_S,
    SERVICE,
    SITE,
    SITE_KEY,
    PlainFleet,
)
from tests.lib.processes import wait_until

FLOWS = 8
KILLS = 20
KILL_INTERVAL_S = 1.0
SEVERED_S = 2.0
TCP_ESTABLISHED = "01"
"""State of a connection in the kernel's table."""

STOP_TIMEOUT_S = 6
"""Grace period of a planned stop."""

ENTRY_RESTORE_TIMEOUT_S = 2.0
"""Longest time until an entry is restored after a store outage."""


@pytest.fixture
def unstarted_fleet(tmp_path, block):
    fleet = PlainFleet(tmp_path, block)
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def fleet(unstarted_fleet):
    unstarted_fleet.start()
    return unstarted_fleet


@pytest.fixture
def flows(fleet):
    clients = [fleet.make_client() for _ in range(FLOWS)]
    assert all(client.open() for client in clients)
    yield clients
    for client in clients:
        client.close()


def send_requests_until(clients, deadline, failed):
    """Send requests on each flow in turn; append the index of each failed flow."""
    number = 0
    while time.monotonic() < deadline:
        for index, client in enumerate(clients):
            number += 1
            if client.request(b"request %08d" % number) is not True:
                failed.append(index)
        time.sleep(0.02)


@pytest.mark.parametrize("role", ["balancers", "agents"])
def test_flows_survive_kills_of_each_process_in_turn(fleet, flows, role):
    names = getattr(fleet, role)
    failed = []
    deadline = time.monotonic() + KILLS * KILL_INTERVAL_S
    sender = threading.Thread(
        target=send_requests_until, args=(flows, deadline, failed)
    )
    sender.start()
    for number in range(KILLS):
        name = names[number % len(names)]
        fleet.kill(name)
        fleet.start_process(name)
        time.sleep(KILL_INTERVAL_S)
    sender.join()
    assert failed == []


@pytest.mark.parametrize("role", ["balancers", "agents"])
def test_planned_stops_cut_no_request(fleet, flows, role):
    """Flows that have just been opened are served while each process is replaced."""
    failed = []
    is_over = threading.Event()

    def open_and_send(client):
        number = 0
        while not is_over.is_set():
            number += 1
            client.start_new_flow()
            if not client.open() or client.request(b"fresh %08d" % number) is not True:
                failed.append((client.flow, number))

    senders = [threading.Thread(target=open_and_send, args=(one,)) for one in flows]
    for sender in senders:
        sender.start()
    for name in getattr(fleet, role):
        fleet.signal(name, signal.SIGTERM)
        assert fleet.wait_exit(name, STOP_TIMEOUT_S) == 0
        fleet.start_process(name)
        fleet.wait_ready(name)
    is_over.set()
    for sender in senders:
        sender.join()
    assert failed == []


def list_peers(pid):
    """Return the remote IP addresses of a process's established TCP connections."""
    links = set()
    for link in Path(f"/proc/{pid}/fd").iterdir():
        # The process may close a descriptor meanwhile.
        with suppress(FileNotFoundError):
            links.add(link.readlink().name)
    peers = set()
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        _, _, remote, state, *_, inode = line.split()[:10]
        if state == TCP_ESTABLISHED and f"socket:[{inode}]" in links:
            address = bytes.fromhex(remote.partition(":")[0])
            peers.add(str(ip_address(int.from_bytes(address, sys.byteorder))))
    return peers


def test_no_connection_between_balancers_and_agents_can_go_silent(fleet, flows):
    """They exchange datagrams only, so that a severed connection delays nothing."""
    names = [*fleet.balancers, *fleet.agents]
    machines = {fleet.ip_of(name) for name in names}
    store = {fleet.store_address(name).partition(":")[0] for name in names}
    seen = set()
    deadline = time.monotonic() + SEVERED_S
    while time.monotonic() < deadline:
        assert all(client.request(b"severed") for client in flows)
        for name in names:
            seen |= list_peers(fleet.pid(name))
    assert store <= seen
    assert not seen & machines


def test_each_request_runs_once(fleet, flows):
    for number, client in enumerate(flows):
        assert client.request(b"once %d" % number) is True
    runs = [count for one in fleet.backends.values() for count in one.runs.values()]
    assert len(runs) == FLOWS


def test_flows_are_served_during_a_store_outage(fleet, flows):
    fleet.store.is_down = True
    time.sleep(1.5)
    assert all(client.request(b"down") is True for client in flows)
    late_client = fleet.make_client()
    assert late_client.open()
    assert late_client.request(b"opened while it is down") is True
    late_client.close()


def wait_for_key(store, key, timeout_s):
    """Wait until the store has a key."""
    wait_until(
        lambda: key in store.list_keys(), timeout_s, f"{key} is not in the store"
    )


def wait_until_agents_are_known(fleet):
    """Wait until each balancer has read the entries of all agents."""
    for name in fleet.balancers:
        wait_until(
            lambda name=name: count_known_agents(fleet, name) >= len(fleet.agents),
            READY_TIMEOUT_S,
            f"{name} doesn't know every agent",
        )


def count_known_agents(fleet, name):
    return [event["event"] for event in fleet.log(name)].count("agent known")


def test_an_expired_entry_is_restored_after_a_store_outage(fleet, flows):
    wait_until_agents_are_known(fleet)
    key = f"papayagw/agents/{fleet.agents[0]}"
    fleet.store.is_down = True
    fleet.store.remove(key)
    time.sleep(1.0)
    fleet.store.is_down = False
    wait_for_key(fleet.store, key, ENTRY_RESTORE_TIMEOUT_S)


def test_an_entry_removed_before_a_balancer_reads_it_is_restored(unstarted_fleet):
    """Renewals of the lease succeed, and no balancer misses an unknown agent."""
    fleet = unstarted_fleet
    for name in fleet.agents:
        fleet.start_process(name)
    key = f"papayagw/agents/{fleet.agents[0]}"
    wait_for_key(fleet.store, key, READY_TIMEOUT_S)
    fleet.store.remove(key)
    for name in fleet.balancers:
        fleet.start_process(name)
    for name in fleet.balancers:
        fleet.wait_ready(name)
    wait_for_key(fleet.store, key, ENTRY_RESTORE_TIMEOUT_S)


def wait_until_in_force(fleet, version, timeout_s=CHANGE_TIMEOUT_S):
    """Wait until each balancer has a version of the configuration in force."""
    deadline = time.monotonic() + timeout_s
    for name in fleet.balancers:
        wait_until(
            lambda name=name: version in fleet.applied_versions(name),
            deadline - time.monotonic(),
            f"version {version} is not in force at {name}",
        )


def test_a_change_is_in_force_in_time_although_open_watches_went_silent(fleet):
    wait_until(
        lambda: fleet.store.count_watches(SITE_KEY) == len(fleet.balancers),
        READY_TIMEOUT_S,
        "not every balancer watches the configuration",
    )
    fleet.store.silence_watches()
    fleet.put_site({**SITE, "version": 4})
    wait_until_in_force(fleet, 4)


def test_a_change_at_a_revision_that_was_given_out_before_is_in_force(fleet):
    """The store is restored, and reaches the watched revision again."""
    copy = fleet.store.copy()
    fleet.put_site({**SITE, "version": 4})
    wait_until_in_force(fleet, 4)
    fleet.store.restore(copy)
    fleet.put_site({**SITE, "version": 5})
    fleet.store.put("servers/other", b"another writer")
    wait_until_in_force(fleet, 5)


def test_agents_dont_share_a_lease_that_was_given_out_twice(unstarted_fleet):
    """The store is restored to a copy from before one agent's lease was granted."""
    fleet, store = unstarted_fleet, unstarted_fleet.store
    first, second = (f"papayagw/agents/{name}" for name in fleet.agents)
    copy = store.copy()
    fleet.start_process(fleet.agents[0])
    wait_for_key(store, first, READY_TIMEOUT_S)
    fleet.signal(fleet.agents[0], signal.SIGSTOP)
    store.restore(copy)
    fleet.start_process(fleet.agents[1])
    wait_for_key(store, second, READY_TIMEOUT_S)
    fleet.signal(fleet.agents[0], signal.SIGCONT)
    wait_until(
        lambda: store.lease_of(first) not in (None, store.lease_of(second)),
        ENTRY_RESTORE_TIMEOUT_S,
        f"{first} isn't stored under a lease of its own",
    )


def test_odd_entries_among_those_of_agents_stop_no_balancer(fleet, flows):
    """Odd entries come and go; the others are still followed."""
    wait_until_agents_are_known(fleet)
    entry = {"endpoint": "127.0.0.1:9", "service": SERVICE, "zone": "zone-a"}
    values = [
        *ODD_DOCUMENTS,
        *(with_field(entry, "endpoint", value) for value in ODD_ENDPOINTS),
        *(with_field(entry, "service", value) for value in ODD_TEXTS),
        *(with_field(entry, "zone", value) for value in ODD_TEXTS),
    ]
    keys = [f"papayagw/agents/odd-{number}" for number in range(len(values))]
    for key, value in zip(keys, values, strict=True):
        fleet.store.put(key, value)
    time.sleep(1)
    for key in keys:
        fleet.store.remove(key)
    fleet.store.put(SITE_KEY, DEEP_ARRAY)
    fleet.store.put(SITE_KEY, with_field({**SITE, "version": 4}, "version", b"1e999"))
    fleet.put_site({**SITE, "version": 5})
    wait_until_in_force(fleet, 5)
    fleet.store.remove(f"papayagw/agents/{fleet.agents[0]}")
    wait_for_key(
        fleet.store, f"papayagw/agents/{fleet.agents[0]}", ENTRY_RESTORE_TIMEOUT_S
    )
    assert all(client.request(b"after odd entries") is True for client in flows)
    names = (*fleet.balancers, *fleet.agents)
    events = [one["event"] for name in names for one in fleet.log(name)]
    assert "fault" not in events


def test_a_stopping_balancer_serves_until_it_is_out_of_rotation(fleet, flows):
    name = fleet.balancers[0]
    fleet.signal(name, signal.SIGTERM)
    time.sleep(0.3)
    assert not fleet.is_ready(name)
    assert all(client.request(b"stopping") is True for client in flows)
    while fleet.is_ready(name):
        time.sleep(0.1)
    assert fleet.wait_exit(name, STOP_TIMEOUT_S) == 0
    assert all(client.request(b"stopped") is True for client in flows)


@pytest.mark.parametrize("name", ["balancer-1", "agent-1"])
def test_sighup_reloads_the_settings_without_interrupting_flows(fleet, flows, name):
    fleet.signal(name, signal.SIGHUP)
    time.sleep(0.3)
    assert "settings unchanged" in [one["event"] for one in fleet.log(name)]
    assert all(client.request(b"after the hangup") is True for client in flows)


def test_malformed_datagrams_cause_no_faults(fleet, flows):
    client = flows[0]
    for name in (*fleet.balancers, *fleet.agents):
        ports = fleet.ports
        for port in (ports.data, ports.inner, ports.outbound):
            for size in (0, 1, 31, 32, 500, 1_400):
                client._socket.sendto(b"\xff" * size, (fleet.ip_of(name), port))
    assert all(client.request(b"after noise") is True for client in flows)
    events = [one["event"] for name in fleet.agents for one in fleet.log(name)]
    assert "fault" not in events


def test_logs_and_metrics_record_an_accepted_opening(fleet, flows):
    text = "".join(fleet.metrics(name) for name in fleet.balancers)
    assert 'papayagw_opening_accepted_ms_bucket{le="+Inf"}' in text
    accepted = [
        one
        for name in fleet.balancers
        for one in fleet.log(name)
        if one["event"] == "opening accepted"
    ]
    # A retransmitted opening may also be accepted by another backend server.
    logged = {one["flow"].partition(":")[0] for one in accepted}
    assert logged == {client.flow[0][0] for client in flows}
    assert {"time", "node", "flow", "agent", "ms", "offers"} <= set(accepted[0])


@pytest.mark.parametrize(
    ("changes", "is_acknowledged"),
    [
        ({"seq": 900}, True),
        ({"seq": 0}, False),
        ({"born": 1_000, "seq": 900}, False),
        ({"service": "unknown", "seq": 900}, False),
    ],
)
def test_a_report_that_isnt_used_isnt_acknowledged(fleet, changes, is_acknowledged):
    """A backend server that believes it drains would lose the flows it gets later."""
    backend = fleet.backends[fleet.agents[0]]
    report = {**backend.make_report(), **changes}
    # The second time it repeats the one in force, or is still of no use.
    for _ in range(2):
        assert backend.send_report(report) is is_acknowledged
