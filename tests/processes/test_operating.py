import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from papayagw._internal.models.decision import DropReason
from tests.lib.processes import ROOT, environment, running
from tools.fleet import Fleet, send_request
from tools.fleet_folder import FleetPlan, ServicePlan, make_balancer, write_folder

PLAN = FleetPlan((ServicePlan("order", 2),), balancers=2, block=93)
STOP_LIMIT_MS = 100
LOG_FIELDS = {"time", "level", "message", "node"}


def run_command(*words):
    """Run a command to its end and return its exit code and output."""
    done = subprocess.run(
        [sys.executable, "-m", "papayagw", *map(str, words)],
        env=environment(),
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert "Traceback" not in done.stderr
    return done.returncode, done.stdout, done.stderr


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("fleet")


@pytest.fixture(scope="module")
def fleet(folder):
    write_folder(PLAN, folder)
    for path in folder.glob("agent-*.jsonc"):
        settings = json.loads(path.read_text()) | {"stop_limit_ms": STOP_LIMIT_MS}
        path.write_text(json.dumps(settings))
    one = Fleet(folder, folder)
    try:
        one.start()
        for number in range(40):
            assert send_request(one.targets["order"], f"ORDER o-{number}").startswith(
                "DONE"
            )
        yield one
    finally:
        one.close()


@pytest.fixture(scope="module")
def admins(fleet):
    settings = fleet.settings
    nodes = (*settings.balancers.values(), *settings.agents.values())
    return [str(one.node.admin) for one in nodes] + [str(settings.connect.admin)]


def read_status(admins):
    code, out, _ = run_command("status", *admins, "--json")
    assert code == 0
    return json.loads(out)["nodes"]


def test_status_names_every_node_and_counts_flows(admins):
    nodes = read_status(admins)
    deadline = time.monotonic() + 20
    while min(one["agents_known"] for one in nodes[:2]) < 2:
        assert time.monotonic() < deadline, "a balancer hasn't heard of an agent"
        nodes = read_status(admins)
    opened = {"agent": 0, "connect": 0}
    for node in nodes:
        for totals in node["services"]:
            opened[node["role"]] += totals["counts"]["opened"]
    roles = [one["role"] for one in nodes]
    assert roles == ["balancer", "balancer", "agent", "agent", "connect"]
    assert opened["agent"] == opened["connect"] >= 40


@pytest.mark.parametrize("flags", [(), ("--full",)])
def test_status_prints_tables(admins, flags):
    code, out, err = run_command("status", *admins, *flags)
    assert (code, err) == (0, "")
    assert "agent-order-2" in out
    assert ("balancer.forwarded" in out) == bool(flags)


def test_operating_page_names_every_counter(admins):
    page = (ROOT / "docs" / "OPERATING.md").read_text()
    reasons = [one.value for one in DropReason]
    documented = page.replace("SERVICE", "order").replace("`, `.", "`, `connect.order.")
    for node in read_status(admins):
        for counter in node["counters"]:
            name, _, reason = counter["name"].rpartition("drop.")
            if name and reason in reasons:
                assert f"`{reason}`" in documented
                assert f"`{name}drop.REASON`" in documented
            else:
                assert f"`{counter['name']}`" in documented


def test_records_of_a_fleet_become_a_report(fleet, admins, tmp_path):
    records = tmp_path / "records"
    watch = "status", *admins, "--record", records, "--every", 0.2, "--rounds", 3
    code, out, _ = run_command(*watch)
    assert code == 0
    assert out.splitlines()[-1].endswith("nodes 5, records 3")
    code, out, _ = run_command("report", "burn", records, "--json")
    (service,) = json.loads(out)["services"]
    assert [one["side"] for one in service["sides"]] == ["agent", "caller"]
    assert {one["name"] for one in service["by_backend"]["groups"]} == {
        "agent-order-1",
        "agent-order-2",
    }


def read_log(folder, name):
    lines = (folder / f"{name}.err").read_text().splitlines()
    return [json.loads(line) for line in lines]


def count_lines(folder, name, message):
    return [one["message"] for one in read_log(folder, name)].count(message)


def wait_for_line(folder, name, message, before=0):
    deadline = time.monotonic() + 20
    while count_lines(folder, name, message) <= before:
        assert time.monotonic() < deadline, f"{name} never logged {message!r}"
        time.sleep(0.02)


def test_feed_outlives_stop_limit_up_to_drain_limit(fleet, folder):
    lines = STOP_LIMIT_MS // 10
    with socket.create_connection(fleet.targets["order"].sockaddr) as feed:
        feed.sendall(b"FEED f-2 %d 100\n" % lines)
        feed.shutdown(socket.SHUT_WR)
        answers = feed.makefile("rb")
        name = "agent-" + answers.readline().decode().split()[-1]
        os.kill(fleet.pid(name), signal.SIGTERM)
        rest = answers.readlines()
    assert len(rest) == lines
    assert rest[-1].startswith(b"END f-2")
    deadline = time.monotonic() + 20
    while fleet.is_running(name):
        assert time.monotonic() < deadline, f"{name} hasn't stopped"
        time.sleep(0.02)
    fleet.start_one(name)


def test_flow_cut_by_second_signal_is_logged_at_both_ends(fleet, folder):
    agents = ("agent-order-1", "agent-order-2")
    with socket.create_connection(fleet.targets["order"].sockaddr) as feed:
        feed.settimeout(20)
        feed.sendall(b"FEED f-1 1000 20\n")
        assert feed.recv(100)
        # An earlier run of an agent may have drained too; and two signals in a row
        # are one to a process that hasn't taken the first.
        drained = {name: count_lines(folder, name, "draining") for name in agents}
        for name in agents:
            os.kill(fleet.pid(name), signal.SIGTERM)
        for name in agents:
            wait_for_line(folder, name, "draining", drained[name])
            os.kill(fleet.pid(name), signal.SIGTERM)
        with pytest.raises(ConnectionResetError):
            while feed.recv(1_000):
                pass
        wait_for_line(folder, "connect", "flow unknown")
    lines = [one for name in (*agents, "connect") for one in read_log(folder, name)]
    cut = [one for one in lines if one["message"] == "flow unknown"]
    assert all(set(one) >= LOG_FIELDS for one in lines)
    assert {one["node"].partition("-")[0] for one in cut} == {"agent", "connect"}
    assert all(one["step"] == "deliver" and one["peer"] for one in cut)
    assert any(len(one.get("flow", "")) == 40 for one in cut)


@pytest.fixture
def balancer(tmp_path):
    """A balancer's settings file, whose statsd is a socket of the test."""
    plan = FleetPlan((ServicePlan("order", 1),), balancers=1, block=94)
    write_folder(plan, tmp_path)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as daemon:
        daemon.bind(("127.0.0.1", 0))
        daemon.settimeout(20)
        ip, port = daemon.getsockname()
        settings = make_balancer(plan, 1) | {"statsd": f"{ip}:{port}"}
        path = tmp_path / "balancer-1.jsonc"
        path.write_text(json.dumps(settings))
        yield path, daemon


def test_flood_of_bad_packets_is_counted_and_logs_few_lines(balancer, capfd):
    path, daemon = balancer
    with running("balancer", path) as process:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(500):
                sock.sendto(b"garbage", ("127.94.0.11", 4401))
                time.sleep(0)
        dropped = 0
        while not dropped:
            for line in daemon.recv(65_535).decode().split("\n"):
                name, _, value = line.partition(":")
                if name == "papayagw.balancer.drop.malformed":
                    dropped += int(value.partition("|")[0])
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    messages = [one["message"] for one in lines]
    page = (ROOT / "docs" / "OPERATING.md").read_text()
    assert all(f"`{field}`" in page for one in lines for field in one)
    # A count of held-back lines may come at any time, also while it drains.
    life = [one for one in messages if not one.startswith("packet dropped")]
    assert life == [
        "waiting for a configuration",
        "started",
        "draining",
        "drained",
        "stopped",
    ]
    assert 3 <= messages.count("packet dropped: malformed") < 50


def test_taken_admin_address_is_one_line_and_exit_code_4(balancer):
    path, _ = balancer
    with socket.socket() as taken:
        taken.bind(("127.94.0.11", 4390))
        taken.listen()
        code, out, err = run_command("balancer", path)
    line = json.loads(err.splitlines()[-1])
    assert (code, out) == (4, "")
    assert (line["level"], line["step"]) == ("error", "bind")
    assert line["peer"] == "127.94.0.11:4390"
    assert line["remedy"]
