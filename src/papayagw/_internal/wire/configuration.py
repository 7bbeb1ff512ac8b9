"""Encoding of configurations as packed Cap'n Proto messages.

The platform's service stores the same bytes that peers exchange, so a node can write
its own copy back byte for byte. The stored value needn't be text, since the commands
decode it for operators.
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
    SubmissionEntry,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Objectives, Service, ServiceId

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("configuration.capnp")))


def write_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration."""
    message = SCHEMA.Configuration.new_message(
        **make_configuration_fields(configuration)
    )
    written: bytes = message.to_bytes_packed()
    return written


def make_configuration_fields(configuration: Configuration) -> dict[str, Any]:
    """Return the message fields of a configuration."""
    site = configuration.site
    return {
        "version": configuration.version,
        "history": [write_submission_entry(one) for one in configuration.history],
        "name": site.name,
        "controlAddress": write_endpoint(site.control_address),
        "zones": list(site.zones),
        "services": [write_service(one) for one in site.services],
        "keys": [write_key(one) for one in site.keys],
    }


def read_configuration(data: bytes) -> Result[Configuration, DecodeError]:
    """Decode a configuration, or return an error that says why `data` is invalid."""
    try:
        message = SCHEMA.Configuration.from_bytes_packed(data)
        return Success(read_configuration_message(message))
    except (capnp.KjException, ValueError) as error:
        return Failure(_make_decode_error(str(error).splitlines()[0]))


def _make_decode_error(cause: str) -> DecodeError:
    return DecodeError(
        f"not a configuration: {cause}",
        step=Step.DECODE,
        remedy="submit the site again with this release",
    )


def read_configuration_message(message: Any) -> Configuration:
    """Decode the configuration in a message.

    Raises
    ------
    ValueError
        If a field holds an invalid value.
    """
    site = Site(
        name=message.name,
        control_address=read_endpoint(message.controlAddress),
        zones=tuple(message.zones),
        services=tuple(read_service(one) for one in message.services),
        keys=tuple(read_key(one) for one in message.keys),
    )
    if not (site.services and site.keys):
        raise ValueError("site has no services or no fleet keys")
    history = tuple(read_submission_entry(one) for one in message.history)
    return Configuration(message.version, site, history)


def read_key(message: Any) -> FleetKey:
    """Decode the fleet key in a message."""
    secret = bytes(message.secret)
    if len(secret) != KEY_BYTES:
        raise ValueError("secret of a fleet key has the wrong length")
    return FleetKey(message.keyId, secret)


def write_key(key: FleetKey) -> dict[str, Any]:
    """Return the message fields of a fleet key."""
    return {"keyId": key.key_id, "secret": key.secret}


def read_submission_entry(message: Any) -> SubmissionEntry:
    """Decode the submission entry in a message."""
    return SubmissionEntry(message.version, message.submissionId, message.operator)


def write_submission_entry(entry: SubmissionEntry) -> dict[str, Any]:
    """Return the message fields of a submission entry."""
    return {
        "version": entry.version,
        "submissionId": entry.submission_id,
        "operator": entry.operator,
    }


def write_endpoint(endpoint: Endpoint) -> dict[str, int]:
    """Return the message fields of an endpoint."""
    return {"ip": int(IPv4Address(endpoint.ip)), "port": endpoint.port}


def read_endpoint(message: Any) -> Endpoint:
    """Decode the endpoint in a message."""
    if not message.port:
        raise ValueError("endpoint has no port")
    return Endpoint(str(IPv4Address(message.ip)), message.port)


def write_service(service: Service) -> dict[str, Any]:
    """Return the message fields of a service."""
    return {
        "name": service.name,
        "serviceId": service.service_id,
        "address": write_endpoint(service.address),
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


def read_service(message: Any) -> Service:
    """Decode the service in a message."""
    objectives = Objectives(
        availability=message.availability,
        latency_ms=Millis(message.latencyMs),
        latency_share=message.latencyShare,
        imbalance=message.imbalance,
    )
    return Service(
        name=message.name,
        service_id=ServiceId(message.serviceId),
        address=read_endpoint(message.address),
        idempotent=message.idempotent,
        max_flows=message.maxFlows,
        idle_timeout_ms=Millis(message.idleTimeoutMs),
        probe_interval_ms=Millis(message.probeIntervalMs),
        drain_limit_ms=Millis(message.drainLimitMs),
        objectives=objectives,
    )
