"""Request and response encoding of the etcd v3 JSON gateway.

Keys and values are base64-encoded; 64-bit integers are decimal strings.
"""

from base64 import b64decode, b64encode
from typing import Any

from papayagw._internal.store.protocol import (
    Conflict,
    Entry,
    Snapshot,
    Swapped,
    SwapResult,
)

Message = dict[str, Any]


def encode_base64(data: bytes) -> str:
    """Return `data` as base64 text."""
    return b64encode(data).decode("ascii")


def build_range_request(key: str) -> Message:
    """Return the request that reads one key."""
    return {"key": encode_base64(key.encode())}


def build_swap_request(key: str, value: bytes, expected: int) -> Message:
    """Return the transaction that writes `key` if its revision is `expected`.

    If the revision differs, the transaction reads the key instead.
    """
    encoded_key = encode_base64(key.encode())
    return {
        "compare": [
            {
                "key": encoded_key,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(expected),
            }
        ],
        "success": [
            {"request_put": {"key": encoded_key, "value": encode_base64(value)}}
        ],
        "failure": [{"request_range": {"key": encoded_key}}],
    }


def build_watch_request(key: str, after: int) -> Message:
    """Return the request that watches `key` from revision ``after + 1`` on."""
    encoded_key = encode_base64(key.encode())
    return {"create_request": {"key": encoded_key, "start_revision": str(after + 1)}}


def parse_revision(message: Message) -> int:
    """Return the store revision from the header of a message."""
    return int(message["header"]["revision"])


def parse_entry(key_value: Message) -> Entry:
    """Return the value of a key and the revision of its last write."""
    value = b64decode(key_value.get("value", ""), validate=True)
    return Entry(value, int(key_value["mod_revision"]))


def parse_range_response(message: Message) -> Snapshot:
    """Return the result of a read."""
    key_values = message.get("kvs", [])
    entry = parse_entry(key_values[0]) if key_values else None
    return Snapshot(entry, parse_revision(message))


def parse_swap_response(message: Message) -> SwapResult:
    """Return the result of a compare-and-swap."""
    if message.get("succeeded", False):
        return Swapped(parse_revision(message))
    key_values = message["responses"][0]["response_range"].get("kvs", [])
    return Conflict(parse_entry(key_values[0]) if key_values else None)


def parse_watch_events(message: Message) -> tuple[Entry, ...]:
    """Return the writes in a watch message; deletions are skipped."""
    events = message.get("events", [])
    return tuple(
        parse_entry(event["kv"]) for event in events if event.get("type") != "DELETE"
    )
