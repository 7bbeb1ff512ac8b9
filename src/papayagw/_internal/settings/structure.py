"""Kinds of composite values: lists, maps and objects with known keys."""

import difflib
from collections.abc import Callable
from dataclasses import MISSING, dataclass, field, fields
from typing import Any

from papayagw._internal.settings.kinds import Kind
from papayagw._internal.settings.location import Location, format_value

_UNITS = ("ms", "s", "sec", "seconds", "millis", "minutes", "min")


@dataclass(frozen=True, slots=True)
class Key:
    """A key of an object and the attribute that it sets.

    Attributes
    ----------
    name : str
        Key in the settings file.
    attribute : str
        Attribute of the data class that receives the value.
    kind : Kind
        Kind of the value.
    default : object
        Value if the file doesn't have the key; `MISSING` if the key is required.
    """

    name: str
    attribute: str
    kind: Kind
    default: object

    @property
    def is_required(self) -> bool:
        """Whether the key has no default."""
        return self.default is MISSING


def make_keys(
    data_class: type, kinds: dict[str, Kind], renamed: dict[str, str] | None = None
) -> tuple[Key, ...]:
    """Return keys for the attributes of a data class, with its defaults.

    Parameters
    ----------
    data_class : type
        Data class that is created from the values.
    kinds : dict of str to Kind
        Kind of the value of each key.
    renamed : dict of str to str or None
        Attribute name of each key whose own name differs from it.
    """
    attributes = {attribute.name: attribute for attribute in fields(data_class)}
    keys = []
    for name, kind in kinds.items():
        attribute = attributes[(renamed or {}).get(name, name)]
        default = attribute.default
        if attribute.default_factory is not MISSING:
            default = attribute.default_factory()
        keys.append(Key(name, attribute.name, kind, default))
    return tuple(keys)


Build = Callable[[dict[str, Any], Location], Any]


@dataclass(frozen=True, slots=True)
class ObjectOf:
    """An object with known keys.

    Attributes
    ----------
    keys : tuple of Key
        All allowed keys.
    build : callable
        Function of the attribute values and the location. Returns the value, or
        reports a problem; it may then return None.
    """

    keys: tuple[Key, ...]
    build: Build
    _by_name: dict[str, Key] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_name = {key.name: key for key in self.keys}
        object.__setattr__(self, "_by_name", by_name)

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return "an object with keys " + ", ".join(self._by_name)

    def read(self, value: object, location: Location) -> Any | None:
        """Return the result of `build`, or report every problem in the object."""
        if not isinstance(value, dict):
            location.report(format_value(value), self.expected)
            return None
        all_known = self._report_unknown(value, location)
        values: dict[str, Any] = {}
        is_valid = all_known
        for key in self.keys:
            if key.name in value:
                values[key.attribute] = key.kind.read(
                    value[key.name], location.child(key.name)
                )
                is_valid = is_valid and values[key.attribute] is not None
            elif key.is_required:
                location.child(key.name).report("nothing", key.kind.expected, "add it")
                is_valid = False
        return self.build(values, location) if is_valid else None

    def _report_unknown(self, value: dict[str, Any], location: Location) -> bool:
        unknown = [name for name in value if name not in self._by_name]
        for name in unknown:
            member_location = location.child(name)
            member_location.report("an unknown key", "a known key", self._suggest(name))
        return not unknown

    def _suggest(self, name: str) -> str:
        """Return a remedy for an unknown key: a similar key, or all known keys."""
        stem, _, unit = name.rpartition("_")
        for candidate in (f"{name}_ms", f"{stem}_ms" if unit in _UNITS else ""):
            if candidate in self._by_name:
                return f"durations are in ms: write {candidate}"
        matches = difflib.get_close_matches(name, self._by_name, n=1)
        if matches:
            return f"did you mean {matches[0]}?"
        return "known keys: " + ", ".join(self._by_name)


@dataclass(frozen=True, slots=True)
class ListOf:
    """A list whose members are all of one kind.

    Attributes
    ----------
    member : Kind
        Kind of the members.
    min_length : int
        Minimum number of members.
    """

    member: Kind
    min_length: int = 1

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return f"a list of at least {self.min_length}, each {self.member.expected}"

    def read(self, value: object, location: Location) -> tuple[Any, ...] | None:
        """Return the converted members, or report every problem in them."""
        if not isinstance(value, list) or len(value) < self.min_length:
            location.report(format_value(value), self.expected)
            return None
        members = [
            self.member.read(item, location.child(index))
            for index, item in enumerate(value)
        ]
        return None if None in members else tuple(members)


@dataclass(frozen=True, slots=True)
class MapOf:
    """An object whose keys are chosen by the operator, such as service names.

    Attributes
    ----------
    name : Kind
        Kind of the keys.
    member : Kind
        Kind of the values.
    """

    name: Kind
    member: Kind

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        return f"an object with at least one name, each with {self.member.expected}"

    def read(self, value: object, location: Location) -> tuple[Any, ...] | None:
        """Return the values in file order, or report every problem in them."""
        if not isinstance(value, dict) or not value:
            location.report(format_value(value), self.expected)
            return None
        members = []
        for name, item in value.items():
            member_location = location.child(name)
            member_name = self.name.read(name, member_location)
            member = self.member.read(item, member_location)
            members.append(None if member_name is None else member)
        return None if None in members else tuple(members)
