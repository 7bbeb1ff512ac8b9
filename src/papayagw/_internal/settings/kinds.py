"""The kinds of values that a settings file holds.

A kind reads a JSON value into a value of the models, or reports why it can't and
returns None. JSON's null is no valid value of any kind.
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
    """A kind of value."""

    @property
    def expected(self) -> str:
        """What a value of this kind looks like, for messages and the docs."""

    def read(self, value: object, location: Location) -> Any | None:
        """Return the value in the models' terms, or report a problem."""


@dataclass(frozen=True, slots=True)
class Name:
    """A name of letters, digits and hyphens, as in a host name."""

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return "a name of up to 63 small letters, digits and hyphens"

    def read(self, value: object, location: Location) -> str | None:
        """Return the name, or report a problem."""
        if isinstance(value, str) and _NAME.fullmatch(value):
            return value
        location.report(format_value(value), self.expected, "begin it with a letter")
        return None


@dataclass(frozen=True, slots=True)
class Choice:
    """One of a few words.

    Attributes
    ----------
    words : tuple of str
        The words.
    """

    options: tuple[str, ...]

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return "one of " + ", ".join(self.options)

    def read(self, value: object, location: Location) -> str | None:
        """Return the word, or report a problem."""
        if isinstance(value, str) and value in self.options:
            return value
        location.report(format_value(value), self.expected)
        return None


@dataclass(frozen=True, slots=True)
class Boolean:
    """True or false."""

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return "true or false"

    def read(self, value: object, location: Location) -> bool | None:
        """Return the flag, or report a problem."""
        if isinstance(value, bool):
            return value
        location.report(format_value(value), self.expected, "write it without quotes")
        return None


@dataclass(frozen=True, slots=True)
class Integer:
    """A whole number in a range.

    Attributes
    ----------
    least, most : int
        The ends of the range, which belong to it.
    unit : str
        What is counted.
    """

    minimum: int
    maximum: int
    unit: str = ""

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        unit = f" of {self.unit}" if self.unit else ""
        return f"a whole number{unit} from {self.minimum} to {self.maximum}"

    def read(self, value: object, location: Location) -> int | None:
        """Return the number, or report a problem."""
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
    """A number in a range.

    Attributes
    ----------
    least, most : float
        The ends of the range, which belong to it.
    """

    minimum: float
    maximum: float

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def read(self, value: object, location: Location) -> float | None:
        """Return the number, or report a problem."""
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if is_number and self.minimum <= float(value) <= self.maximum:  # type: ignore[arg-type]
            return float(value)  # type: ignore[arg-type]
        location.report(format_value(value), self.expected)
        return None


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IPv4 number and a port."""

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return 'an IPv4 number and a port, such as "127.0.1.1:4401"'

    def read(self, value: object, location: Location) -> Endpoint | None:
        """Return the endpoint, or report a problem."""
        try:
            return Endpoint.parse(value if isinstance(value, str) else "")
        except ValueError:
            location.report(
                format_value(value), self.expected, "names aren't looked up"
            )
            return None


@dataclass(frozen=True, slots=True)
class IpAddress:
    """An IPv4 number."""

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return 'an IPv4 number, such as "127.0.0.11"'

    def read(self, value: object, location: Location) -> str | None:
        """Return the number, or report a problem."""
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
        """What a value of this kind looks like."""
        return 'a base URL, such as "http://127.0.0.1:2379"'

    def read(self, value: object, location: Location) -> str | None:
        """Return the URL without a slash at its end, or report a problem."""
        if isinstance(value, str):
            parts = urlsplit(value)
            if parts.scheme in ("http", "https") and parts.netloc:
                return value.rstrip("/")
        location.report(format_value(value), self.expected)
        return None


@dataclass(frozen=True, slots=True)
class ReadableFile:
    """A file that this process may read, relative to the settings file."""

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return "the path of a readable file, relative to the settings file"

    def read(self, value: object, location: Location) -> str | None:
        """Return the absolute path, or report a problem."""
        if not isinstance(value, str) or not value:
            location.report(format_value(value), self.expected)
            return None
        path = (location.file.parent / Path(value)).resolve()
        if not path.is_file() or not os.access(path, os.R_OK):
            location.report(
                format_value(value), self.expected, f"there is none at {path}"
            )
            return None
        return str(path)
