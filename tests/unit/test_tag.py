import pytest

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowRoute
from papayagw._internal.wire.tag import TAG_BYTES, TagCodec
from tests.lib.samples import DRAWINGS, KEY, OLD_KEY, ORDER

ROUTE = FlowRoute(ORDER, Endpoint("127.0.2.7", 4310), 0xBEEF)


@pytest.mark.parametrize(
    "route",
    [
        ROUTE,
        FlowRoute(DRAWINGS, Endpoint("255.255.255.255", 65_535), 0),
        FlowRoute(ORDER, Endpoint("0.0.0.1", 1), 0xFFFF),
    ],
)
def test_sealed_tag_opens_to_same_route(route):
    codec = TagCodec([KEY])
    tag = codec.make(route)
    assert codec.open(codec.seal(tag)) == tag


@pytest.mark.parametrize("position", range(TAG_BYTES))
def test_altered_tag_is_rejected(position):
    codec = TagCodec([KEY])
    sealed = bytearray(codec.seal(codec.make(ROUTE)))
    sealed[position] ^= 0x01
    assert codec.open_route(bytes(sealed)) is None


@pytest.mark.parametrize(
    ("sealing", "opening", "opens"),
    [
        ([KEY], [KEY], True),
        ([OLD_KEY], [KEY, OLD_KEY], True),
        ([KEY, OLD_KEY], [KEY], True),
        ([OLD_KEY], [KEY], False),
    ],
)
def test_tag_opens_under_every_key_in_force(sealing, opening, opens):
    sealer = TagCodec(sealing)
    sealed = sealer.seal(sealer.make(ROUTE))
    assert (TagCodec(opening).open_route(sealed) == ROUTE) is opens


@pytest.mark.parametrize("length", [0, 1, 8, 19, 21])
def test_tag_of_wrong_length_is_rejected(length):
    assert TagCodec([KEY]).open_route(bytes(length)) is None
