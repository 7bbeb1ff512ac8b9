import random

import pytest

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.spray import (
    EXCLUSION_MS,
    Impairments,
    Route,
    Sprayer,
    parse_route,
)
from tests.lib.samples import BALANCERS

ADDRESSES = {one.sockaddr for one in BALANCERS}
NOW = Millis(1_000)
UNIMPAIRED = Impairments()


def make_sprayer(impairments=UNIMPAIRED):
    return Sprayer(BALANCERS, impairments, random.Random(5).random)


@pytest.mark.parametrize(
    ("impairments", "copies"),
    [
        (Impairments(), {1}),
        (Impairments(loss=1.0), {0}),
        (Impairments(duplicate=1.0), {2}),
        (Impairments(loss=0.5, duplicate=0.5), {0, 1, 2}),
    ],
)
def test_each_packet_gets_its_copies(impairments, copies):
    sprayer = make_sprayer(impairments)
    picked = [sprayer.pick(NOW) for _ in range(300)]
    assert {len(targets) for targets in picked} == copies
    assert {one for targets in picked for one in targets} == (
        set() if copies == {0} else ADDRESSES
    )


@pytest.mark.parametrize(
    ("excluded", "later", "left"),
    [
        (1, 0, 2),
        (2, 0, 1),
        (3, 0, 3),
        (2, EXCLUSION_MS, 3),
    ],
)
def test_held_target_is_left_out_for_a_while(excluded, later, left):
    sprayer = make_sprayer()
    for target in BALANCERS[:excluded]:
        sprayer.exclude(target.sockaddr, NOW)
    picked = {sprayer.pick(Millis(NOW + later))[0] for _ in range(300)}
    assert len(picked) == left


@pytest.mark.parametrize(
    ("text", "route"),
    [
        (
            "127.0.1.1:1=127.0.0.1:2,127.0.0.2:3",
            Route(
                Endpoint("127.0.1.1", 1),
                (Endpoint("127.0.0.1", 2), Endpoint("127.0.0.2", 3)),
            ),
        ),
        ("127.0.1.1:1", None),
        ("127.0.1.1:1=", None),
        ("127.0.1.1=127.0.0.1:2", None),
        ("127.0.1.1:1=127.0.0.1:2,", None),
        ("127.0.1.1:1=host:2", None),
    ],
)
def test_route_is_read_or_refused(text, route):
    assert parse_route(text).value_or(None) == route
