"""Encoding of the agents' entries in the store."""

import json

from papayagw._internal.exceptions import MALFORMED_JSON_ERRORS, DecodeError, Step
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.fields import check_name
from papayagw._internal.models.plain.instance import AgentEntry

SYSTEM_PREFIX = "papayagw/"
"""Prefix of all store keys that balancers and agents write."""

AGENT_PREFIX = SYSTEM_PREFIX + "agents/"
"""Prefix of the store keys of agents' entries; the name of the agent's node follows."""


def agent_key(node: str) -> str:
    """Return the store key of the agent on `node`."""
    return AGENT_PREFIX + node


def encode_entry(entry: AgentEntry) -> bytes:
    """Encode an agent's entry as JSON."""
    fields = {
        "endpoint": str(entry.endpoint),
        "service": entry.service,
        "zone": entry.zone,
    }
    return json.dumps(fields).encode()


def decode_entry(key: str, value: bytes) -> AgentEntry:
    """Decode an agent's entry.

    Raises
    ------
    DecodeError
        If `value` isn't a valid entry.
    """
    try:
        fields = json.loads(value)
        endpoint = Endpoint.parse(fields["endpoint"])
        service = check_name(fields["service"], "service")
        return AgentEntry(endpoint, service, check_name(fields["zone"], "zone"))
    except MALFORMED_JSON_ERRORS as error:
        raise DecodeError(
            f"malformed agent entry: {error!r}", step=Step.DECODE, peer=key
        ) from error
