from dataclasses import replace

import pytest

from papayagw._internal.core.configuration import ConfigurationLog, VersionOrder
from papayagw._internal.core.configuration_change import apply_change, find_change
from papayagw._internal.core.site_comparison import compare_sites
from papayagw._internal.core.transition import find_incompatibilities
from papayagw._internal.models.change import ConfigurationQuery, NotModified
from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId
from papayagw._internal.wire.configuration import (
    read_configuration,
    write_configuration,
)
from papayagw._internal.wire.configuration_exchange import ExchangeCodec
from tests.lib.configurations import make_configuration, make_site
from tests.lib.samples import KEY, OLD_KEY, SITE

NEW_KEY = FleetKey(9, bytes(32))
ORDER_SERVICE, DRAWINGS_SERVICE = SITE.services
RATES = Service("rates", ServiceId(3), Endpoint("127.0.1.3", 4403))


def with_services(*services):
    return replace(SITE, services=services)


def with_keys(*keys):
    return replace(SITE, keys=keys)


CHANGED_SITES = [
    make_site(7),
    with_services(ORDER_SERVICE),
    with_services(*SITE.services, RATES),
    with_keys(OLD_KEY, NEW_KEY),
    replace(SITE, zones=("a",), control_address=Endpoint("127.0.1.101", 4400)),
]


@pytest.mark.parametrize(
    ("offered", "order", "version"),
    [
        (make_configuration(3), VersionOrder.NEWER, 3),
        (make_configuration(9), VersionOrder.NEWER, 9),
        (make_configuration(2), VersionOrder.SAME, 2),
        (make_configuration(2, "another"), VersionOrder.FORKED, 2),
        (make_configuration(1), VersionOrder.OLDER, 2),
    ],
)
def test_node_applies_only_higher_versions(offered, order, version):
    log = ConfigurationLog()
    log.apply_if_newer(make_configuration(2))
    assert log.apply_if_newer(offered) is order
    assert log.version == version
    assert log.refused == (order in (VersionOrder.OLDER, VersionOrder.FORKED))


@pytest.mark.parametrize("site", CHANGED_SITES)
def test_applied_change_gives_later_version(site):
    before, after = make_configuration(2), make_configuration(5, site=site)
    change = find_change(before, after)
    assert apply_change(before, change) == after
    assert apply_change(make_configuration(2, "another"), change) is None
    assert apply_change(make_configuration(3), change) is None


@pytest.mark.parametrize(
    ("question", "kind"),
    [
        (ConfigurationQuery(-1), "Configuration"),
        (ConfigurationQuery(1, "id-1"), "ConfigurationChange"),
        (ConfigurationQuery(1, "another"), "Configuration"),
        (ConfigurationQuery(2, "id-2"), "NotModified"),
        (ConfigurationQuery(3, "id-3"), "NotModified"),
    ],
)
def test_answer_depends_on_version_of_peer(question, kind):
    log = ConfigurationLog()
    log.apply_if_newer(make_configuration(1))
    log.apply_if_newer(make_configuration(2, site=make_site(7)))
    assert type(log.make_reply(question)).__name__ == kind


def test_versions_share_equal_services():
    log = ConfigurationLog()
    log.apply_if_newer(make_configuration(1))
    encoded = write_configuration(make_configuration(2, site=make_site(7)))
    log.apply_if_newer(read_configuration(encoded).unwrap())
    assert log.current.site.services[1] is DRAWINGS_SERVICE
    assert log.current.site == make_site(7)


@pytest.mark.parametrize(
    ("after", "path", "is_blocking"),
    [
        (make_site(7), None, None),
        (with_services(*SITE.services, RATES), None, None),
        (with_keys(KEY, OLD_KEY, NEW_KEY), None, None),
        (with_keys(OLD_KEY, KEY), None, None),
        (with_keys(KEY), None, None),
        (with_keys(NEW_KEY, KEY), "keys.9", True),
        (with_keys(OLD_KEY), "keys.1", True),
        (with_keys(KEY, replace(OLD_KEY, secret=bytes(32))), "keys.7", True),
        (replace(SITE, name="other"), "name", True),
        (with_services(ORDER_SERVICE), "services.drawings", False),
        (
            with_services(replace(ORDER_SERVICE, service_id=ServiceId(5))),
            "services.order.id",
            True,
        ),
        (
            with_services(ORDER_SERVICE, replace(RATES, service_id=ServiceId(2))),
            "services.rates.id",
            True,
        ),
        (
            with_services(
                replace(ORDER_SERVICE, address=RATES.address), DRAWINGS_SERVICE
            ),
            "services.order.address",
            False,
        ),
    ],
)
def test_incompatibilities_of_a_change(after, path, is_blocking):
    incompatibilities = {
        one.path: one.is_blocking for one in find_incompatibilities(SITE, after)
    }
    assert incompatibilities.get(path) is is_blocking
    assert bool(incompatibilities) is (path is not None)


@pytest.mark.parametrize("site", CHANGED_SITES)
def test_comparison_lists_differences_without_secrets(site):
    assert compare_sites(SITE, SITE) == ()
    differences = compare_sites(SITE, site)
    assert differences
    assert all(NEW_KEY.secret.hex() not in str(one) for one in differences)


@pytest.mark.parametrize("site", [SITE, *CHANGED_SITES])
def test_stored_configuration_round_trip(site):
    configuration = make_configuration(70, site=site)
    assert read_configuration(write_configuration(configuration)).unwrap() == (
        configuration
    )


@pytest.mark.parametrize("data", [b"", b"\x00" * 40, b"\xff" * 40, b"{}", None])
def test_invalid_bytes_are_rejected(data):
    if data is None:
        data = write_configuration(make_configuration(1))[:-30]
    assert "not a configuration" in read_configuration(data).failure().what


CHANGE = find_change(make_configuration(2), make_configuration(3, site=make_site(7)))


@pytest.mark.parametrize("answer", [NotModified(), make_configuration(2), CHANGE])
def test_exchange_round_trip(answer):
    querying, replying = ExchangeCodec([KEY]), ExchangeCodec([OLD_KEY, KEY])
    frame, nonce = querying.seal_query(ConfigurationQuery(4, "id-4"))
    opened_query = replying.open_query(frame)
    assert opened_query.query == ConfigurationQuery(4, "id-4")
    assert (
        querying.open_reply(replying.seal_reply(answer, opened_query), nonce) == answer
    )


@pytest.mark.parametrize(
    ("keys", "change_frame", "change_nonce"),
    [
        ([OLD_KEY], lambda frame: frame, lambda nonce: nonce),
        ([KEY], lambda frame: frame[:-1] + b"x", lambda nonce: nonce),
        ([KEY], lambda frame: frame[:9], lambda nonce: nonce),
        ([KEY], lambda frame: b"", lambda nonce: nonce),
        ([KEY], lambda frame: frame, lambda nonce: bytes(12)),
    ],
)
def test_forged_or_replayed_answer_is_refused(keys, change_frame, change_nonce):
    codec = ExchangeCodec([KEY])
    frame, nonce = codec.seal_query(ConfigurationQuery(4))
    answer = codec.seal_reply(make_configuration(5), codec.open_query(frame))
    opened = ExchangeCodec(keys).open_reply(change_frame(answer), change_nonce(nonce))
    assert opened is None
    assert codec.open_query(answer) is None
