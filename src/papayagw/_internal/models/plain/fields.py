"""Checks of the fields of messages and entries that other processes write."""

from math import inf
from typing import Any

MAX_NAME_BYTES = 255
"""Maximum length of a name in UTF-8; frames give it in one byte."""

_MAX_INTEGER = 2**63 - 1
"""Largest number that frames and counters hold."""


def is_integer(value: object) -> bool:
    """Return whether a value is a whole number that 64 bits hold, not a boolean."""
    return type(value) is int and -_MAX_INTEGER <= value <= _MAX_INTEGER


def check_name(value: object, field: str) -> str:
    """Return the name that a field holds.

    Raises
    ------
    ValueError
        If it holds no valid text of 1 to `MAX_NAME_BYTES` bytes.
    """
    # JSON can express half of a surrogate pair, for which `encode` raises a ValueError.
    if isinstance(value, str) and 1 <= len(value.encode()) <= MAX_NAME_BYTES:
        return value
    raise ValueError(
        f"{field}: expected a text of 1 to {MAX_NAME_BYTES} bytes, "
        f"found {type(value).__name__}"
    )


def check_count(value: object, field: str) -> int:
    """Return the number that a field holds, without a fraction.

    Raises
    ------
    ValueError
        If it holds no number, or one that is negative or exceeds 63 bits.
    """
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not 0 <= value <= _MAX_INTEGER
    ):
        raise ValueError(
            f"{field}: expected a number from 0 to {_MAX_INTEGER}, "
            f"found {type(value).__name__}"
        )
    return int(value)


def check_weight(value: Any) -> float:
    """Return the weight that a field holds.

    Raises
    ------
    ValueError
        If it is negative, infinite or no number.
    """
    weight = float(value)
    if not 0 <= weight < inf:
        raise ValueError(f"weight: expected a number from 0, found {weight}")
    return weight
