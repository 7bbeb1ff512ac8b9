"""Encoding of the frames between balancers and agents of the plain front end.

A frame consists of a header (magic number, kind, CRC-32 of kind and body) and a body.
Numbers are big-endian. A client's packet, if any, is the last field of the body and
has the bytes that the client sent.
"""

import struct
import zlib
from collections.abc import Callable
from math import inf
from typing import Protocol

from papayagw._internal.exceptions import DecodeError, Step
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.entry_store import StoreRevision
from papayagw._internal.models.plain.frame import (
    EntryMissingFrame,
    EvacuationFrame,
    ForwardFrame,
    Frame,
    LoadFrame,
    OpenedFrame,
    OpenFrame,
    OwnerQuery,
    OwnerQueryFrame,
    OwnerReply,
    OwnerReplyFrame,
    Ownership,
    ReturnFrame,
    ReturnReason,
    ScopeFrame,
    ServiceLimitsFrame,
    ToAgent,
    ToBalancer,
)
from papayagw._internal.models.plain.instance import AgentLoad, Availability
from papayagw._internal.models.plain.packet import (
    ENTRY_KEY_BYTES,
    EntryKey,
    FlowKey,
    FlowPacket,
)

MAX_FRAME_BYTES = 65_507
"""Maximum payload of a UDP datagram.

A scope frame with 10,000 entries of one service fits.
"""

_MAGIC = 0x7047
"""First two bytes of each frame."""

_HEADER = struct.Struct(">HBI")
"""Magic number, kind, checksum."""

_SITE_VERSION = struct.Struct(">Q")
"""Configuration version."""

_SERVICE_LIMITS = struct.Struct(">Qd")
"""Configuration version, openings a second of a cold backend server."""

_UNKNOWN_RUN_AGE_MS = 0xFFFFFFFF
"""Value of the run's age in `_LOAD` if it isn't known."""

_LOAD = struct.Struct(">BHHIHIQI")
"""Fields of `AgentLoad`, in their order."""

_EVACUATION = struct.Struct(">?QQ")
"""Whether the zone is evacuated, era of the store, revision."""

_OWNER_QUERY = struct.Struct(">12sBI")
"""Flow, whether there is an acknowledgement number, acknowledgement number."""

_OWNER_REPLY = struct.Struct(">12sB")
"""Flow, ownership."""

_FLOW_KEY_BYTES = 12
_UTILIZATION_SCALE = 10_000
"""A utilization of 0 to 1 is encoded as an integer from 0 to this."""

_MAX_UINT16 = 0xFFFF
"""Maximum of a 16-bit field; larger values are encoded as this."""


class ClientPacketCodec(Protocol):
    """Decodes and encodes the client packets that frames carry."""

    def decode_client_packet(self, raw: bytes) -> FlowPacket | None:
        """Decode a client's packet; return None if `raw` is malformed."""

    def encode_client_packet(self, packet: FlowPacket) -> bytes:
        """Encode a packet as its client sent it."""


