import json
import signal
import socket
from collections import Counter
from contextlib import ExitStack

import pytest

from tests.lib.processes import running

ENTRY = ("127.0.3.210", 19_010)
PACKETS = 60


def make_socket(stack, address):
    one = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    one.bind(address)
    one.settimeout(20)
    return one


@pytest.mark.parametrize("alive", [1, 2, 3])
def test_packets_are_sprayed_and_answers_come_from_the_entry(alive):
    targets = [(f"127.0.3.{211 + number}", 19_011) for number in range(3)]
    route = f"{ENTRY[0]}:{ENTRY[1]}=" + ",".join(f"{ip}:{port}" for ip, port in targets)
    with ExitStack() as stack:
        balancers = [make_socket(stack, one) for one in targets[:alive]]
        client = make_socket(stack, ("127.0.3.209", 0))
        process = stack.enter_context(running("standin", "fabric", route))
        for number in range(PACKETS):
            client.sendto(b"%d" % number, ENTRY)
        seen = Counter()
        for balancer in balancers:
            _, caller = balancer.recvfrom(100)
            seen[caller] += 1
            balancer.sendto(b"answer", caller)
            assert client.recvfrom(100) == (b"answer", ENTRY)
        assert len(seen) == 1
        process.send_signal(signal.SIGTERM)
        counts = json.loads(process.stdout.readline())
    assert counts["packets_in"] == PACKETS
    assert counts["packets_out"] == PACKETS
    assert counts["answers"] == alive
