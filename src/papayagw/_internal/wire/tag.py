"""Encoding of flow tags as QUIC connection ids of 20 bytes.

A tag consists of a byte with the key id, a nonce of 3 bytes and one encrypted AES
block that holds the route, the same nonce and 3 zero bytes. A block that wasn't
sealed under the key decrypts to random bytes, which match these 48 bits of redundancy
once in 2**48 attempts (encode-then-encipher, Bellare and Rogaway 2000).
"""

import os
import struct
from collections.abc import Sequence
from ipaddress import IPv4Address

from cryptography.hazmat.primitives.ciphers import Cipher, CipherContext
from cryptography.hazmat.primitives.ciphers.algorithms import AES
from cryptography.hazmat.primitives.ciphers.modes import ECB

from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowRoute, FlowTag
from papayagw._internal.models.service import ServiceId
from papayagw._internal.wire.keys import derive_key

TAG_BYTES = 20
"""Length of a sealed tag, in bytes."""

NONCE_BYTES = 3
"""Length of the nonce that distinguishes the tags of one route, in bytes."""

_BLOCK_BYTES = 16
_ROUTE = struct.Struct("!H4sHH")
_PADDING = bytes(3)
_MAX_CACHED_ROUTES = 65_536
"""Number of cached routes at which the cache is emptied."""


class TagCodec:
    """Codec for flow tags: seals (encrypts) and opens (decrypts and verifies) them.

    Parameters
    ----------
    keys : sequence of FleetKey
        The first one seals tags; any of them opens a tag.
    """

    def __init__(self, keys: Sequence[FleetKey]):
        self._seal_id = keys[0].key_id
        self._ciphers = {key.key_id: _make_cipher(key) for key in keys}
        self._encryptor: CipherContext = self._ciphers[self._seal_id].encryptor()
        self._decryptors: dict[int, CipherContext] = {
            key_id: cipher.decryptor() for key_id, cipher in self._ciphers.items()
        }
        self._routes: dict[bytes, FlowRoute] = {}

    @property
    def seal_id(self) -> int:
        """The id of the key that seals tags."""
        return self._seal_id

    def make(self, route: FlowRoute) -> FlowTag:
        """Return a new tag with a random nonce."""
        return FlowTag(self._seal_id, route, os.urandom(NONCE_BYTES))

    def seal(self, tag: FlowTag) -> bytes:
        """Return the connection id of `tag`, sealed under the first key."""
        route = tag.route
        packed = IPv4Address(route.agent.ip).packed
        plain = _ROUTE.pack(
            route.service_id, packed, route.agent.port, route.incarnation
        )
        block = self._encryptor.update(plain + tag.nonce + _PADDING)
        return bytes((self._seal_id,)) + tag.nonce + block

    def open_route(self, connection_id: bytes) -> FlowRoute | None:
        """Return the route of a tag, or None if the tag fails its check.

        All tags of one route share a cached route object, so that the packet path
        creates none.
        """
        if len(connection_id) != TAG_BYTES:
            return None
        decryptor = self._decryptors.get(connection_id[0])
        if decryptor is None:
            return None
        plain = decryptor.update(connection_id[4:])
        if plain[13:] != _PADDING or plain[10:13] != connection_id[1:4]:
            return None
        packed = plain[:10]
        route = self._routes.get(packed)
        return route if route is not None else self._cache_route(packed)

    def open(self, connection_id: bytes) -> FlowTag | None:
        """Return the tag with its key id and nonce, or None if it fails its check."""
        route = self.open_route(connection_id)
        if route is None:
            return None
        return FlowTag(connection_id[0], route, connection_id[1:4])

    def _cache_route(self, packed: bytes) -> FlowRoute:
        """Decode a route and keep it for later packets."""
        service_id, ip, port, incarnation = _ROUTE.unpack(packed)
        agent = Endpoint(str(IPv4Address(ip)), port)
        if len(self._routes) >= _MAX_CACHED_ROUTES:
            self._routes.clear()
        route = FlowRoute(ServiceId(service_id), agent, incarnation)
        self._routes[packed] = route
        return route


def _make_cipher(key: FleetKey) -> Cipher[ECB]:
    """Return the block cipher of the key derived for flow tags."""
    # A tag is a single block of unique content, so ECB is plain AES here.
    return Cipher(AES(derive_key(key, "flow tag", _BLOCK_BYTES)), ECB())