class PlainFrameCodec:
    """Encodes and decodes frames.

    Parameters
    ----------
    packets : ClientPacketCodec
        Codec of the client packets in frames.
    """

    def __init__(self, packets: ClientPacketCodec):
        self._packets = packets
        self._decoders: dict[int, Callable[[bytes], Frame]] = {
            1: self._decode_open,
            2: self._decode_forward,
            3: _decode_owner_queries,
            4: _decode_scope,
            5: _decode_entry_missing,
            6: _decode_opened,
            7: self._decode_return,
            8: _decode_owner_replies,
            9: _decode_load_frame,
            10: _decode_evacuation,
            11: _decode_service_limits,
        }

    def encode(self, frame: Frame) -> bytes:
        """Encode a frame with its header."""
        kind, body = self._encode_body(frame)
        return _HEADER.pack(_MAGIC, kind, zlib.crc32(body, kind)) + body

    def decode(self, data: bytes) -> Frame:
        """Decode a frame.

        Raises
        ------
        DecodeError
            If `data` isn't a complete, valid frame.
        """
        try:
            magic, kind, checksum = _HEADER.unpack_from(data)
            body = data[_HEADER.size :]
            if magic != _MAGIC or zlib.crc32(body, kind) != checksum:
                raise ValueError("magic number or checksum mismatch")
            return self._decoders[kind](body)
        except (struct.error, ValueError, KeyError, IndexError) as error:
            raise DecodeError(
                f"malformed frame: {error!r}", step=Step.DECODE
            ) from error

    def _encode_body(self, frame: Frame) -> tuple[int, bytes]:
        """Return the kind and the encoded body of a frame."""
        if isinstance(frame, ToAgent):
            return _encode_for_agent(frame)
        return self._encode_for_balancer(frame)

    def _encode_for_balancer(self, frame: ToBalancer) -> tuple[int, bytes]:
        """Return the kind and the encoded body of an agent's frame."""
        match frame:
            case OpenedFrame(flow, load):
                return 6, flow + _encode_load(load)
            case ReturnFrame(reason, packet, load):
                header = bytes((reason.value,)) + _encode_load(load)
                return 7, header + self._packets.encode_client_packet(packet)
            case OwnerReplyFrame(replies, load):
                body = b"".join(
                    _OWNER_REPLY.pack(reply.flow, reply.ownership.value)
                    for reply in replies
                )
                return 8, _encode_load(load) + body
            case LoadFrame(load):
                return 9, _encode_load(load)

    def _decode_open(self, body: bytes) -> Frame:
        (version,) = _SITE_VERSION.unpack_from(body)
        service, raw = _decode_text(body[_SITE_VERSION.size :])
        return OpenFrame(service, version, self._decode_packet(raw))

    def _decode_forward(self, body: bytes) -> Frame:
        service, raw = _decode_text(body)
        return ForwardFrame(service, self._decode_packet(raw))

    def _decode_return(self, body: bytes) -> Frame:
        end = 1 + _LOAD.size
        packet = self._decode_packet(body[end:])
        return ReturnFrame(ReturnReason(body[0]), packet, _decode_load(body[1:end]))

    def _decode_packet(self, raw: bytes) -> FlowPacket:
        """Decode the client's packet in a frame.

        Raises
        ------
        ValueError
            If the packet is malformed.
        """
        packet = self._packets.decode_client_packet(raw)
        if packet is None:
            raise ValueError("incomplete client packet")
        return packet


def _encode_for_agent(frame: ToAgent) -> tuple[int, bytes]:
    """Return the kind and the encoded body of a balancer's frame."""
    match frame:
        case OpenFrame(service, version, packet):
            header = _SITE_VERSION.pack(version) + _encode_text(service)
            return 1, header + packet.raw
        case ForwardFrame(service, packet):
            return 2, _encode_text(service) + packet.raw
        case OwnerQueryFrame(service, queries):
            body = b"".join(_encode_owner_query(query) for query in queries)
            return 3, _encode_text(service) + body
        case ScopeFrame(service, version, entries):
            body = b"".join(sorted(entries))
            return 4, _SITE_VERSION.pack(version) + _encode_text(service) + body
        case EntryMissingFrame(service):
            return 5, _encode_text(service)
        case EvacuationFrame(service, is_evacuated, revision):
            header = _EVACUATION.pack(is_evacuated, revision.era, revision.number)
            return 10, header + _encode_text(service)
        case ServiceLimitsFrame(service, version, cold_per_s):
            rates = _SERVICE_LIMITS.pack(version, cold_per_s)
            return 11, rates + _encode_text(service)


def _encode_text(text: str) -> bytes:
    """Encode a text of at most 255 bytes, preceded by its length."""
    data = text.encode()
    return bytes((len(data),)) + data


