"""Frozen data classes to and from the plain values that JSON has."""

from collections.abc import Callable
from dataclasses import MISSING, fields, is_dataclass
from enum import Enum
from functools import cache
from types import NoneType, UnionType
from typing import Any, NewType, TypeVar, Union, get_args, get_origin, get_type_hints

from returns.result import safe

T = TypeVar("T")


def to_plain(value: object) -> Any:
    """Return `value` with data classes as dictionaries and tuples as lists."""
    if is_dataclass(value):
        return {one.name: to_plain(getattr(value, one.name)) for one in fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, (tuple, list)):
        return [to_plain(one) for one in value]
    return value


@safe(exceptions=(ValueError,))
def from_plain(kind: type[T], value: object) -> T:
    """Return the object of data class `kind` that `value` describes.

    Unknown keys are passed over, so that a newer node can be read; a missing key
    without a default, or a value of another type, is a failure that says where.
    """
    made: T = _read(kind, value, kind.__name__)
    return made


def _read(kind: Any, value: object, path: str) -> Any:
    if isinstance(kind, NewType):
        return _read(kind.__supertype__, value, path)
    if is_dataclass(kind):
        return _read_dataclass(kind, value, path)
    if get_origin(kind) is tuple:
        return _read_tuple(get_args(kind)[0], value, path)
    if get_origin(kind) in (Union, UnionType):
        return _read_optional(kind, value, path)
    if issubclass(kind, Enum):
        return _read_enum(kind, value, path)
    return _read_scalar(kind, value, path)


def _read_dataclass(kind: Any, value: object, path: str) -> Any:
    if not isinstance(value, dict):
        raise _mismatch("an object", value, path)
    hints = _find_hints(kind)
    found: dict[str, Any] = {}
    for one in fields(kind):
        if one.name in value:
            at = f"{path}.{one.name}"
            found[one.name] = _read(hints[one.name], value[one.name], at)
        elif one.default is MISSING and one.default_factory is MISSING:
            raise ValueError(f"{path}.{one.name} is missing")
    return kind(**found)


@cache
def _find_hints(kind: type) -> dict[str, Any]:
    return get_type_hints(kind)


def _read_tuple(kind: Any, value: object, path: str) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise _mismatch("a list", value, path)
    if kind is int and all(type(one) is int for one in value):
        return tuple(value)
    return tuple(_read(kind, one, f"{path}[{at}]") for at, one in enumerate(value))


def _read_optional(kind: Any, value: object, path: str) -> Any:
    if value is None:
        return None
    inner = next(one for one in get_args(kind) if one is not NoneType)
    return _read(inner, value, path)


def _read_enum(kind: Callable[[object], Any], value: object, path: str) -> Any:
    try:
        return kind(value)
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from error


def _read_scalar(kind: type, value: object, path: str) -> Any:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise _mismatch(kind.__name__, value, path)
    return value


def _mismatch(expected: str, value: object, path: str) -> ValueError:
    return ValueError(f"{path}: expected {expected}, found {value!r:.60}")
