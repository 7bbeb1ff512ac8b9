"""Tests of the HTTP encoding of calls to the platform's key-value service."""

import json
from base64 import b64encode

import pytest

from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    EndLease,
    GrantLease,
    HistoryCompacted,
    LeaseEnded,
    LeaseResult,
    PutKey,
    PutResult,
    RangeResult,
    ReadRange,
    RemovedItem,
    RenewLease,
    StoredItem,
    WatchPrefix,
    WatchResult,
)
from papayagw.platform.store import decode_answer, decode_era, encode_call

ITEM = {
    "key": "k",
    "value": b64encode(b"v").decode(),
    "revision": 9,
    "created": 8,
    "lease": 5,
}
STORED = StoredItem("k", b"v", 9, 5)


@pytest.mark.parametrize(
    ("call", "method", "target", "body"),
    [
        (ReadRange("a/b"), "GET", "/-/kv-range?prefix=a%2Fb", None),
        (ReadRange("a", "a/z"), "GET", "/-/kv-range?prefix=a&after=a%2Fz", None),
        (
            ReadRange("a", may_be_stale=True),
            "GET",
            "/-/kv-range?prefix=a&serializable=1",
            None,
        ),
        (
            WatchPrefix("a", 7, 900),
            "GET",
            "/-/kv-watch?prefix=a&after=7&wait_ms=900",
            None,
        ),
        (
            PutKey("k", b"v", 5),
            "POST",
            "/-/kv-txn",
            {
                "expect": [],
                "puts": [{"key": "k", "value": "dg==", "lease": 5}],
                "remove": [],
            },
        ),
        (GrantLease(900), "POST", "/-/kv-lease", {"ttl_ms": 900}),
        (RenewLease(5), "POST", "/-/kv-keep/5", {}),
        (EndLease(5), "DELETE", "/-/kv-lease-end/5", None),
    ],
)
def test_encode_call(call, method, target, body):
    request = encode_call(call)
    assert (request.method, request.target) == (method, target)
    assert (json.loads(request.body) if request.body else None) == body


RANGE = ReadRange("k")
WATCH = WatchPrefix("k", 1, 1)
PUT = PutKey("k", b"v", 5)


@pytest.mark.parametrize(
    ("call", "status", "fields", "answer"),
    [
        (
            RANGE,
            200,
            {"items": [ITEM], "has_more": True, "store_revision": 11},
            RangeResult((STORED,), True, 11),
        ),
        (
            WATCH,
            200,
            {
                "events": [ITEM, {"key": "k", "revision": 10, "deleted": True}],
                "store_revision": 11,
            },
            WatchResult((STORED, RemovedItem("k", 10)), 11),
        ),
        (WATCH, 410, {}, HistoryCompacted()),
        (PUT, 200, {"revision": 12}, PutResult(12)),
        (PUT, 404, {}, LeaseEnded()),
        (GrantLease(1), 200, {"lease": 5, "ttl_ms": 1_000}, LeaseResult(5, 1_000)),
        (RenewLease(5), 200, {"ttl_ms": 1_000}, LeaseResult(5, 1_000)),
        (RenewLease(5), 404, {}, LeaseEnded()),
        (EndLease(5), 200, {}, LeaseEnded()),
        (EndLease(5), 404, {}, LeaseEnded()),
        (PUT, 429, {}, CallFailed("status 429", refused=True)),
        (RANGE, 503, {}, CallFailed("status 503", refused=True)),
        (RANGE, 404, {}, CallFailed("status 404")),
        (RANGE, 500, {}, CallFailed("status 500")),
    ],
)
def test_decode_answer(call, status, fields, answer):
    assert decode_answer(call, status, json.dumps(fields).encode()) == answer


@pytest.mark.parametrize(
    "body",
    [b"", b"[", b"[]", b"{}", b'{"items":[{"key":"k","value":"*"}]}', b'{"items":7}'],
)
@pytest.mark.parametrize("call", [RANGE, WATCH, PUT, GrantLease(1), RenewLease(5)])
def test_malformed_answers(call, body):
    assert isinstance(decode_answer(call, 200, body), CallFailed)


@pytest.mark.parametrize(
    ("headers", "era"),
    [
        ((("content-length", "2"), ("store-era", "7")), 7),
        ((("store-era", " 7 "),), 7),
        ((("content-length", "2"),), None),
        ((("store-era", ""),), None),
        ((("store-era", "seven"),), None),
        ((("store-era", "9" * 10_000),), None),
    ],
)
def test_decode_era(headers, era):
    assert decode_era(headers) == era
