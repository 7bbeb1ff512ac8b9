"""Tests of decoding backend servers' reports and the operators' configuration."""

import json
from dataclasses import astuple

import pytest

from papayagw._internal.exceptions import DecodeError
from papayagw._internal.models.plain.instance import (
    Departure,
    ReportedState,
    StatusReport,
)
from papayagw._internal.models.plain.packet import EntryKey
from papayagw._internal.models.plain.site import WeightedService
from papayagw.platform.packet import encode_entry
from papayagw.platform.reports import decode_report
from papayagw.platform.site import decode_site

REPORT_FIELDS = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "se-mid-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_ms": 40,
    "seq": 4,
    "born": 1_777_404_059_058,
}
REPORT = StatusReport(
    "i-7f", "huvo11a", ReportedState.READY, 3, 40, 1_777_404_059_058, 4
)
PATH = "/-/instances/i-7f"


def test_report():
    assert decode_report("PUT", PATH, json.dumps(REPORT_FIELDS).encode()) == REPORT


@pytest.mark.parametrize(
    ("body", "started_at"),
    [(b"", None), (b'{"born":7}', 7), (b'{"born":"7"}', None), (b"[", None)],
)
def test_departure(body, started_at):
    assert decode_report("DELETE", PATH, body) == Departure("i-7f", started_at)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "busy"),
        ("state", None),
        ("state", ["ready"]),
        ("service", 7),
        ("service", None),
        ("slots", 0),
        ("slots", "3"),
        ("slots", True),
        ("seq", 4.0),
        ("seq", None),
        ("born", "1777404059058"),
        ("born", 1.5),
        ("born", None),
        ("cold_left_ms", None),
        ("address", None),
        ("address", 8080),
        ("zone", None),
        ("zone", ""),
        ("version", None),
        ("version", 1),
    ],
)
def test_report_with_an_invalid_field(field, value):
    body = json.dumps({**REPORT_FIELDS, field: value}).encode()
    assert decode_report("PUT", PATH, body) is None
    without = {name: one for name, one in REPORT_FIELDS.items() if name != field}
    assert decode_report("PUT", PATH, json.dumps(without).encode()) is None


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("PUT", PATH, b"\xff\xfe"),
        ("PUT", PATH, b"[]"),
        ("PUT", PATH, b"null"),
        ("PUT", PATH, b"[" * 16_000),
        ("PUT", "/-/instances/", json.dumps(REPORT_FIELDS).encode()),
        ("PUT", "/other", json.dumps(REPORT_FIELDS).encode()),
        ("POST", PATH, json.dumps(REPORT_FIELDS).encode()),
        ("GET", PATH, b""),
    ],
)
def test_request_that_is_not_a_report(method, path, body):
    assert decode_report(method, path, body) is None


ROUTE = {"name": "r1", "hostname": "198.18.0.1", "prefix": "/8443/", "priority": 2}
LIMITS = {"idle_timeout_ms": 15_000}


@pytest.mark.parametrize(
    ("fields", "services"),
    [
        ({"service": "a"}, (WeightedService("a", 1.0),)),
        (
            {
                "backends": [
                    {"service": "a", "weight": 90},
                    {"service": "b", "weight": 10},
                ]
            },
            (WeightedService("a", 90.0), WeightedService("b", 10.0)),
        ),
    ],
)
def test_site(fields, services):
    value = {"version": 7, "routes": [{**ROUTE, **fields}], "limits": LIMITS}
    site = decode_site(json.dumps(value).encode())
    assert site.version == 7
    assert site.idle_timeout_ms == 15_000
    route = site.routes[EntryKey(encode_entry("198.18.0.1", 8443))]
    assert route.services == services
    assert route.priority == 2


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        # Earlier deployments state neither.
        ({}, ("", None, None)),
        (
            {"type": "chat", "objective_ms": 277, "timeout_ms": 1_453},
            ("chat", 277, 1_453),
        ),
        ({"type": 7, "objective_ms": None}, ("", None, None)),
    ],
)
def test_worth_of_a_routes_requests(fields, expected):
    routes = [{**ROUTE, "service": "a", **fields}]
    value = {"version": 7, "routes": routes, "limits": LIMITS}
    (route,) = decode_site(json.dumps(value).encode()).routes.values()
    assert (route.type, route.objective_ms, route.timeout_ms) == expected


@pytest.mark.parametrize(
    ("services", "limits"),
    [
        (None, {}),
        ([], {}),
        # Earlier deployments state no rates.
        ([{"name": "a"}], {}),
        ([{"name": "a", "cold_start_s": 2.0, "cold_per_s": 0.0}], {"a": (2_000, 0.0)}),
        ([{"name": "a", "cold_start_s": 0.5, "cold_per_s": 12}], {"a": (500, 12.0)}),
    ],
)
def test_limits_of_services(services, limits):
    value = {"version": 7, "routes": [], "limits": LIMITS, "services": services}
    site = decode_site(json.dumps(value).encode())
    found = {name: astuple(one) for name, one in site.limits.items()}
    assert found == limits


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"version":7}',
        json.dumps({"version": 7, "routes": [{}], "limits": LIMITS}).encode(),
        json.dumps({"version": "x", "routes": [], "limits": LIMITS}).encode(),
        json.dumps(
            {
                "version": 7,
                "routes": [{**ROUTE, "hostname": "host", "service": "a"}],
                "limits": LIMITS,
            }
        ).encode(),
    ],
)
def test_invalid_site(value):
    with pytest.raises(DecodeError):
        decode_site(value)
