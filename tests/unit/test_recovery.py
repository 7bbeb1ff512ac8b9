import random

import pytest

from papayagw._internal.models.stream import BytesArrived
from tests.lib.quic import FlowPair

DATAGRAM_BYTES = 1_200
LONGEST_PATH_STEPS = 3


class SprayedPair(FlowPair):
    """A pair whose datagrams take paths of different delays."""

    def __init__(self, folder, seed):
        super().__init__(folder)
        self._random = random.Random(seed)
        self._step = 0
        self._in_flight = []

    def _collect(self, end, now):
        self._step += 1
        for datagram in super()._collect(end, now):
            at = self._step + 2 * self._random.randint(0, LONGEST_PATH_STEPS)
            self._in_flight.append((at, end, datagram))
        due = [one for one in self._in_flight if one[1] is end and one[0] <= self._step]
        self._in_flight = [one for one in self._in_flight if one not in due]
        return [datagram for _, _, datagram in due]


def received(events):
    return b"".join(one.data for one in events if isinstance(one, BytesArrived))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_reordered_packets_are_retransmitted(tmp_path, seed):
    pair = SprayedPair(tmp_path, seed)
    content = random.Random(seed).randbytes(400_000)
    pair.caller.write(content)
    pair.exchange(400)
    assert received(pair.agent_events) == content
    assert len(pair.to_agent) < 1.15 * len(content) / DATAGRAM_BYTES


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_packets_are_retransmitted(tmp_path, seed):
    draw = random.Random(seed).random
    pair = FlowPair(tmp_path, lambda number: draw() < 0.3)
    content = random.Random(seed).randbytes(50_000)
    pair.caller.write(content)
    pair.exchange(2_000)
    assert received(pair.agent_events) == content