def _decode_text(data: bytes) -> tuple[str, bytes]:
    """Return the text at the start of `data`, and the bytes after it."""
    end = 1 + data[0]
    return data[1:end].decode(), data[end:]


def _encode_load(load: AgentLoad) -> bytes:
    """Encode an agent's load; large values of `slots` and `busy` are capped."""
    return _LOAD.pack(
        load.availability.value,
        min(load.slots, _MAX_UINT16),
        min(load.busy, _MAX_UINT16),
        load.flows,
        round(load.utilization * _UTILIZATION_SCALE),
        load.service_us,
        load.site_version,
        _UNKNOWN_RUN_AGE_MS
        if load.run_age_ms is None
        else min(load.run_age_ms, _UNKNOWN_RUN_AGE_MS - 1),
    )


def _decode_load(data: bytes) -> AgentLoad:
    fields = _LOAD.unpack(data)
    availability, slots, busy, flows, utilization, service_us, version, age_ms = fields
    return AgentLoad(
        Availability(availability),
        slots,
        busy,
        flows,
        utilization / _UTILIZATION_SCALE,
        service_us,
        version,
        None if age_ms == _UNKNOWN_RUN_AGE_MS else Millis(age_ms),
    )


def _encode_owner_query(query: OwnerQuery) -> bytes:
    known = query.acknowledged is not None
    return _OWNER_QUERY.pack(query.flow, known, query.acknowledged or 0)


def _decode_owner_queries(body: bytes) -> Frame:
    service, rest = _decode_text(body)
    queries = tuple(
        OwnerQuery(FlowKey(flow), acknowledged if known else None)
        for flow, known, acknowledged in _OWNER_QUERY.iter_unpack(rest)
    )
    return OwnerQueryFrame(service, queries)


def _decode_scope(body: bytes) -> Frame:
    (version,) = _SITE_VERSION.unpack_from(body)
    service, rest = _decode_text(body[_SITE_VERSION.size :])
    if len(rest) % ENTRY_KEY_BYTES:
        raise ValueError(
            f"entries truncated: {len(rest)} bytes not a multiple of {ENTRY_KEY_BYTES}"
        )
    starts = range(0, len(rest), ENTRY_KEY_BYTES)
    entries = frozenset(EntryKey(rest[at : at + ENTRY_KEY_BYTES]) for at in starts)
    return ScopeFrame(service, version, entries)


def _decode_entry_missing(body: bytes) -> Frame:
    service, _ = _decode_text(body)
    return EntryMissingFrame(service)


def _decode_opened(body: bytes) -> Frame:
    return OpenedFrame(
        FlowKey(body[:_FLOW_KEY_BYTES]), _decode_load(body[_FLOW_KEY_BYTES:])
    )


def _decode_owner_replies(body: bytes) -> Frame:
    load = _decode_load(body[: _LOAD.size])
    replies = tuple(
        OwnerReply(FlowKey(flow), Ownership(ownership))
        for flow, ownership in _OWNER_REPLY.iter_unpack(body[_LOAD.size :])
    )
    return OwnerReplyFrame(replies, load)


def _decode_load_frame(body: bytes) -> Frame:
    return LoadFrame(_decode_load(body))


def _decode_evacuation(body: bytes) -> Frame:
    is_evacuated, era, number = _EVACUATION.unpack_from(body)
    service, _ = _decode_text(body[_EVACUATION.size :])
    return EvacuationFrame(service, is_evacuated, StoreRevision(era, number))


def _decode_service_limits(body: bytes) -> Frame:
    version, cold_per_s = _SERVICE_LIMITS.unpack_from(body)
    if not 0 < cold_per_s < inf:
        raise ValueError(f"cold_per_s: expected a rate above 0, found {cold_per_s}")
    service, _ = _decode_text(body[_SERVICE_LIMITS.size :])
    return ServiceLimitsFrame(service, version, cold_per_s)
