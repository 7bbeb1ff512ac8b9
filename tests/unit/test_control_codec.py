import pytest

from papayagw._internal.models.agent import AgentState, Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import (
    Acknowledgement,
    Announcement,
    BalancerRecord,
    Bucket,
    BucketDigests,
    BucketSummary,
    Gossip,
    GossipKind,
    Heartbeat,
    Join,
    LivenessRequest,
    LivenessResponse,
    MembershipUpdate,
    MissingRecords,
    RecordRequest,
    SuspicionVector,
)
from papayagw._internal.wire.control import MAX_FRAME_BYTES, ControlCodec
from tests.lib.samples import BALANCERS, KEY, OLD_KEY, make_record

RUN = Incarnation(1_796_371_200_123)
AGENT = make_record(3, incarnation=RUN, zone="eu-north-1a")
BALANCER = BalancerRecord(BALANCERS[0], RUN, "b", 4, AgentState.GONE, 3)
BUCKET = Bucket("c", 15)
VECTORS = (
    SuspicionVector(BUCKET, 2**32 - 1, (1, 15, 0)),
    SuspicionVector(Bucket("b", 0), 8, (0, 2, 0, 4)),
    SuspicionVector(Bucket("b", 1), 8, (5,) * 70),
    SuspicionVector(Bucket("b", 2), 8, (0, 3)),
    SuspicionVector(Bucket("b", 3), 8, (7,)),
)
UPDATE = MembershipUpdate((AGENT, make_record(4)), (BALANCER,), VECTORS)
HEARTBEAT = Heartbeat(AGENT.endpoint, RUN, 3, 900, 77)
MESSAGES = [
    Announcement(AGENT),
    HEARTBEAT,
    Acknowledgement(RUN, 3, AgentState.READY, BALANCERS, Millis(1000), (AGENT,), 5, 8),
    Join(BALANCER),
    Gossip(GossipKind.PROBE, 12, 2**32 - 1, 1500),
    Gossip(GossipKind.UPDATE, 0, 9, 1500, UPDATE),
    BucketDigests(("a", "b"), tuple(range(2**32 - 32, 2**32))),
    BucketSummary(BUCKET, (1, 2, 3)),
    RecordRequest((4, 5)),
    MissingRecords(UPDATE),
    LivenessRequest(AGENT.endpoint, RUN),
    LivenessResponse(AGENT.endpoint, RUN, 12, Millis(700)),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_message_round_trips(message):
    frame = ControlCodec([KEY]).write(message)
    assert ControlCodec([OLD_KEY, KEY]).read(frame) == message
    assert len(frame) <= MAX_FRAME_BYTES


@pytest.mark.parametrize("message", MESSAGES)
def test_altered_or_truncated_frame_is_rejected(message):
    codec = ControlCodec([KEY, OLD_KEY])
    frame = codec.write(message)
    for position in range(len(frame)):
        changed = bytearray(frame)
        changed[position] ^= 0x01
        assert codec.read(bytes(changed)) is None
        assert codec.read(frame[:position]) is None


def test_frame_of_unknown_key_is_rejected():
    assert ControlCodec([OLD_KEY]).read(ControlCodec([KEY]).write(HEARTBEAT)) is None
