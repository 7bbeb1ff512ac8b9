"""Kinds that hold other kinds: lists, maps and objects with known keys."""

import difflib
from collections.abc import Callable
from dataclasses import MISSING, dataclass, field, fields
from typing import Any

from papayagw._internal.settings.kinds import Kind
from papayagw._internal.settings.place import Place, show

_UNITS = ("ms", "s", "sec", "seconds", "millis", "minutes", "min")


@dataclass(frozen=True, slots=True)
class Key:
    """One key of an object.

    Attributes
    ----------
    name : str
        The key in the file.
    attribute : str
        The attribute of the data class that takes the value.
    kind : Kind
        The kind of its value.
    default : object
        The value where the file has none; `MISSING` if it must have one.
    """

    name: str
    attribute: str
    kind: Kind
    default: object

    @property
    def is_required(self) -> bool:
        """Whether the file must have this key."""
        return self.default is MISSING


def make_keys(
    data_class: type, kinds: dict[str, Kind], renamed: dict[str, str] | None = None
) -> tuple[Key, ...]:
    """Return the keys that fill a data class, with its defaults.

    Parameters
    ----------
    data_class : type
        The data class.
    kinds : dict of str to Kind
        The kind of each key.
    renamed : dict of str to str or None
        The attributes of keys that aren't called as their attributes are.
    """
    attributes = {one.name: one for one in fields(data_class)}
    keys = []
    for name, kind in kinds.items():
        attribute = attributes[(renamed or {}).get(name, name)]
        default = attribute.default
        if attribute.default_factory is not MISSING:
            default = attribute.default_factory()
        keys.append(Key(name, attribute.name, kind, default))
    return tuple(keys)


Build = Callable[[dict[str, Any], Place], Any]


@dataclass(frozen=True, slots=True)
class ObjectOf:
    """An object with known keys.

    Attributes
    ----------
    keys : tuple of Key
        The known keys.
    build : callable
        Makes the value from the attributes; returns None where it reports a problem.
    """

    keys: tuple[Key, ...]
    build: Build
    _by_name: dict[str, Key] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_name = {key.name: key for key in self.keys}
        object.__setattr__(self, "_by_name", by_name)

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return "an object with keys " + ", ".join(self._by_name)

    def read(self, value: object, place: Place) -> Any | None:
        """Return the object, or report every problem in it."""
        if not isinstance(value, dict):
            place.report(show(value), self.expected)
            return None
        known = self._report_unknown(value, place)
        values: dict[str, Any] = {}
        whole = known
        for key in self.keys:
            if key.name in value:
                values[key.attribute] = key.kind.read(
                    value[key.name], place.enter(key.name)
                )
                whole = whole and values[key.attribute] is not None
            elif key.is_required:
                place.enter(key.name).report("nothing", key.kind.expected, "add it")
                whole = False
        return self.build(values, place) if whole else None

    def _report_unknown(self, value: dict[str, Any], place: Place) -> bool:
        unknown = [name for name in value if name not in self._by_name]
        for name in unknown:
            inside = place.enter(name)
            inside.report("an unknown key", "a known one", self._suggest(name))
        return not unknown

    def _suggest(self, name: str) -> str:
        stem, _, unit = name.rpartition("_")
        for candidate in (f"{name}_ms", f"{stem}_ms" if unit in _UNITS else ""):
            if candidate in self._by_name:
                return f"durations are in ms: write {candidate}"
        near = difflib.get_close_matches(name, self._by_name, n=1)
        if near:
            return f"did you mean {near[0]}?"
        return "known are " + ", ".join(self._by_name)


@dataclass(frozen=True, slots=True)
class ListOf:
    """A list of one kind.

    Attributes
    ----------
    member : Kind
        The kind of its members.
    least : int
        The fewest members.
    """

    member: Kind
    least: int = 1

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return f"a list of at least {self.least}, each {self.member.expected}"

    def read(self, value: object, place: Place) -> tuple[Any, ...] | None:
        """Return the members, or report every problem in them."""
        if not isinstance(value, list) or len(value) < self.least:
            place.report(show(value), self.expected)
            return None
        members = [
            self.member.read(one, place.enter(index)) for index, one in enumerate(value)
        ]
        return None if None in members else tuple(members)


@dataclass(frozen=True, slots=True)
class MapOf:
    """An object whose keys are names that the operators choose.

    Attributes
    ----------
    name : Kind
        The kind of its keys.
    member : Kind
        The kind of its values.
    """

    name: Kind
    member: Kind

    @property
    def expected(self) -> str:
        """What a value of this kind looks like."""
        return f"an object with at least one name, each with {self.member.expected}"

    def read(self, value: object, place: Place) -> tuple[Any, ...] | None:
        """Return the members in their order, or report every problem in them."""
        if not isinstance(value, dict) or not value:
            place.report(show(value), self.expected)
            return None
        members = []
        for name, one in value.items():
            inside = place.enter(name)
            named = self.name.read(name, inside)
            member = self.member.read(one, inside)
            members.append(None if named is None else member)
        return None if None in members else tuple(members)
