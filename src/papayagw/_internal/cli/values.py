"""Reading of flag values, which the command-line library has already parsed."""

FlagList = str | int | tuple[object, ...] | list[object]
"""A flag with commas: the library makes a tuple of it when it has any."""


def split_list(value: FlagList) -> tuple[str, ...]:
    """Return the words of a flag that holds a list with commas."""
    if isinstance(value, (tuple, list)):
        return tuple(str(one) for one in value)
    return tuple(word for word in str(value).split(",") if word)
