"""Validation and conversion of flag values that fire has already parsed."""

from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.endpoint import Endpoint

FlagList = str | int | tuple[object, ...] | list[object]
"""Value of a comma-separated flag; fire parses it to a tuple if it has a comma."""


def split_list(value: FlagList) -> tuple[str, ...]:
    """Return the items of a comma-separated flag as strings."""
    if isinstance(value, (tuple, list)):
        return tuple(str(item) for item in value)
    return tuple(word for word in str(value).split(",") if word)


def read_seconds(value: object, flag: str) -> Millis:
    """Convert the value of a flag from seconds to milliseconds.

    Raises
    ------
    SettingsError
        If `value` isn't a number above 0.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
        raise SettingsError(
            f"expected seconds, found {value!r}",
            step=Step.SETTINGS,
            remedy=f"give --{flag} a number above 0",
        )
    return Millis(int(value * MILLIS_PER_SECOND))


def read_endpoint(value: object, flag: str) -> Endpoint:
    """Return the endpoint given by a flag.

    Raises
    ------
    SettingsError
        If `value` isn't an IPv4 address, a colon and a port.
    """
    try:
        return Endpoint.parse(str(value))
    except ValueError as error:
        raise SettingsError(
            str(error), step=Step.SETTINGS, remedy=f"give --{flag} as ip:port"
        ) from error


def read_integer(value: object, flag: str) -> int:
    """Return the nonnegative integer given by a flag.

    Raises
    ------
    SettingsError
        If `value` isn't an integer, or is negative.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise SettingsError(
            f"expected a whole number from 0, found {value!r}",
            step=Step.SETTINGS,
            remedy=f"give --{flag} as digits",
        )
    return value
