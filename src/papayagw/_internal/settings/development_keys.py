"""Generation of development certificates (X.509, RFC 5280) and of fleet keys."""

import secrets
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from papayagw._internal.models.configuration import KEY_BYTES

_VALID_FOR = timedelta(days=90)
_PRIVATE_MODE = 0o600


@dataclass(frozen=True, slots=True)
class KeyFiles:
    """Paths of the generated certificates and keys.

    Attributes
    ----------
    authority : Path
        Certificate of the authority, which callers trust.
    certificate : Path
        Certificate that agents present in the TLS handshake.
    private_key : Path
        Private key that belongs to `certificate`.
    fleet_key : Path
        Secret shared by all processes of the site.
    """

    authority: Path
    certificate: Path
    private_key: Path
    fleet_key: Path


def make_development_keys(folder: Path, names: tuple[str, ...]) -> KeyFiles:
    """Generate an authority, a certificate for `names` and a fleet key in `folder`.

    Parameters
    ----------
    folder : Path
        Created if it doesn't exist.
    names : tuple of str
        DNS names of the certificate; the first one is also its common name.
    """
    folder.mkdir(parents=True, exist_ok=True)
    authority_key = ec.generate_private_key(ec.SECP256R1())
    server_key = ec.generate_private_key(ec.SECP256R1())
    issuer = _make_name("papayagw development authority")
    authority = (
        _make_certificate_builder(issuer, issuer, authority_key.public_key())
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(authority_key, hashes.SHA256())
    )
    alternative_names = x509.SubjectAlternativeName(
        [x509.DNSName(name) for name in names]
    )
    certificate = (
        _make_certificate_builder(_make_name(names[0]), issuer, server_key.public_key())
        .add_extension(alternative_names, critical=False)
        .sign(authority_key, hashes.SHA256())
    )
    files = KeyFiles(
        folder / "ca.pem",
        folder / "cert.pem",
        folder / "key.pem",
        folder / "fleet.key",
    )
    files.authority.write_bytes(authority.public_bytes(serialization.Encoding.PEM))
    files.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    private_key = server_key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    _write_private(files.private_key, private_key)
    _write_private(files.fleet_key, secrets.token_hex(KEY_BYTES).encode() + b"\n")
    return files


def _write_private(path: Path, content: bytes) -> None:
    """Write a file; if it is new, only its owner can read or write it."""
    path.touch(mode=_PRIVATE_MODE)
    path.write_bytes(content)


def _make_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _make_certificate_builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey
) -> x509.CertificateBuilder:
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(minutes=5))
        .not_valid_after(now + _VALID_FOR)
    )
