"""Kinds of scalar values in a settings file.

A kind validates a JSON value and converts it to a value of the models. If the value
is invalid, it reports a problem and returns None. JSON's null is invalid for every
kind.
"""

import os
import re
from dataclasses import dataclass
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import urlsplit

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.settings.location import Location, format_value

_NAME = re.compile(r"[a-z][a-z0-9-]{0,62}")


class Kind(Protocol):
    """Validator and converter for one kind of JSON value."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for error messages and the documentation."""

    def read(self, value: object, location: Location) -> Any | None:
        """Return the converted value, or report a problem and return None.

        Parameters
        ----------
        value : object
            Parsed JSON value.
        location : Location
            Location of the value; receives the problem.
        """


@dataclass(frozen=True, slots=True)
class Name:
    """A name of lowercase letters, digits and hyphens, like a host name label."""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return "a name of up to 63 small letters, digits and hyphens"

    def read(self, value: object, location: Location) -> str | None:
        """Return `value` if it is a valid name, or report a problem."""
        if isinstance(value, str) and _NAME.fullmatch(value):
            return value
        location.report(format_value(value), self.expected, "begin it with a letter")
        return None


@dataclass(frozen=True, slots=True)
class Choice:
    """One of a fixed set of strings.

    Attributes
    ----------
    options : tuple of str
        Allowed values.
    """

    options: tuple[str, ...]

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return "one of " + ", ".join(self.options)

    def read(self, value: object, location: Location) -> str | None:
        """Return `value` if it is one of the options, or report a problem."""
        if isinstance(value, str) and value in self.options:
            return value
        location.report(format_value(value), self.expected)
        return None


@dataclass(frozen=True, slots=True)
class Boolean:
    """True or false."""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return "true or false"

    def read(self, value: object, location: Location) -> bool | None:
        """Return `value` if it is a Boolean, or report a problem."""
        if isinstance(value, bool):
            return value
        location.report(format_value(value), self.expected, "write it without quotes")
        return None


@dataclass(frozen=True, slots=True)
class Integer:
    """An integer in a range.

    Attributes
    ----------
    minimum, maximum : int
        Bounds of the range, both inclusive.
    unit : str
        Unit of the value, for error messages; empty if it has none.
    """

    minimum: int
    maximum: int
    unit: str = ""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        unit = f" of {self.unit}" if self.unit else ""
        return f"a whole number{unit} from {self.minimum} to {self.maximum}"

    def read(self, value: object, location: Location) -> int | None:
        """Return `value` if it is an integer in the range, or report a problem."""
        if isinstance(value, bool) or not isinstance(value, int):
            location.report(format_value(value), self.expected, self._remedy())
            return None
        if not self.minimum <= value <= self.maximum:
            location.report(format_value(value), self.expected)
            return None
        return value

    def _remedy(self) -> str:
        if self.unit == MILLIS:
            return "write a duration as its number of ms, without quotes or unit"
        return "write it without quotes, fraction or unit"


MILLIS = "ms"


@dataclass(frozen=True, slots=True)
class Number:
    """An integer or a fraction in a range.

    Attributes
    ----------
    minimum, maximum : float
        Bounds of the range, both inclusive.
    """

    minimum: float
    maximum: float

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def read(self, value: object, location: Location) -> float | None:
        """Return `value` as a float if it is in the range, or report a problem."""
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if is_number and self.minimum <= float(value) <= self.maximum:  # type: ignore[arg-type]
            return float(value)  # type: ignore[arg-type]
        location.report(format_value(value), self.expected)
        return None


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IPv4 address and a port."""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return 'an IPv4 address and a port, such as "127.0.1.1:4401"'

    def read(self, value: object, location: Location) -> Endpoint | None:
        """Return the parsed endpoint, or report a problem."""
        try:
            return Endpoint.parse(value if isinstance(value, str) else "")
        except ValueError:
            location.report(
                format_value(value), self.expected, "host names aren't resolved"
            )
            return None


@dataclass(frozen=True, slots=True)
class IpAddress:
    """An IPv4 address without a port."""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return 'an IPv4 address, such as "127.0.0.11"'

    def read(self, value: object, location: Location) -> str | None:
        """Return the IPv4 address as text, or report a problem."""
        try:
            return str(IPv4Address(value if isinstance(value, str) else ""))
        except AddressValueError:
            location.report(format_value(value), self.expected)
            return None


@dataclass(frozen=True, slots=True)
class Url:
    """The base URL of an HTTP service."""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return 'a base URL, such as "http://127.0.0.1:2379"'

    def read(self, value: object, location: Location) -> str | None:
        """Return the URL without a trailing slash, or report a problem."""
        if isinstance(value, str):
            parts = urlsplit(value)
            if parts.scheme in ("http", "https") and parts.netloc:
                return value.rstrip("/")
        location.report(format_value(value), self.expected)
        return None


@dataclass(frozen=True, slots=True)
class ReadableFile:
    """Path of a readable file, relative to the settings file."""

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return "the path of a readable file, relative to the settings file"

    def read(self, value: object, location: Location) -> str | None:
        """Return the absolute path of the file, or report a problem."""
        if not isinstance(value, str) or not value:
            location.report(format_value(value), self.expected)
            return None
        path = (location.file.parent / Path(value)).resolve()
        if not path.is_file() or not os.access(path, os.R_OK):
            location.report(
                format_value(value), self.expected, f"no readable file at {path}"
            )
            return None
        return str(path)
