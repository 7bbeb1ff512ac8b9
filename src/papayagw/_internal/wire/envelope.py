"""Encoding of the envelopes that balancers and agents exchange on the packet path.

An envelope consists of a header of fixed layout, an authentication code over that
header and the caller's unmodified datagram. The code doesn't cover the datagram,
since QUIC protects it from end to end. The layout is a plain struct, since writing
and reading a capnp message costs more than all the rest of the packet path.
"""

import hashlib
import hmac
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from ipaddress import IPv4Address

from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import ServiceId
from papayagw._internal.wire.keys import derive_key

_HEADER = struct.Struct("!BBHH4sH4sB")
_MAC_BYTES = 8
ENVELOPE_BYTES = _HEADER.size + _MAC_BYTES
"""Length of an envelope without the datagram that follows it, in bytes."""

_KEY_BYTES = 32
_NO_ENDPOINT = (bytes(4), 0)


class FrameKind(IntEnum):
    """First byte of each datagram between processes of papayagw."""

    FORWARD = 1
    ANSWER = 2
    CONTROL = 3


@dataclass(frozen=True, slots=True)
class Envelope:
    """Decoded header of a forwarded packet or an answer.

    Attributes
    ----------
    kind : FrameKind
        FORWARD towards an agent, ANSWER towards a caller.
    service_id : ServiceId
        The service whose address the caller uses.
    client : Endpoint
        The caller.
    balancer : Endpoint or None
        The balancer that received the packet, if an agent has forwarded it.
    hops : int
        Number of agents that have forwarded it.
    """

    kind: FrameKind
    service_id: ServiceId
    client: Endpoint
    balancer: Endpoint | None = None
    hops: int = 0


class EnvelopeCodec:
    """Codec for envelopes: the header and its authentication code before a datagram.

    Parameters
    ----------
    keys : sequence of FleetKey
        The first one signs envelopes; any of them verifies.
    """

    def __init__(self, keys: Sequence[FleetKey]):
        self._sign_id = keys[0].key_id
        self._macs = {key.key_id: _make_mac(key) for key in keys}

    def write(self, envelope: Envelope) -> bytes:
        """Return the header and its authentication code, which precede the datagram."""
        return self.write_raw(
            envelope.kind,
            envelope.service_id,
            envelope.client.sockaddr,
            envelope.balancer.sockaddr if envelope.balancer else None,
            envelope.hops,
        )

    def write_raw(
        self,
        kind: int,
        service_id: int,
        client: tuple[str, int],
        balancer: tuple[str, int] | None = None,
        hops: int = 0,
    ) -> bytes:
        """Return the same bytes as `write`, from plain values for the packet path."""
        balancer_ip, balancer_port = _NO_ENDPOINT
        if balancer is not None:
            balancer_ip, balancer_port = pack_ip(balancer[0]), balancer[1]
        header = _HEADER.pack(
            kind,
            self._sign_id,
            service_id,
            client[1],
            pack_ip(client[0]),
            balancer_port,
            balancer_ip,
            hops,
        )
        mac = self._macs[self._sign_id].copy()
        mac.update(header)
        return header + mac.digest()

    def read(self, frame: bytes) -> Envelope | None:
        """Decode the envelope at the start of `frame`; return None if it is invalid."""
        if not self.is_authentic(frame):
            return None
        kind, _, service_id, port, ip, balancer_port, balancer_ip, hops = (
            _HEADER.unpack_from(frame)
        )
        balancer = None
        if balancer_port:
            balancer = Endpoint(unpack_ip(balancer_ip), balancer_port)
        client = Endpoint(unpack_ip(ip), port)
        return Envelope(FrameKind(kind), ServiceId(service_id), client, balancer, hops)

    def read_answer(self, frame: bytes) -> tuple[int, tuple[str, int]] | None:
        """Return the service id and the caller of an answer, or None if it is invalid.

        For the packet path: creates no objects besides the returned ones.
        """
        if not self.is_authentic(frame):
            return None
        fields = _HEADER.unpack_from(frame)
        return fields[2], (unpack_ip(fields[4]), fields[3])

    def is_authentic(self, frame: bytes) -> bool:
        """Return whether a known key verifies the authentication code of `frame`."""
        if len(frame) < ENVELOPE_BYTES:
            return False
        mac = self._macs.get(frame[1])
        if mac is None:
            return False
        mac = mac.copy()
        mac.update(frame[: _HEADER.size])
        code = frame[_HEADER.size : ENVELOPE_BYTES]
        return hmac.compare_digest(mac.digest(), code)


_packed_ips: dict[str, bytes] = {}
_ip_texts: dict[bytes, str] = {}
_MAX_CACHED_IPS = 65_536
"""Number of cached addresses at which a cache is emptied."""


def pack_ip(ip: str) -> bytes:
    """Return the 4 bytes of an IPv4 address in dotted form."""
    packed = _packed_ips.get(ip)
    if packed is None:
        if len(_packed_ips) >= _MAX_CACHED_IPS:
            _packed_ips.clear()
        packed = _packed_ips[ip] = IPv4Address(ip).packed
    return packed


def unpack_ip(packed: bytes) -> str:
    """Return the dotted form of the 4 bytes of an IPv4 address."""
    text = _ip_texts.get(packed)
    if text is None:
        if len(_ip_texts) >= _MAX_CACHED_IPS:
            _ip_texts.clear()
        text = _ip_texts[packed] = str(IPv4Address(packed))
    return text


def _make_mac(key: FleetKey) -> hashlib.blake2s:
    """Return the keyed hash that is copied for the code of each envelope."""
    secret = derive_key(key, "envelope", _KEY_BYTES)
    return hashlib.blake2s(key=secret, digest_size=_MAC_BYTES)
