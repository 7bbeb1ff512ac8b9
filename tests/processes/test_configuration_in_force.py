import socket

import pytest

from bench.config_in_force import (
    measure_changes,
    measure_outage,
    measure_restore,
    open_bench,
)

BALANCERS = 4
FIRST_BLOCK = 100
"""First block of loopback addresses to try."""


@pytest.fixture(scope="module")
def bench():
    with open_bench(BALANCERS, FIRST_BLOCK) as bench:
        yield bench


def test_versions_never_fall_through_changes_outage_and_restore(bench):
    measure_changes(bench, 3)
    measure_outage(bench, BALANCERS)
    measure_restore(bench, 4)


class Caller:
    """Client with a flow that stays open; the backend server echoes each line."""

    def __init__(self, target):
        self._connection = socket.create_connection(target.sockaddr, 30)
        self._responses = self._connection.makefile("rb")
        self._connection.sendall(b"ECHO flow 1000\n")

    def send_line(self, line):
        self._connection.sendall(f"{line}\n".encode())
        return self._responses.readline().decode().split()

    def close(self):
        self._responses.close()
        self._connection.close()


def rotate(*keys):
    def edit(content):
        content["keys"] = [{"id": key_id, "file": file} for key_id, file in keys]

    return edit


def test_established_flow_survives_changes_and_a_rotation_of_keys(bench):
    target = bench.start_path("order")
    old, new = (1, "keys/fleet.key"), (2, bench.make_fleet_key("new"))
    edits = [None, rotate(old, new), rotate(new, old), None]
    established = Caller(target)
    assert established.send_line("hello") == ["ECHO", "flow", "hello", "order-1"]
    for number, edit in enumerate(edits, 100):
        bench.wait_in_force(bench.submit(number, edit))
        for caller in (established, Caller(target)):
            line = f"line-{number}"
            assert caller.send_line(line) == ["ECHO", "flow", line, "order-1"]
            if caller is not established:
                caller.close()
    bench.control("faults", outage=True)
    assert established.send_line("outage") == ["ECHO", "flow", "outage", "order-1"]
    bench.control("faults")
    assert bench.read_held() == max(bench.read_versions().values())
    bench.control("faults", outage=True)
    bench.kill_balancers()
    for number in range(1, BALANCERS + 1):
        bench.start_balancer(number)
    assert len(set(bench.read_versions().values())) == 1
    assert established.send_line("again") == ["ECHO", "flow", "again", "order-1"]
    bench.control("faults")
    established.close()
