"""HTTP encoding of calls to the platform's key-value service.

Source: PROTOCOL, section The platform's metadata store.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from papayagw._internal.exceptions import MALFORMED_JSON_ERRORS
from papayagw._internal.models.clock import Millis
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
    StoreCall,
    StoredItem,
    StoreEvent,
    UsableAnswer,
    WatchPrefix,
    WatchResult,
)
from papayagw._internal.models.plain.fields import is_integer

_REFUSED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""HTTP statuses by which the store states that it did not execute the call."""

_ERA_HEADER = "store-era"
"""Header of all responses, in lower case, with the number of the store's era."""


@dataclass(frozen=True, slots=True)
class HttpCall:
    """The HTTP request that carries a store call.

    Attributes
    ----------
    method : str
        The method.
    target : str
        The request target: path and query.
    body : bytes
        The body; may be empty.
    """

    method: str
    target: str
    body: bytes = b""


def encode_call(call: StoreCall) -> HttpCall:
    """Encode a store call as an HTTP request."""
    match call:
        case ReadRange(prefix, after, may_be_stale):
            query = {"prefix": prefix} | ({"after": after} if after else {})
            query |= {"serializable": "1"} if may_be_stale else {}
            # A key of another writer may hold half of a surrogate pair.
            encoded = urlencode(query, errors="surrogatepass")
            return HttpCall("GET", "/-/kv-range?" + encoded)
        case WatchPrefix(prefix, after, wait_ms):
            query = {"prefix": prefix, "after": str(after), "wait_ms": str(wait_ms)}
            return HttpCall("GET", "/-/kv-watch?" + urlencode(query))
        case PutKey(key, value, lease):
            put = {"key": key, "value": b64encode(value).decode(), "lease": lease}
            return _post("/-/kv-txn", {"expect": [], "puts": [put], "remove": []})
        case GrantLease(ttl_ms):
            return _post("/-/kv-lease", {"ttl_ms": ttl_ms})
        case RenewLease(lease):
            return _post(f"/-/kv-keep/{lease}", {})
        case EndLease(lease):
            return HttpCall("DELETE", f"/-/kv-lease-end/{lease}")


def decode_answer(
    call: StoreCall, status: int, body: bytes
) -> UsableAnswer | CallFailed:
    """Decode the HTTP response to a store call; an invalid one is a `CallFailed`."""
    if status in _REFUSED_STATUSES:
        return CallFailed(f"status {status}", refused=True)
    try:
        return _decode_response(call, status, body)
    except MALFORMED_JSON_ERRORS as error:
        return CallFailed(f"status {status}, malformed response: {error!r}")


def decode_era(headers: Iterable[tuple[str, str]]) -> int | None:
    """Return the era that a response names, or None if it names none.

    The era rises by one each time that the store comes back from an older copy.
    """
    value = dict(headers).get(_ERA_HEADER, "")
    try:
        era = int(value)
    except ValueError:
        return None
    return era if is_integer(era) and era >= 0 else None


def _decode_response(
    call: StoreCall, status: int, body: bytes
) -> UsableAnswer | CallFailed:
    """Decode a response whose status isn't that of a refusal."""
    fields = json.loads(body) if body else {}
    match call, status:
        case WatchPrefix(), HTTPStatus.GONE:
            return HistoryCompacted()
        case ((PutKey() | RenewLease() | EndLease()), HTTPStatus.NOT_FOUND):
            return LeaseEnded()
        case _, HTTPStatus.OK:
            return _decode_success(call, fields)
    return CallFailed(f"status {status}")


def _decode_success(call: StoreCall, fields: dict[str, Any]) -> UsableAnswer:
    """Decode the fields of a response with status 200."""
    match call:
        case ReadRange():
            items = tuple(_read_item(item) for item in fields["items"])
            more = bool(fields["has_more"])
            return RangeResult(items, more, int(fields["store_revision"]))
        case WatchPrefix():
            events = tuple(_read_event(event) for event in fields["events"])
            return WatchResult(events, int(fields["store_revision"]))
        case PutKey():
            return PutResult(int(fields["revision"]))
        case RenewLease(lease):
            return LeaseResult(lease, Millis(int(fields["ttl_ms"])))
        case EndLease():
            return LeaseEnded()
        case GrantLease():
            return LeaseResult(int(fields["lease"]), Millis(int(fields["ttl_ms"])))


def _read_item(fields: dict[str, Any]) -> StoredItem:
    """Decode a key and its value."""
    value = b64decode(fields["value"], validate=True)
    revision, lease = int(fields["revision"]), int(fields.get("lease", 0))
    return StoredItem(fields["key"], value, revision, lease)


def _read_event(fields: dict[str, Any]) -> StoreEvent:
    """Decode a write or a removal."""
    if fields.get("deleted"):
        return RemovedItem(fields["key"], int(fields["revision"]))
    return _read_item(fields)


def _post(target: str, fields: dict[str, Any]) -> HttpCall:
    """Return a POST request with a JSON body."""
    return HttpCall("POST", target, json.dumps(fields).encode())
