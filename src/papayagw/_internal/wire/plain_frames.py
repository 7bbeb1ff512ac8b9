"""Encoding of the frames between balancers and agents of the plain front end.

A frame is a head (mark, kind, checksum of kind and body) and a body. Numbers are
big-endian. A packet stands at the end of its frame as the client sent it.
"""

import struct
import zlib
from collections.abc import Callable
from typing import Protocol

from papayagw._internal.exceptions import DecodeError, Step
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.frame import (
    EntryMissingFrame,
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
)
from papayagw._internal.models.plain.instance import AgentLoad, Availability
from papayagw._internal.models.plain.packet import (
    ENTRY_KEY_BYTES,
    EntryKey,
    FlowKey,
    FlowPacket,
)

MAX_FRAME_BYTES = 65_507
"""The longest payload of a UDP datagram: room for 10,000 entries of one service."""

_MARK = 0x7047
_HEAD = struct.Struct(">HBI")
_VERSION = struct.Struct(">Q")
_NO_AGE = 0xFFFFFFFF
_LOAD = struct.Struct(">BHHIHIQI")
_QUESTION = struct.Struct(">12sBI")
_CLAIM = struct.Struct(">12sB")
_FLOW_BYTES = 12
_UTILIZATION_SCALE = 10_000
_MOST_SHORT = 0xFFFF


class PacketReader(Protocol):
    """Knows the packets that frames carry."""

    def decode_client_packet(self, raw: bytes) -> FlowPacket | None:
        """Return a client's packet, or None if it isn't one."""

    def restore(self, packet: FlowPacket) -> bytes:
        """Return the datagram as the client sent it."""


class PlainFrameCodec:
    """Writes and reads frames.

    Parameters
    ----------
    packets : PacketReader
        Reads the packets in frames.
    """

    def __init__(self, packets: PacketReader):
        self._packets = packets
        self._readers: dict[int, Callable[[bytes], Frame]] = {
            1: self._read_open,
            2: self._read_carry,
            3: _read_ask,
            4: _read_scope,
            5: _read_missing,
            6: _read_opened,
            7: self._read_return,
            8: _read_claim,
            9: _read_load_frame,
        }

    def encode(self, frame: Frame) -> bytes:
        """Return a frame's bytes."""
        kind, body = self._write(frame)
        return _HEAD.pack(_MARK, kind, zlib.crc32(body, kind)) + body

    def decode(self, data: bytes) -> Frame:
        """Return the frame.

        Raises
        ------
        DecodeError
            If the bytes aren't a whole frame.
        """
        try:
            mark, kind, checksum = _HEAD.unpack_from(data)
            body = data[_HEAD.size :]
            if mark != _MARK or zlib.crc32(body, kind) != checksum:
                raise ValueError("mark or checksum doesn't match")
            return self._readers[kind](body)
        except (struct.error, ValueError, KeyError, IndexError) as error:
            raise DecodeError(f"not a frame: {error!r}", step=Step.DECODE) from error

    def _write(self, frame: Frame) -> tuple[int, bytes]:
        match frame:
            case OpenFrame(service, version, packet):
                head = _VERSION.pack(version) + _write_text(service)
                return 1, head + packet.raw
            case ForwardFrame(service, packet):
                return 2, _write_text(service) + packet.raw
            case OwnerQueryFrame(service, questions):
                body = b"".join(_write_question(one) for one in questions)
                return 3, _write_text(service) + body
            case ScopeFrame(service, version, entries):
                body = b"".join(sorted(entries))
                return 4, _VERSION.pack(version) + _write_text(service) + body
            case EntryMissingFrame(service):
                return 5, _write_text(service)
            case OpenedFrame(flow, load):
                return 6, flow + _write_load(load)
            case ReturnFrame(reason, packet, load):
                head = bytes((reason.value,)) + _write_load(load)
                return 7, head + self._packets.restore(packet)
            case OwnerReplyFrame(claims, load):
                body = b"".join(
                    _CLAIM.pack(one.flow, one.ownership.value) for one in claims
                )
                return 8, _write_load(load) + body
            case LoadFrame(load):
                return 9, _write_load(load)

    def _read_open(self, body: bytes) -> Frame:
        (version,) = _VERSION.unpack_from(body)
        service, raw = _read_text(body[_VERSION.size :])
        return OpenFrame(service, version, self._read_packet(raw))

    def _read_carry(self, body: bytes) -> Frame:
        service, raw = _read_text(body)
        return ForwardFrame(service, self._read_packet(raw))

    def _read_return(self, body: bytes) -> Frame:
        end = 1 + _LOAD.size
        packet = self._read_packet(body[end:])
        return ReturnFrame(ReturnReason(body[0]), packet, _read_load(body[1:end]))

    def _read_packet(self, raw: bytes) -> FlowPacket:
        packet = self._packets.decode_client_packet(raw)
        if packet is None:
            raise ValueError("no whole packet")
        return packet


