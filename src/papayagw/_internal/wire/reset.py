"""Stateless resets (RFC 9000, 10.3) of flows that no agent owns any more."""

import hashlib
from collections.abc import Sequence

from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.wire.keys import derive_key

RESET_TOKEN_BYTES = 16
"""Length of a stateless reset token, in bytes."""

_KEY_BYTES = 32
_RESET_BYTES = 40
"""Size of a stateless reset, in bytes."""

_FIRST_BYTE = 0x40


class ResetTokens:
    """Stateless reset tokens of flow tags.

    A token is derived from the tag and the fleet key that sealed it, so that any
    process that holds the key can reset a flow whose agent is gone.

    Parameters
    ----------
    keys : sequence of FleetKey
        All keys in force.
    """

    def __init__(self, keys: Sequence[FleetKey]):
        self._keys = {
            key.key_id: derive_key(key, "stateless reset", _KEY_BYTES) for key in keys
        }

    def make_token(self, tag: bytes) -> bytes:
        """Return the reset token of a tag, which is sent only to the flow's caller."""
        key = self._keys.get(tag[0], b"")
        hashed = hashlib.blake2s(tag, key=key, digest_size=RESET_TOKEN_BYTES)
        return hashed.digest()

    def make_datagram(self, tag: bytes) -> bytes:
        """Return the stateless reset for the flow of a tag."""
        noise = hashlib.blake2s(tag, digest_size=32).digest()
        padding = _RESET_BYTES - RESET_TOKEN_BYTES - 1
        return bytes((_FIRST_BYTE,)) + noise[:padding] + self.make_token(tag)
