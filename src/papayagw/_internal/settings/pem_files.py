"""Kinds of values that name PEM files of certificates and keys (RFC 7468)."""

from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from papayagw._internal.settings.kinds import ReadableFile
from papayagw._internal.settings.location import Location

_KEYS_REMEDY = "for trials, create one with papayagw keys make"


class CertificateFile:
    """Path of a PEM file with a certificate, optionally followed by its issuers'."""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return (
            "the path of a PEM file with a certificate, relative to the settings file"
        )

    def read(self, value: object, location: Location) -> str | None:
        """Return the absolute path of the file, or report a problem."""
        path = ReadableFile().read(value, location)
        if path is None:
            return None
        try:
            x509.load_pem_x509_certificates(Path(path).read_bytes())
        except (OSError, ValueError):
            location.report(f"no certificate in {path}", self.expected, _KEYS_REMEDY)
            return None
        return path


class PrivateKeyFile:
    """Path of a PEM file with an unencrypted private key."""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return (
            "the path of a PEM file with a private key, relative to the settings file"
        )

    def read(self, value: object, location: Location) -> str | None:
        """Return the absolute path of the file, or report a problem."""
        path = ReadableFile().read(value, location)
        if path is None:
            return None
        try:
            load_pem_private_key(Path(path).read_bytes(), password=None)
        except (OSError, ValueError, TypeError):
            location.report(f"no private key in {path}", self.expected, _KEYS_REMEDY)
            return None
        return path


def is_pair(certificate: str, private_key: str) -> bool:
    """Return whether a private key belongs to a certificate.

    Both paths must name valid PEM files; a chain's first certificate is compared.
    """
    leaf = x509.load_pem_x509_certificates(Path(certificate).read_bytes())[0]
    key = load_pem_private_key(Path(private_key).read_bytes(), password=None)
    return leaf.public_key() == key.public_key()
