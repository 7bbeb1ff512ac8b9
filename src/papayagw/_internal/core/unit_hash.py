"""Hash to a number between 0 and 1, the same at all nodes.

A module of its own, since roles of the plain front end use nothing else of
`core.choice` and start sooner without the models that it imports.
"""

import hashlib

_HASH_BYTES = 8
_HASH_SPAN = float(1 << (8 * _HASH_BYTES))


def unit_hash(key: bytes, name: bytes) -> float:
    """Hash `key` and `name` to a number in (0, 1)."""
    digest = hashlib.blake2s(name, key=key[:32], digest_size=_HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 0.5) / _HASH_SPAN
