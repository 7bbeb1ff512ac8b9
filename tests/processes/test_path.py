"""Flows through a fleet of real processes, some of which are stopped or killed."""

import hashlib
import socket
from contextlib import ExitStack, contextmanager

import pytest

from tools.fleet import running_fleet
from tools.fleet_folder import FleetPlan, ServicePlan

PLAN = FleetPlan(
    services=(ServicePlan("order", 3), ServicePlan("drawings", 1)),
    block=60,
    has_platform=True,
)
TIMEOUT_S = 60
LINES = 20
LONG_FEED_LINES = 100
"""Lines of a feed that lasts while 24 feeds are opened, also on a busy machine."""

INTERVAL_MS = 100
BLOB = bytes(range(256)) * 4_096
DIGEST = hashlib.sha256(BLOB).hexdigest()


@pytest.fixture
def fleet():
    with running_fleet(PLAN) as fleet:
        yield fleet


@contextmanager
def open_feed(fleet, name, line_count=LINES):
    """Open an order feed; yield the fields of its first line and the other lines."""
    target = fleet.targets["order"].sockaddr
    with socket.create_connection(target, TIMEOUT_S) as connection:
        connection.sendall(f"FEED {name} {line_count} {INTERVAL_MS}\n".encode())
        with connection.makefile("rb") as lines:
            yield lines.readline().decode().split(), lines


def read_numbers(lines, line_count=LINES):
    """Return the numbers of the next `line_count` lines of a feed."""
    return [int(lines.readline().split()[2]) for _ in range(line_count)]


def request_order(fleet, line):
    """Return the answer to a request line; the flow may need several openings."""
    target = fleet.targets["order"].sockaddr
    with socket.create_connection(target, TIMEOUT_S) as connection:
        connection.sendall(f"{line}\n".encode())
        with connection.makefile("rb") as answers:
            return answers.readline().decode()


def restart_balancers(fleet, owner):
    for name in fleet.settings.balancers:
        fleet.kill(name)
        fleet.start_process(name)


def drain_agent(fleet, owner):
    fleet.terminate(f"agent-{owner}")


def change_configuration(fleet, owner):
    fleet.change_overlay(lambda site: site["services"]["order"].update(max_flows=77))
    fleet.submit()


def kill_other_agents(fleet, owner):
    for name in fleet.settings.agents:
        if name != f"agent-{owner}":
            fleet.kill(name)


@pytest.mark.parametrize(
    "event",
    [restart_balancers, drain_agent, change_configuration, kill_other_agents],
)
def test_feed_survives(fleet, event):
    with open_feed(fleet, "feed") as (first, lines):
        event(fleet, first[-1])
        assert read_numbers(lines) == list(range(1, LINES + 1))


def kill_agent(fleet, owner):
    fleet.kill(f"agent-{owner}")


def restart_agent(fleet, owner):
    fleet.kill(f"agent-{owner}")
    fleet.start_process(f"agent-{owner}")


@pytest.mark.parametrize("event", [kill_agent, restart_agent])
def test_broken_feed_never_looks_whole_and_orders_go_on(fleet, event):
    with open_feed(fleet, "feed") as (first, lines):
        event(fleet, first[-1])
        with pytest.raises(ConnectionResetError):
            read_numbers(lines)
    for number in range(6):
        assert f"DONE o{number} " in request_order(fleet, f"ORDER o{number}")


def test_only_flows_of_a_dead_agent_break(fleet):
    with ExitStack() as stack:
        feeds = [
            stack.enter_context(open_feed(fleet, f"f{number}", LONG_FEED_LINES))
            for number in range(24)
        ]
        victim = feeds[0][0][-1]
        kill_agent(fleet, victim)
        for first, lines in feeds:
            if first[-1] == victim:
                with pytest.raises(ConnectionResetError):
                    read_numbers(lines, LONG_FEED_LINES)
            else:
                assert read_numbers(lines, LONG_FEED_LINES) == list(
                    range(1, LONG_FEED_LINES + 1)
                )


@pytest.mark.parametrize(
    ("service", "request_line", "body", "expected"),
    [
        ("order", "ORDER whole", b"", "DONE whole order-"),
        (
            "drawings",
            f"UPLOAD whole {len(BLOB)}",
            BLOB,
            DIGEST,
        ),
    ],
)
def test_whole_answer_comes_back(fleet, service, request_line, body, expected):
    target = fleet.targets[service].sockaddr
    with socket.create_connection(target, TIMEOUT_S) as connection:
        connection.sendall(f"{request_line}\n".encode() + body)
        with connection.makefile("rb") as answers:
            assert expected in answers.readline().decode()
