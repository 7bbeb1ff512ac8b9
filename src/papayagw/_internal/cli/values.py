"""Reading of flag values, which the command-line library has already parsed."""

from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.endpoint import Endpoint

FlagList = str | int | tuple[object, ...] | list[object]
"""A flag with commas: the library makes a tuple of it when it has any."""


def split_list(value: FlagList) -> tuple[str, ...]:
    """Return the words of a flag that holds a list with commas."""
    if isinstance(value, (tuple, list)):
        return tuple(str(item) for item in value)
    return tuple(word for word in str(value).split(",") if word)


def read_seconds(value: object, flag: str) -> Millis:
    """Return the duration that a flag gives in seconds.

    Raises
    ------
    SettingsError
        If it isn't a number above 0.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
        raise SettingsError(
            f"expected seconds, found {value!r}",
            step=Step.SETTINGS,
            remedy=f"give --{flag} a number above 0",
        )
    return Millis(int(value * MILLIS_PER_SECOND))


def read_endpoint(value: object, flag: str) -> Endpoint:
    """Return the endpoint that a flag holds.

    Raises
    ------
    SettingsError
        If it isn't an IPv4 number, a colon and a port.
    """
    try:
        return Endpoint.parse(str(value))
    except ValueError as error:
        raise SettingsError(
            str(error), step=Step.SETTINGS, remedy=f"give --{flag} as ip:port"
        ) from error


def read_integer(value: object, flag: str) -> int:
    """Return the whole number that a flag holds.

    Raises
    ------
    SettingsError
        If it isn't one, or below 0.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise SettingsError(
            f"expected a whole number, found {value!r}",
            step=Step.SETTINGS,
            remedy=f"give --{flag} as digits",
        )
    return value
