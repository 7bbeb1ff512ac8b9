import json
import signal
import socket
from collections import Counter
from contextlib import ExitStack

import pytest

from tests.lib.processes import running

PACKETS = 60


def make_socket(stack, address):
    sock = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    sock.bind(address)
    sock.settimeout(20)
    return sock


@pytest.mark.parametrize("alive", [1, 2, 3])
def test_packets_are_sprayed_and_answers_come_from_the_entry(block, alive):
    targets = [(f"127.{block}.0.{11 + number}", 19_011) for number in range(3)]
    entry = (f"127.{block}.1.1", 19_010)
    route = f"{entry[0]}:{entry[1]}=" + ",".join(f"{ip}:{port}" for ip, port in targets)
    with ExitStack() as stack:
        balancers = [make_socket(stack, target) for target in targets[:alive]]
        client = make_socket(stack, (f"127.{block}.4.1", 0))
        process = stack.enter_context(running("standin", "fabric", route))
        for number in range(PACKETS):
            client.sendto(b"%d" % number, entry)
        seen = Counter()
        for balancer in balancers:
            _, caller = balancer.recvfrom(100)
            seen[caller] += 1
            balancer.sendto(b"answer", caller)
            assert client.recvfrom(100) == (b"answer", entry)
        assert len(seen) == 1
        process.send_signal(signal.SIGTERM)
        counts = json.loads(process.stdout.readline())
    assert counts["packets_in"] == PACKETS
    assert counts["packets_out"] == PACKETS
    assert counts["answers"] == alive
