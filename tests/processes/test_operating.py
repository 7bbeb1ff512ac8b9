import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import replace

import pytest

from papayagw._internal.models.decision import DropReason
from tests.lib.processes import ROOT, environment, running, wait_until
from tools.fleet import Fleet, claimed_block, send_request
from tools.fleet_folder import FleetPlan, ServicePlan, make_balancer, write_folder

PLAN = FleetPlan((ServicePlan("order", 2),), balancers=2, block=93)
STOP_LIMIT_MS = 100
LOG_FIELDS = {"time", "level", "message", "node"}


def run_command(*arguments):
    """Run a command; return its exit code, standard output and standard error."""
    completed = subprocess.run(
        [sys.executable, "-m", "papayagw", *map(str, arguments)],
        env=environment(),
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert "Traceback" not in completed.stderr
    return completed.returncode, completed.stdout, completed.stderr


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("fleet")


@pytest.fixture(scope="module")
def fleet(folder):
    with claimed_block(PLAN.block) as block:
        write_folder(replace(PLAN, block=block), folder)
        yield from run_fleet(folder)


def run_fleet(folder):
    """Run the fleet of a folder with a low stop limit until the generator ends."""
    for path in folder.glob("agent-*.jsonc"):
        settings = json.loads(path.read_text()) | {"stop_limit_ms": STOP_LIMIT_MS}
        path.write_text(json.dumps(settings))
    fleet = Fleet(folder, folder)
    try:
        fleet.start()
        for number in range(40):
            assert send_request(fleet.targets["order"], f"ORDER o-{number}").startswith(
                "DONE"
            )
        yield fleet
    finally:
        fleet.close()


@pytest.fixture(scope="module")
def admins(fleet):
    settings = fleet.settings
    nodes = (*settings.balancers.values(), *settings.agents.values())
    return [str(node.node.admin) for node in nodes] + [str(settings.connect.admin)]


def read_status(admins):
    code, out, _ = run_command("status", *admins, "--json")
    assert code == 0
    return json.loads(out)["nodes"]


def test_status_names_every_node_and_counts_flows(admins):
    nodes = read_status(admins)
    deadline = time.monotonic() + 20
    while min(node["agents_known"] for node in nodes[:2]) < 2:
        assert time.monotonic() < deadline, (
            "a balancer knows fewer than 2 agents after 20 s"
        )
        nodes = read_status(admins)
    opened = {"agent": 0, "connect": 0}
    for node in nodes:
        for totals in node["services"]:
            opened[node["role"]] += totals["counts"]["opened"]
    roles = [node["role"] for node in nodes]
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
    reasons = [reason.value for reason in DropReason]
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
    assert [side["side"] for side in service["sides"]] == ["agent", "caller"]
    assert {group["name"] for group in service["by_backend"]["groups"]} == {
        "agent-order-1",
        "agent-order-2",
    }


def read_log(folder, name):
    lines = (folder / f"{name}.err").read_text().splitlines()
    return [json.loads(line) for line in lines]


def count_lines(folder, name, message):
    return [line["message"] for line in read_log(folder, name)].count(message)


def wait_for_line(folder, name, message, before=0):
    wait_until(
        lambda: count_lines(folder, name, message) > before,
        20,
        f"{name} did not log {message!r}",
    )


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
    wait_until(lambda: not fleet.is_running(name), 20, f"{name} did not stop")
    fleet.start_process(name)


def test_flow_cut_by_second_signal_is_logged_at_both_ends(fleet, folder):
    agents = ("agent-order-1", "agent-order-2")
    with socket.create_connection(fleet.targets["order"].sockaddr) as feed:
        feed.settimeout(20)
        feed.sendall(b"FEED f-1 1000 20\n")
        assert feed.recv(100)
        # An earlier run of an agent may have logged "draining" too. The second signal
        # is sent only after the first was handled, as pending signals are merged.
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
    lines = [line for name in (*agents, "connect") for line in read_log(folder, name)]
    cut = [line for line in lines if line["message"] == "flow unknown"]
    assert all(set(line) >= LOG_FIELDS for line in lines)
    assert {line["node"].partition("-")[0] for line in cut} == {"agent", "connect"}
    assert all(line["step"] == "deliver" and line["peer"] for line in cut)
    assert any(len(line.get("flow", "")) == 40 for line in cut)


@pytest.fixture
def balancer(tmp_path):
    """Yield a balancer's settings file, its IP and the socket that gets its metrics."""
    plan = FleetPlan((ServicePlan("order", 1),), balancers=1, block=94)
    with (
        claimed_block(plan.block) as block,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as statsd,
    ):
        plan = replace(plan, block=block)
        write_folder(plan, tmp_path)
        statsd.bind(("127.0.0.1", 0))
        statsd.settimeout(20)
        statsd_ip, port = statsd.getsockname()
        settings = make_balancer(plan, 1) | {"statsd": f"{statsd_ip}:{port}"}
        path = tmp_path / "balancer-1.jsonc"
        path.write_text(json.dumps(settings))
        yield path, settings["admin"].partition(":")[0], statsd


def test_flood_of_bad_packets_is_counted_and_logs_few_lines(balancer, capfd):
    path, ip, statsd = balancer
    with running("balancer", path) as process:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(500):
                sock.sendto(b"garbage", (ip, 4401))
                time.sleep(0)
        dropped = 0
        while not dropped:
            for line in statsd.recv(65_535).decode().split("\n"):
                name, _, value = line.partition(":")
                if name == "papayagw.balancer.drop.malformed":
                    dropped += int(value.partition("|")[0])
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    messages = [line["message"] for line in lines]
    page = (ROOT / "docs" / "OPERATING.md").read_text()
    assert all(f"`{field}`" in page for line in lines for field in line)
    # A count of suppressed lines may be logged at any time, even while draining.
    lifecycle = [
        message for message in messages if not message.startswith("packet dropped")
    ]
    assert lifecycle == [
        "waiting for a configuration",
        "started",
        "draining",
        "drained",
        "stopped",
    ]
    assert 3 <= messages.count("packet dropped: malformed") < 50


def test_taken_admin_address_is_one_line_and_exit_code_4(balancer):
    path, ip, _ = balancer
    with socket.socket() as holder:
        holder.bind((ip, 4390))
        holder.listen()
        code, out, err = run_command("balancer", path)
    line = json.loads(err.splitlines()[-1])
    assert (code, out) == (4, "")
    assert (line["level"], line["step"]) == ("error", "bind")
    assert line["peer"] == f"{ip}:4390"
    assert line["remedy"]
