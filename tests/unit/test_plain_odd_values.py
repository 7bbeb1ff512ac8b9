"""Tests that values of another writer are refused and end no reader of them."""

import json

import pytest

from papayagw._internal.exceptions import DecodeError
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    GrantLease,
    PutKey,
    ReadRange,
    RenewLease,
    WatchPrefix,
)
from papayagw._internal.models.plain.instance import AgentEntry
from papayagw._internal.models.plain.packet import EntryKey
from papayagw._internal.models.plain.route_change import RouteChange
from papayagw._internal.wire.plain_entries import decode_entry, encode_entry
from papayagw._internal.wire.plain_route_changes import (
    decode_route_change,
    encode_route_change,
)
from papayagw.platform.reports import decode_report
from papayagw.platform.site import decode_site
from papayagw.platform.store import decode_answer, encode_call
from tests.lib.odd_values import (
    ODD_DOCUMENTS,
    ODD_ENDPOINTS,
    ODD_NUMBERS,
    ODD_TEXTS,
    with_field,
)

KEY = "papayagw/agents/a"
ENTRY = AgentEntry(Endpoint("10.0.0.1", 7_100), "order", "zone-a")
ENTRY_FIELDS = json.loads(encode_entry(ENTRY))
ROUTE_CHANGE = RouteChange(3, 8, {EntryKey(bytes(6)): ("order", "drawings")})
ROUTE_CHANGE_FIELDS = json.loads(encode_route_change(ROUTE_CHANGE))
REPORT = {
    "service": "order",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "version": "v1",
    "state": "ready",
    "slots": 3,
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1_777_404_059_058,
}
SITE = {
    "version": 7,
    "routes": [{"hostname": "198.18.0.1", "prefix": "/8443/", "service": "order"}],
    "limits": {"idle_timeout_ms": 15_000},
    "services": [{"name": "order", "cold_start_s": 2.0, "cold_per_s": 0.0}],
}
ODD_PORTS = [b'"/65536/"', b'"/-7/"', b'"/%s/"' % (b"9" * 10_000), b'"//"', b"7"]
ODD_WEIGHTS = [b"1e999", b"-1", b"NaN", b"9" * 400, b'"x"']


def cases(field, values):
    """Return a row of `field` and one of the `values` each, with a short id."""
    return [
        pytest.param(field, value, id=f"{field}-{number}")
        for number, value in enumerate(values)
    ]


def test_the_values_without_a_change_are_read():
    assert decode_entry(KEY, json.dumps(ENTRY_FIELDS).encode()) == ENTRY
    assert decode_route_change(KEY, encode_route_change(ROUTE_CHANGE)) == ROUTE_CHANGE
    assert decode_site(json.dumps(SITE).encode()).version == 7
    assert decode_report("PUT", "/-/instances/i", json.dumps(REPORT).encode())


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *cases("endpoint", ODD_ENDPOINTS),
        *cases("service", ODD_TEXTS),
        *cases("zone", ODD_TEXTS),
    ],
)
def test_an_odd_field_of_an_agents_entry_is_refused(field, value):
    with pytest.raises(DecodeError):
        decode_entry(KEY, with_field(ENTRY_FIELDS, field, value))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *cases("from_version", [*ODD_NUMBERS, b"-1"]),
        *cases("to_version", [*ODD_NUMBERS, b"-1"]),
        *cases("former_services", [b"7", b"null", b"[]", b'{"00":["order"]}']),
        *cases("former_services", [b'{"x":["a"]}', b'{"000000000000":"order"}']),
        *cases(
            "former_services", [b'{"000000000000":[%s]}' % one for one in ODD_TEXTS]
        ),
    ],
)
def test_an_odd_field_of_a_route_change_is_refused(field, value):
    with pytest.raises(DecodeError):
        decode_route_change(KEY, with_field(ROUTE_CHANGE_FIELDS, field, value))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *cases("version", [*ODD_NUMBERS, b"-1"]),
        *cases("limits.idle_timeout_ms", [*ODD_NUMBERS, b"-1"]),
        *cases("routes.0.priority", [*ODD_NUMBERS, b"-1"]),
        *cases("routes.0.hostname", [b"7", b"null", b'"host"', b'"198.18.0.256"']),
        *cases("routes.0.prefix", ODD_PORTS),
        *cases("routes.0.service", ODD_TEXTS),
        *cases("routes.0.objective_ms", [b'"x"', b"-1", b"true", b"1e999"]),
        *cases("routes.0.timeout_ms", [b'"x"', b"-1", b"true", b"1e999"]),
        *cases("services.0.name", ODD_TEXTS),
        *cases("services.0.cold_start_s", [b"-1", b'"2"', b"true", b"NaN", b"1e999"]),
        *cases("services.0.cold_per_s", [b"-1", b'"2"', b"true", b"NaN", b"1e999"]),
        *cases("routes.0.backends", [b"7", b'{"service":"a"}', b'["a"]', b"[{}]"]),
        *cases(
            "routes.0.backends",
            [b'[{"service":"a","weight":%s}]' % one for one in ODD_WEIGHTS],
        ),
    ],
)
def test_an_odd_field_of_the_configuration_is_refused(field, value):
    with pytest.raises(DecodeError):
        decode_site(with_field(SITE, field, value))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *cases("slots", ODD_NUMBERS),
        *cases("cold_left_ms", ODD_NUMBERS),
        *cases("seq", ODD_NUMBERS),
        *cases("born", ODD_NUMBERS),
        *cases("state", ODD_TEXTS),
    ],
)
def test_an_odd_field_of_a_report_is_refused(field, value):
    body = with_field(REPORT, field, value)
    assert decode_report("PUT", "/-/instances/i", body) is None


@pytest.mark.parametrize(
    "document", [pytest.param(one, id=str(n)) for n, one in enumerate(ODD_DOCUMENTS)]
)
def test_an_odd_document_is_refused(document):
    with pytest.raises(DecodeError):
        decode_entry(KEY, document)
    with pytest.raises(DecodeError):
        decode_route_change(KEY, document)
    with pytest.raises(DecodeError):
        decode_site(document)
    assert decode_report("PUT", "/-/instances/i", document) is None
    for call in (ReadRange("k"), WatchPrefix("k", 1, 1), PutKey("k", b"v", 5)):
        assert isinstance(decode_answer(call, 200, document), CallFailed)


@pytest.mark.parametrize(
    ("call", "fields", "field", "value"),
    [
        (call, fields, field, value)
        for call, fields, field in [
            (ReadRange("k"), {"items": [], "has_more": False}, "store_revision"),
            (WatchPrefix("k", 1, 1), {"events": []}, "store_revision"),
            (PutKey("k", b"v", 5), {}, "revision"),
            (GrantLease(1), {"ttl_ms": 1}, "lease"),
            (RenewLease(5), {}, "ttl_ms"),
        ]
        for value in (b"1e999", b"NaN", b"null", b"[7]", b"{}")
    ],
)
def test_an_odd_number_in_an_answer_of_the_store_is_a_failure(
    call, fields, field, value
):
    body = with_field({**fields, field: 7}, field, value)
    assert isinstance(decode_answer(call, 200, body), CallFailed)


def test_reading_goes_on_after_a_key_that_is_no_valid_text():
    assert encode_call(ReadRange("a", "a/\ud800")).target.startswith("/-/kv-range?")