def _write_text(text: str) -> bytes:
    data = text.encode()
    return bytes((len(data),)) + data


def _read_text(data: bytes) -> tuple[str, bytes]:
    end = 1 + data[0]
    return data[1:end].decode(), data[end:]


def _write_load(load: AgentLoad) -> bytes:
    return _LOAD.pack(
        load.availability.value,
        min(load.slots, _MOST_SHORT),
        min(load.busy, _MOST_SHORT),
        load.flows,
        round(load.utilization * _UTILIZATION_SCALE),
        load.service_us,
        load.site_version,
        _NO_AGE if load.run_age_ms is None else min(load.run_age_ms, _NO_AGE - 1),
    )


def _read_load(data: bytes) -> AgentLoad:
    fields = _LOAD.unpack(data)
    availability, slots, busy, flows, used, service_us, version, age_ms = fields
    return AgentLoad(
        Availability(availability),
        slots,
        busy,
        flows,
        used / _UTILIZATION_SCALE,
        service_us,
        version,
        None if age_ms == _NO_AGE else Millis(age_ms),
    )


def _write_question(question: OwnerQuery) -> bytes:
    known = question.acknowledged is not None
    return _QUESTION.pack(question.flow, known, question.acknowledged or 0)


def _read_ask(body: bytes) -> Frame:
    service, rest = _read_text(body)
    questions = tuple(
        OwnerQuery(FlowKey(flow), acknowledged if known else None)
        for flow, known, acknowledged in _QUESTION.iter_unpack(rest)
    )
    return OwnerQueryFrame(service, questions)


def _read_scope(body: bytes) -> Frame:
    (version,) = _VERSION.unpack_from(body)
    service, rest = _read_text(body[_VERSION.size :])
    if len(rest) % ENTRY_KEY_BYTES:
        raise ValueError("entries are cut off")
    starts = range(0, len(rest), ENTRY_KEY_BYTES)
    entries = frozenset(EntryKey(rest[at : at + ENTRY_KEY_BYTES]) for at in starts)
    return ScopeFrame(service, version, entries)


def _read_missing(body: bytes) -> Frame:
    service, _ = _read_text(body)
    return EntryMissingFrame(service)


def _read_opened(body: bytes) -> Frame:
    return OpenedFrame(FlowKey(body[:_FLOW_BYTES]), _read_load(body[_FLOW_BYTES:]))


def _read_claim(body: bytes) -> Frame:
    load = _read_load(body[: _LOAD.size])
    claims = tuple(
        OwnerReply(FlowKey(flow), Ownership(ownership))
        for flow, ownership in _CLAIM.iter_unpack(body[_LOAD.size :])
    )
    return OwnerReplyFrame(claims, load)


def _read_load_frame(body: bytes) -> Frame:
    return LoadFrame(_read_load(body))
