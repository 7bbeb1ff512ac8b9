"""Keys derived from the fleet keys of a configuration.

Each purpose has its own key, derived with HKDF (RFC 5869), so that a tag, an envelope
and a control message are never accepted in place of one another.
"""

from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from papayagw._internal.models.configuration import FleetKey


def derive_key(fleet_key: FleetKey, purpose: str, length: int) -> bytes:
    """Derive a key of `length` bytes for one purpose.

    Parameters
    ----------
    fleet_key : FleetKey
        The secret to derive from.
    purpose : str
        Label of the purpose; two purposes never share a key.
    length : int
        The length of the key, in bytes.
    """
    hkdf = HKDF(SHA256(), length, salt=None, info=f"papayagw {purpose}".encode())
    return hkdf.derive(fleet_key.secret)
