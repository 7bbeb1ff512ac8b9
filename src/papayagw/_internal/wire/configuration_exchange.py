"""Encoding and encryption of the configuration queries and replies of peers.

A configuration holds the fleet keys, so both directions are encrypted and
authenticated (AES-GCM) under a key that is derived from a fleet key. A reply is
bound to the nonce of its query, so that an earlier reply can't be replayed.

A frame consists of a byte with the key id, a nonce of 12 bytes and the encrypted
message.
"""

import os
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import capnp
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from papayagw._internal.models.change import (
    ConfigurationChange,
    ConfigurationQuery,
    ConfigurationReply,
    NotModified,
)
from papayagw._internal.models.configuration import Configuration, FleetKey
from papayagw._internal.models.service import ServiceId
from papayagw._internal.wire.configuration import (
    SCHEMA,
    make_configuration_fields,
    read_configuration_message,
    read_endpoint,
    read_key,
    read_service,
    read_submission_entry,
    write_endpoint,
    write_key,
    write_service,
    write_submission_entry,
)
from papayagw._internal.wire.keys import derive_key

NONCE_BYTES = 12
"""Length of the nonce of a query or a reply, in bytes."""

_KEY_BYTES = 32
_QUERY_LABEL = b"question"
_REPLY_LABEL = b"answer"


@dataclass(frozen=True, slots=True)
class OpenedQuery:
    """A query that was decrypted and verified.

    Attributes
    ----------
    query : ConfigurationQuery
        The decoded query.
    key_id : int
        Id of the key that sealed the query, which also seals the reply.
    nonce : bytes of shape (NONCE_BYTES,)
        The nonce of the query, to which the reply is bound.
    """

    query: ConfigurationQuery
    key_id: int
    nonce: bytes


class ExchangeCodec:
    """Codec for queries and replies: seals (encrypts) and opens (decrypts) frames.

    Parameters
    ----------
    keys : sequence of FleetKey
        The first one seals queries; any of them opens a frame.
    """

    def __init__(self, keys: Sequence[FleetKey]):
        self._seal_id = keys[0].key_id
        self._ciphers = {
            key.key_id: AESGCM(derive_key(key, "configuration exchange", _KEY_BYTES))
            for key in keys
        }

    def seal_query(self, query: ConfigurationQuery) -> tuple[bytes, bytes]:
        """Return the frame of a query and the nonce needed to open its reply."""
        message = SCHEMA.Question.new_message(
            version=query.version, submissionId=query.submission_id
        )
        nonce = os.urandom(NONCE_BYTES)
        plain = message.to_bytes_packed()
        return self._seal(self._seal_id, nonce, plain, _QUERY_LABEL), nonce

    def open_query(self, frame: bytes) -> OpenedQuery | None:
        """Decode a query; return None if it isn't authentic or is malformed."""
        plain = self._open(frame, _QUERY_LABEL)
        if plain is None:
            return None
        try:
            message = SCHEMA.Question.from_bytes_packed(plain)
            query = ConfigurationQuery(message.version, message.submissionId)
        except (capnp.KjException, ValueError):
            return None
        return OpenedQuery(query, frame[0], frame[1 : 1 + NONCE_BYTES])

    def seal_reply(self, reply: ConfigurationReply, opened_query: OpenedQuery) -> bytes:
        """Return the frame of the reply to `opened_query`."""
        plain = _write_reply(reply)
        nonce = os.urandom(NONCE_BYTES)
        return self._seal(
            opened_query.key_id, nonce, plain, _REPLY_LABEL + opened_query.nonce
        )

    def open_reply(self, frame: bytes, nonce: bytes) -> ConfigurationReply | None:
        """Decode the reply to the query with `nonce`.

        Returns None if the frame is malformed or no authentic reply to this query.
        """
        plain = self._open(frame, _REPLY_LABEL + nonce)
        if plain is None:
            return None
        try:
            return _read_reply(plain)
        except (capnp.KjException, ValueError):
            return None

    def _seal(
        self, key_id: int, nonce: bytes, plain: bytes, associated_data: bytes
    ) -> bytes:
        """Return the frame with `plain` encrypted and bound to `associated_data`."""
        sealed = self._ciphers[key_id].encrypt(nonce, plain, associated_data)
        return bytes((key_id,)) + nonce + sealed

    def _open(self, frame: bytes, associated_data: bytes) -> bytes | None:
        """Return the decrypted message of a frame, or None if it isn't authentic."""
        cipher = self._ciphers.get(frame[0]) if frame else None
        if cipher is None:
            return None
        nonce, sealed = frame[1 : 1 + NONCE_BYTES], frame[1 + NONCE_BYTES :]
        try:
            return cipher.decrypt(nonce, sealed, associated_data)
        except (InvalidTag, ValueError):
            return None


def _write_reply(reply: ConfigurationReply) -> bytes:
    message = SCHEMA.Answer.new_message()
    match reply:
        case Configuration():
            message.init("whole").from_dict(make_configuration_fields(reply))
        case ConfigurationChange():
            message.init("change").from_dict(_make_change_fields(reply))
        case NotModified():
            message.nothing = None
    written: bytes = message.to_bytes_packed()
    return written


def _read_reply(plain: bytes) -> ConfigurationReply:
    message = SCHEMA.Answer.from_bytes_packed(plain)
    kind = message.which()
    if kind == "whole":
        return read_configuration_message(message.whole)
    if kind == "change":
        return _read_change(message.change)
    return NotModified()


def _make_change_fields(change: ConfigurationChange) -> dict[str, object]:
    return {
        "base": change.base,
        "baseSubmissionId": change.base_submission_id,
        "marks": [write_submission_entry(one) for one in change.submissions],
        "name": change.name,
        "controlAddress": write_endpoint(change.control_address),
        "zones": list(change.zones),
        "keys": [write_key(one) for one in change.keys],
        "services": [write_service(one) for one in change.services],
        "removed": list(change.removed),
    }


def _read_change(message: Any) -> ConfigurationChange:
    return ConfigurationChange(
        base=message.base,
        base_submission_id=message.baseSubmissionId,
        submissions=tuple(read_submission_entry(one) for one in message.marks),
        name=message.name,
        control_address=read_endpoint(message.controlAddress),
        zones=tuple(message.zones),
        keys=tuple(read_key(one) for one in message.keys),
        services=tuple(read_service(one) for one in message.services),
        removed=tuple(ServiceId(one) for one in message.removed),
    )
