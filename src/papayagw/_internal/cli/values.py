"""Reading of flag values, which the command-line library has already parsed."""

from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.models.endpoint import Endpoint

FlagList = str | int | tuple[object, ...] | list[object]
"""A flag with commas: the library makes a tuple of it when it has any."""


def split_list(value: FlagList) -> tuple[str, ...]:
    """Return the words of a flag that holds a list with commas."""
    if isinstance(value, (tuple, list)):
        return tuple(str(one) for one in value)
    return tuple(word for word in str(value).split(",") if word)


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
