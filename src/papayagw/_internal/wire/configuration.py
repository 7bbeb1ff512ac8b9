"""Encoding of configurations as packed Cap'n Proto messages.

The platform's service holds the same bytes that peers hand each other, so a node can
put back what it holds, byte for byte. The commands show operators what the bytes
say, so the stored value needn't be text.
"""

from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

import capnp
from returns.result import Failure, Result, Success

from papayagw._internal.exceptions import DecodeError, Step
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.configuration import (
    KEY_BYTES,
    Configuration,
    FleetKey,
    Site,
    SubmissionMark,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Objectives, Service, ServiceId

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("configuration.capnp")))


def write_configuration(configuration: Configuration) -> bytes:
    """Return the bytes of a configuration."""
    site = configuration.site
    message = _SCHEMA.Configuration.new_message(
        version=configuration.version,
        history=[_write_mark(one) for one in configuration.history],
        name=site.name,
        controlAddress=_write_endpoint(site.control_address),
        zones=list(site.zones),
        services=[_write_service(one) for one in site.services],
        keys=[{"keyId": one.key_id, "secret": one.secret} for one in site.keys],
    )
    written: bytes = message.to_bytes_packed()
    return written


def read_configuration(data: bytes) -> Result[Configuration, DecodeError]:
    """Return the configuration that bytes hold, or why they hold none."""
    try:
        configuration = _read(_SCHEMA.Configuration.from_bytes_packed(data))
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return Failure(_bad(str(error).splitlines()[0]))
    site = configuration.site
    if not (configuration.version and site.services and site.keys):
        return Failure(_bad("no version, services or keys in it"))
    if any(len(key.secret) != KEY_BYTES for key in site.keys):
        return Failure(_bad("a key of the wrong length"))
    return Success(configuration)


def _bad(what: str) -> DecodeError:
    return DecodeError(
        f"not a configuration: {what}",
        step=Step.DECODE,
        remedy="submit the site again with this release",
    )


def _read(message: Any) -> Configuration:
    site = Site(
        name=message.name,
        control_address=_read_endpoint(message.controlAddress),
        zones=tuple(message.zones),
        services=tuple(_read_service(one) for one in message.services),
        keys=tuple(FleetKey(one.keyId, bytes(one.secret)) for one in message.keys),
    )
    history = tuple(
        SubmissionMark(one.version, one.submissionId, one.operator)
        for one in message.history
    )
    return Configuration(message.version, site, history)


def _write_mark(mark: SubmissionMark) -> dict[str, Any]:
    return {
        "version": mark.version,
        "submissionId": mark.submission_id,
        "operator": mark.operator,
    }


def _write_endpoint(endpoint: Endpoint) -> dict[str, int]:
    return {"ip": int(IPv4Address(endpoint.ip)), "port": endpoint.port}


def _read_endpoint(message: Any) -> Endpoint:
    if not message.port:
        raise ValueError("an address without a port")
    return Endpoint(str(IPv4Address(message.ip)), message.port)


def _write_service(service: Service) -> dict[str, Any]:
    return {
        "name": service.name,
        "serviceId": service.service_id,
        "address": _write_endpoint(service.address),
        "idempotent": service.idempotent,
        "maxFlows": service.max_flows,
        "idleTimeoutMs": service.idle_timeout_ms,
        "probeIntervalMs": service.probe_interval_ms,
        "drainLimitMs": service.drain_limit_ms,
        "availability": service.objectives.availability,
        "latencyMs": service.objectives.latency_ms,
        "latencyShare": service.objectives.latency_share,
        "imbalance": service.objectives.imbalance,
    }


def _read_service(message: Any) -> Service:
    objectives = Objectives(
        availability=message.availability,
        latency_ms=Millis(message.latencyMs),
        latency_share=message.latencyShare,
        imbalance=message.imbalance,
    )
    return Service(
        name=message.name,
        service_id=ServiceId(message.serviceId),
        address=_read_endpoint(message.address),
        idempotent=message.idempotent,
        max_flows=message.maxFlows,
        idle_timeout_ms=Millis(message.idleTimeoutMs),
        probe_interval_ms=Millis(message.probeIntervalMs),
        drain_limit_ms=Millis(message.drainLimitMs),
        objectives=objectives,
    )
