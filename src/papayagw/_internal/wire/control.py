"""Encoding of control messages, each as one authenticated datagram.

A frame consists of the kind byte, the id of the fleet key, an authentication code
over all other bytes, and a packed capnp message.
"""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import capnp

from papayagw._internal.models.agent import AgentRecord, AgentState, Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.models.control import (
    Acknowledgement,
    Announcement,
    BalancerRecord,
    Bucket,
    BucketDigests,
    BucketSummary,
    ControlMessage,
    Gossip,
    GossipKind,
    Heartbeat,
    Join,
    LivenessRequest,
    LivenessResponse,
    MembershipUpdate,
    MissingRecords,
    RecordRequest,
    SuspicionVector,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import ServiceId
from papayagw._internal.wire.envelope import FrameKind, pack_ip, unpack_ip
from papayagw._internal.wire.keys import derive_key

MAX_FRAME_BYTES = 1200
"""Maximum size of a control frame, so that it is never fragmented."""

_MAC_BYTES = 8
_MAC_KEY_BYTES = 32
_MAC_OFFSET = 2
_PAYLOAD_OFFSET = _MAC_OFFSET + _MAC_BYTES
_IP_BYTES = 4
_PORT_BITS = 16
_PORT_MASK = 0xFFFF
_COUNTER_BITS = 4
_COUNTER_MASK = 0x0F
_COUNTERS_PER_BYTE = 2

_schema = capnp.load(str(Path(__file__).with_name("control.capnp")))


class ControlCodec:
    """Codec for the frames of control messages.

    Parameters
    ----------
    keys : sequence of FleetKey
        The first one signs frames; any of them verifies.
    """

    def __init__(self, keys: Sequence[FleetKey]):
        self._sign_id = keys[0].key_id
        self._macs = {key.key_id: _make_mac(key) for key in keys}

    def write(self, message: ControlMessage) -> bytes:
        """Encode and sign `message`."""
        root = _schema.Control.new_message()
        _WRITERS[type(message)](root, message)
        payload: bytes = root.to_bytes_packed()
        head = bytes((FrameKind.CONTROL, self._sign_id))
        mac = self._macs[self._sign_id].copy()
        mac.update(head)
        mac.update(payload)
        return head + mac.digest() + payload

    def read(self, frame: bytes) -> ControlMessage | None:
        """Decode `frame`; return None if it isn't authentic or is malformed."""
        if not self._is_authentic(frame):
            return None
        try:
            root = _schema.Control.from_bytes_packed(frame[_PAYLOAD_OFFSET:])
            return _READERS[str(root.which())](root)
        except (capnp.KjException, ValueError, IndexError, KeyError):
            return None

    def _is_authentic(self, frame: bytes) -> bool:
        if len(frame) <= _PAYLOAD_OFFSET or frame[0] != FrameKind.CONTROL:
            return False
        known = self._macs.get(frame[1])
        if known is None:
            return False
        mac = known.copy()
        mac.update(frame[:_MAC_OFFSET])
        mac.update(frame[_PAYLOAD_OFFSET:])
        return hmac.compare_digest(mac.digest(), frame[_MAC_OFFSET:_PAYLOAD_OFFSET])


def _make_mac(key: FleetKey) -> hashlib.blake2s:
    """Return the keyed hash that is copied for the code of each frame."""
    secret = derive_key(key, "control", _MAC_KEY_BYTES)
    return hashlib.blake2s(key=secret, digest_size=_MAC_BYTES)


def _ip_to_int(endpoint: Endpoint) -> int:
    return int.from_bytes(pack_ip(endpoint.ip), "big")


def _int_to_ip(number: int) -> str:
    return unpack_ip(number.to_bytes(_IP_BYTES, "big"))


def _write_endpoint(target: Any, endpoint: Endpoint) -> None:
    target.ip = _ip_to_int(endpoint)
    target.port = endpoint.port


def _read_endpoint(source: Any) -> Endpoint:
    return Endpoint(_int_to_ip(source.ip), source.port)


def _write_agent(target: Any, record: AgentRecord, zone: int) -> None:
    _write_endpoint(target, record.endpoint)
    target.service = record.service_id
    target.incarnation = record.incarnation
    target.sequence = record.sequence
    target.zone = zone
    target.state = int(record.state)
    target.weight = record.weight
    target.suspicion = record.suspicion


def _read_agent(source: Any, zones: Sequence[str]) -> AgentRecord:
    return AgentRecord(
        _read_endpoint(source),
        Incarnation(source.incarnation),
        source.sequence,
        ServiceId(source.service),
        zones[source.zone],
        AgentState(source.state),
        source.weight,
        source.suspicion,
    )


def _write_balancer(target: Any, record: BalancerRecord, zone: int) -> None:
    _write_endpoint(target, record.endpoint)
    target.incarnation = record.incarnation
    target.sequence = record.sequence
    target.zone = zone
    target.state = int(record.state)
    target.suspicion = record.suspicion


def _read_balancer(source: Any, zones: Sequence[str]) -> BalancerRecord:
    return BalancerRecord(
        _read_endpoint(source),
        Incarnation(source.incarnation),
        zones[source.zone],
        source.sequence,
        AgentState(source.state),
        source.suspicion,
    )


def _write_update(root: Any, update: MembershipUpdate) -> None:
    zones = _write_zones(root, update)
    if update.agents:
        agents = root.init("agents", len(update.agents))
        for target, agent in zip(agents, update.agents, strict=True):
            _write_agent(target, agent, zones[agent.zone])
    if update.balancers:
        balancers = root.init("balancers", len(update.balancers))
        for target, balancer in zip(balancers, update.balancers, strict=True):
            _write_balancer(target, balancer, zones[balancer.zone])
    if update.vectors:
        vectors = root.init("vectors", len(update.vectors))
        for target, vector in zip(vectors, update.vectors, strict=True):
            _write_vector(target, vector, zones[vector.bucket.zone])


def _write_zones(root: Any, update: MembershipUpdate) -> dict[str, int]:
    """Write the zone names of an update, and return the index of each."""
    zones = {record.zone for record in update.records}
    zones.update(vector.bucket.zone for vector in update.vectors)
    names = sorted(zones)
    if names:
        root.zones = names
    return {name: index for index, name in enumerate(names)}


def _read_update(root: Any) -> MembershipUpdate:
    zones = tuple(root.zones)
    return MembershipUpdate(
        tuple(_read_agent(agent, zones) for agent in root.agents),
        tuple(_read_balancer(balancer, zones) for balancer in root.balancers),
        tuple(_read_vector(vector, zones) for vector in root.vectors),
    )


def _write_vector(target: Any, vector: SuspicionVector, zone: int) -> None:
    target.indexDigest = vector.index_digest
    target.number = vector.bucket.number
    target.zone = zone
    target.length = len(vector.counters)
    target.counters = _pack_counters(vector.counters)


def _read_vector(source: Any, zones: Sequence[str]) -> SuspicionVector:
    bucket = Bucket(zones[source.zone], source.number)
    counters = _unpack_counters(source.counters, source.length)
    return SuspicionVector(bucket, source.indexDigest, counters)


def _pack_counters(counters: Sequence[int]) -> bytes:
    """Pack two 4-bit counters per byte, or a single byte if all are equal."""
    if len(counters) > _COUNTERS_PER_BYTE and len(set(counters)) == 1:
        return bytes((counters[0],))
    padded = (*counters, 0)
    pairs = zip(padded[::2], padded[1::2], strict=False)
    return bytes(low | high << _COUNTER_BITS for low, high in pairs)


def _unpack_counters(packed: bytes, length: int) -> tuple[int, ...]:
    """Return the `length` counters packed by `_pack_counters`."""
    if len(packed) == 1 and length > _COUNTERS_PER_BYTE:
        return (packed[0] & _COUNTER_MASK,) * length
    counters: list[int] = []
    for pair in packed:
        counters += (pair & _COUNTER_MASK, pair >> _COUNTER_BITS)
    return tuple(counters[:length])


def _write_announcement(root: Any, message: Announcement) -> None:
    root.announcement = None
    _write_update(root, MembershipUpdate(agents=(message.record,)))


def _read_announcement(root: Any) -> Announcement:
    return Announcement(_read_update(root).agents[0])


def _write_heartbeat(root: Any, message: Heartbeat) -> None:
    target = root.init("heartbeat")
    _write_endpoint(target, message.endpoint)
    target.incarnation = message.incarnation
    target.sequence = message.sequence
    target.beat = message.heartbeat_number
    target.siblingsDigest = message.siblings_digest


def _read_heartbeat(root: Any) -> Heartbeat:
    source = root.heartbeat
    return Heartbeat(
        _read_endpoint(source),
        Incarnation(source.incarnation),
        source.sequence,
        source.beat,
        source.siblingsDigest,
    )


def _write_acknowledgement(root: Any, message: Acknowledgement) -> None:
    target = root.init("acknowledgement")
    target.incarnation = message.incarnation
    target.sequence = message.sequence
    target.intervalMs = message.interval_ms
    target.siblingsDigest = message.siblings_digest
    target.configurationVersion = message.configuration_version
    target.state = int(message.state)
    target.watchers = [_endpoint_to_int(one) for one in message.watchers]
    _write_update(root, MembershipUpdate(agents=message.siblings))


def _read_acknowledgement(root: Any) -> Acknowledgement:
    source = root.acknowledgement
    return Acknowledgement(
        Incarnation(source.incarnation),
        source.sequence,
        AgentState(source.state),
        tuple(_int_to_endpoint(number) for number in source.watchers),
        Millis(source.intervalMs),
        _read_update(root).agents,
        source.siblingsDigest,
        source.configurationVersion,
    )


def _endpoint_to_int(endpoint: Endpoint) -> int:
    return _ip_to_int(endpoint) << _PORT_BITS | endpoint.port


def _int_to_endpoint(number: int) -> Endpoint:
    return Endpoint(_int_to_ip(number >> _PORT_BITS), number & _PORT_MASK)


def _write_join(root: Any, message: Join) -> None:
    root.join = None
    _write_update(root, MembershipUpdate(balancers=(message.record,)))


def _read_join(root: Any) -> Join:
    return Join(_read_update(root).balancers[0])


def _write_gossip(root: Any, message: Gossip) -> None:
    target = root.init("gossip")
    target.kind = int(message.kind)
    target.number = message.number
    target.digest = message.digest
    target.configurationVersion = message.configuration_version
    _write_update(root, message.update)


def _read_gossip(root: Any) -> Gossip:
    source = root.gossip
    return Gossip(
        GossipKind(source.kind),
        source.number,
        source.digest,
        source.configurationVersion,
        _read_update(root),
    )


def _write_bucket_digests(root: Any, message: BucketDigests) -> None:
    root.digests = message.digests
    root.complete = message.complete
    root.zones = message.zones


def _read_bucket_digests(root: Any) -> BucketDigests:
    return BucketDigests(tuple(root.zones), tuple(root.digests), root.complete)


def _write_bucket_summary(root: Any, message: BucketSummary) -> None:
    target = root.init("summary")
    target.number = message.bucket.number
    root.zones = (message.bucket.zone,)
    target.fingerprints = message.fingerprints


def _read_bucket_summary(root: Any) -> BucketSummary:
    bucket = Bucket(root.zones[0], root.summary.number)
    return BucketSummary(bucket, tuple(root.summary.fingerprints))


def _write_record_request(root: Any, message: RecordRequest) -> None:
    root.recordRequest = message.fingerprints


def _read_record_request(root: Any) -> RecordRequest:
    return RecordRequest(tuple(root.recordRequest))


def _write_missing_records(root: Any, message: MissingRecords) -> None:
    root.records = None
    _write_update(root, message.update)


def _read_missing_records(root: Any) -> MissingRecords:
    return MissingRecords(_read_update(root))


def _write_liveness_request(root: Any, message: LivenessRequest) -> None:
    target = root.init("inquiry")
    _write_endpoint(target, message.endpoint)
    target.incarnation = message.incarnation


def _read_liveness_request(root: Any) -> LivenessRequest:
    source = root.inquiry
    return LivenessRequest(_read_endpoint(source), Incarnation(source.incarnation))


def _write_liveness_response(root: Any, message: LivenessResponse) -> None:
    target = root.init("voucher")
    _write_endpoint(target, message.endpoint)
    target.incarnation = message.incarnation
    target.beat = message.heartbeat_number
    target.ageMs = message.age_ms


def _read_liveness_response(root: Any) -> LivenessResponse:
    source = root.voucher
    incarnation = Incarnation(source.incarnation)
    age_ms = Millis(source.ageMs)
    return LivenessResponse(_read_endpoint(source), incarnation, source.beat, age_ms)


_WRITERS: dict[type, Callable[[Any, Any], None]] = {
    Announcement: _write_announcement,
    Heartbeat: _write_heartbeat,
    Acknowledgement: _write_acknowledgement,
    Join: _write_join,
    Gossip: _write_gossip,
    BucketDigests: _write_bucket_digests,
    BucketSummary: _write_bucket_summary,
    RecordRequest: _write_record_request,
    MissingRecords: _write_missing_records,
    LivenessRequest: _write_liveness_request,
    LivenessResponse: _write_liveness_response,
}

_READERS: dict[str, Callable[[Any], ControlMessage]] = {
    "announcement": _read_announcement,
    "heartbeat": _read_heartbeat,
    "acknowledgement": _read_acknowledgement,
    "join": _read_join,
    "gossip": _read_gossip,
    "digests": _read_bucket_digests,
    "summary": _read_bucket_summary,
    "recordRequest": _read_record_request,
    "records": _read_missing_records,
    "inquiry": _read_liveness_request,
    "voucher": _read_liveness_response,
}
