"""Encoding of the JSON gateway of etcd v3.

Keys and values are base64, 64-bit numbers are decimal strings.
"""

from base64 import b64decode, b64encode
from typing import Any

from papayagw._internal.store.protocol import (
    Conflict,
    Entry,
    Snapshot,
    SwapAnswer,
    Swapped,
)

Message = dict[str, Any]


def encode_text(data: bytes) -> str:
    """Return bytes in base64."""
    return b64encode(data).decode("ascii")


def write_range(key: str) -> Message:
    """Return the request that reads one key."""
    return {"key": encode_text(key.encode())}


def write_swap(key: str, value: bytes, expected: int) -> Message:
    """Return the transaction that writes `key` if its revision is `expected`."""
    name = encode_text(key.encode())
    return {
        "compare": [
            {
                "key": name,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(expected),
            }
        ],
        "success": [{"request_put": {"key": name, "value": encode_text(value)}}],
        "failure": [{"request_range": {"key": name}}],
    }


def write_watch(key: str, after: int) -> Message:
    """Return the request that watches `key` from the revision past `after`."""
    name = encode_text(key.encode())
    return {"create_request": {"key": name, "start_revision": str(after + 1)}}


def read_revision(message: Message) -> int:
    """Return the revision of the store in a message's header."""
    return int(message["header"]["revision"])


def read_entry(key_value: Message) -> Entry:
    """Return the value and revision of a key."""
    value = b64decode(key_value.get("value", ""), validate=True)
    return Entry(value, int(key_value["mod_revision"]))


def read_range(message: Message) -> Snapshot:
    """Return what a read found."""
    found = message.get("kvs", [])
    entry = read_entry(found[0]) if found else None
    return Snapshot(entry, read_revision(message))


def read_swap(message: Message) -> SwapAnswer:
    """Return how a compare-and-swap went."""
    if message.get("succeeded", False):
        return Swapped(read_revision(message))
    found = message["responses"][0]["response_range"].get("kvs", [])
    return Conflict(read_entry(found[0]) if found else None)


def read_events(message: Message) -> tuple[Entry, ...]:
    """Return the writes that one message of a watch tells."""
    events = message.get("events", [])
    return tuple(
        read_entry(event["kv"]) for event in events if event.get("type") != "DELETE"
    )
