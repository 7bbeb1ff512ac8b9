"""Conversion of frozen data classes to and from JSON-compatible values."""

from collections.abc import Callable
from dataclasses import MISSING, fields, is_dataclass
from enum import Enum
from functools import cache
from types import NoneType, UnionType
from typing import Any, NewType, TypeVar, Union, get_args, get_origin, get_type_hints

from returns.result import safe

ValueT = TypeVar("ValueT")


def to_json_value(value: object) -> Any:
    """Return `value` with data classes as dicts, tuples as lists, enums by value."""
    if is_dataclass(value):
        return {
            one.name: to_json_value(getattr(value, one.name)) for one in fields(value)
        }
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, (tuple, list)):
        return [to_json_value(one) for one in value]
    return value


@safe(exceptions=(ValueError,))
def from_json_value(kind: type[ValueT], value: object) -> ValueT:
    """Build an instance of data class `kind` from a JSON-compatible value.

    Unknown keys are ignored, so that the output of newer nodes can be read. A missing
    key without a default, or a value of the wrong type, is a failure whose message
    gives the path of the field.
    """
    converted: ValueT = _convert(kind, value, kind.__name__)
    return converted


def _convert(kind: Any, value: object, path: str) -> Any:
    """Convert `value` to the type `kind`; `path` names the field in errors."""
    if isinstance(kind, NewType):
        return _convert(kind.__supertype__, value, path)
    if is_dataclass(kind):
        return _convert_dataclass(kind, value, path)
    if get_origin(kind) is tuple:
        return _convert_tuple(get_args(kind)[0], value, path)
    if get_origin(kind) in (Union, UnionType):
        return _convert_optional(kind, value, path)
    if issubclass(kind, Enum):
        return _convert_enum(kind, value, path)
    return _convert_scalar(kind, value, path)


def _convert_dataclass(kind: Any, value: object, path: str) -> Any:
    if not isinstance(value, dict):
        raise _make_mismatch_error("an object", value, path)
    hints = _get_type_hints(kind)
    arguments: dict[str, Any] = {}
    for one in fields(kind):
        if one.name in value:
            at = f"{path}.{one.name}"
            arguments[one.name] = _convert(hints[one.name], value[one.name], at)
        elif one.default is MISSING and one.default_factory is MISSING:
            raise ValueError(f"{path}.{one.name} is missing")
    return kind(**arguments)


@cache
def _get_type_hints(kind: type) -> dict[str, Any]:
    return get_type_hints(kind)


def _convert_tuple(kind: Any, value: object, path: str) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise _make_mismatch_error("a list", value, path)
    if kind is int and all(type(one) is int for one in value):
        return tuple(value)
    return tuple(_convert(kind, one, f"{path}[{at}]") for at, one in enumerate(value))


def _convert_optional(kind: Any, value: object, path: str) -> Any:
    if value is None:
        return None
    inner = next(one for one in get_args(kind) if one is not NoneType)
    return _convert(inner, value, path)


def _convert_enum(kind: Callable[[object], Any], value: object, path: str) -> Any:
    try:
        return kind(value)
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from error


def _convert_scalar(kind: type, value: object, path: str) -> Any:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise _make_mismatch_error(kind.__name__, value, path)
    return value


def _make_mismatch_error(expected: str, value: object, path: str) -> ValueError:
    """Return the error for a value of the wrong type at `path`."""
    return ValueError(f"{path}: expected {expected}, found {value!r:.60}")
