import pytest

from papayagw._internal.wire.envelope import (
    ENVELOPE_BYTES,
    Envelope,
    EnvelopeCodec,
    FrameKind,
)
from tests.lib.samples import BALANCERS, CLIENT, KEY, OLD_KEY, ORDER


@pytest.mark.parametrize(
    "envelope",
    [
        Envelope(FrameKind.FORWARD, ORDER, CLIENT),
        Envelope(FrameKind.FORWARD, ORDER, CLIENT, BALANCERS[0], hops=2),
        Envelope(FrameKind.ANSWER, ORDER, CLIENT),
    ],
)
def test_envelope_round_trips(envelope):
    codec = EnvelopeCodec([KEY])
    frame = codec.write(envelope) + b"datagram"
    assert codec.read(frame) == envelope
    assert frame[ENVELOPE_BYTES:] == b"datagram"


@pytest.mark.parametrize("position", range(ENVELOPE_BYTES))
def test_altered_envelope_is_rejected(position):
    codec = EnvelopeCodec([KEY, OLD_KEY])
    frame = bytearray(codec.write(Envelope(FrameKind.FORWARD, ORDER, CLIENT)))
    frame[position] ^= 0x01
    assert codec.read(bytes(frame)) is None


@pytest.mark.parametrize("length", [0, 1, ENVELOPE_BYTES - 1])
def test_truncated_envelope_is_rejected(length):
    codec = EnvelopeCodec([KEY])
    frame = codec.write(Envelope(FrameKind.FORWARD, ORDER, CLIENT))
    assert codec.read(frame[:length]) is None
