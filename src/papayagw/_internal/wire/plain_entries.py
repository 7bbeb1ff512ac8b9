"""Encoding of agents' entries in the store."""

import json

from papayagw._internal.exceptions import MALFORMED_JSON_ERRORS, DecodeError, Step
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.instance import AgentEntry

AGENT_PREFIX = "papayagw/agents/"
"""What the keys of agents' entries begin with; the name of the node follows."""


def agent_key(node: str) -> str:
    """Return the key of an agent's entry."""
    return AGENT_PREFIX + node


def encode_entry(entry: AgentEntry) -> bytes:
    """Return the value of an agent's entry."""
    fields = {
        "endpoint": str(entry.endpoint),
        "service": entry.service,
        "zone": entry.zone,
    }
    return json.dumps(fields).encode()


def decode_entry(key: str, value: bytes) -> AgentEntry:
    """Return an agent's entry.

    Raises
    ------
    DecodeError
        If the value isn't one.
    """
    try:
        fields = json.loads(value)
        endpoint = Endpoint.parse(fields["endpoint"])
        return AgentEntry(endpoint, str(fields["service"]), str(fields["zone"]))
    except MALFORMED_JSON_ERRORS as error:
        raise DecodeError(
            f"not an agent's entry: {error!r}", step=Step.DECODE, peer=key
        ) from error
