"""Packets of clients and servers, as PROTOCOL, section Packets, describes them."""

import socket
import struct
import zlib
from dataclasses import dataclass

SYN, ACK, FIN, RST, BOUNCED = 1, 8, 16, 32, 64
MODULUS = 1 << 32
_HEADER = struct.Struct(">IIIHIBB4sHH4s")
_KEY = b"key of the stand-ins"


@dataclass(frozen=True)
class Packet:
    """A packet; `src` and `dst` are pairs of address and port."""

    src: tuple
    dst: tuple
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    total: int = 0

    def encode(self):
        """Return the datagram with its keyed sum."""
        return self._pack(self.keyed_sum())

    def keyed_sum(self):
        """Return the keyed sum of all fields except `echo`, `pad` and BOUNCED."""
        plain = Packet(
            self.src, self.dst, self.flags & ~BOUNCED, self.seq, self.ack, self.data
        )
        return zlib.crc32(_KEY + plain._pack(0)) or 1

    def is_genuine(self):
        """Return whether the sum fits, so that a stand-in wrote the packet so."""
        return self.total == self.keyed_sum()

    def is_system_reset(self):
        """Return whether this is a reset of the system's own."""
        return self.flags == RST and self.total == 0 and not self.data

    def _pack(self, total):
        (src, sport), (dst, dport) = self.src, self.dst
        head = _HEADER.pack(
            self.seq % MODULUS,
            self.ack % MODULUS,
            self.echo,
            len(self.data),
            total,
            self.flags,
            0,
            socket.inet_aton(src),
            sport,
            dport,
            socket.inet_aton(dst),
        )
        return head + self.data


def decode(raw):
    """Decode a datagram."""
    seq, ack, echo, length, total, flags, _, src, sport, dport, dst = (
        _HEADER.unpack_from(raw)
    )
    data = raw[_HEADER.size : _HEADER.size + length]
    return Packet(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags,
        seq,
        ack,
        data,
        echo,
        total,
    )


def bounce(raw):
    """Return a datagram as a server sends it back: BOUNCED set, `pad` 0."""
    returned = bytearray(raw)
    returned[18] |= BOUNCED
    returned[19] = 0
    return bytes(returned)
