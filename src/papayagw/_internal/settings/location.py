"""Location of a value in the settings files, with the problems found so far."""

import json
from collections.abc import Callable
from pathlib import Path

from papayagw._internal.settings.problem import Problems, SettingsProblem

KeyPath = tuple[str, ...]

_MAX_SHOWN_CHARACTERS = 60


class Location:
    """Location of a value: its file and its key path.

    All locations created from one root share one list of problems.

    Parameters
    ----------
    find_file : callable
        Function that returns the file that sets the value at a key path.
    path : tuple of str
        Keys from the root of the document to the value.
    problems : list of SettingsProblem or None
        List to which problems are added; None starts a new one.
    """

    def __init__(
        self,
        find_file: Callable[[KeyPath], Path],
        path: KeyPath = (),
        problems: list[SettingsProblem] | None = None,
    ):
        self._find_file = find_file
        self._path = path
        self._problems: list[SettingsProblem] = [] if problems is None else problems

    @property
    def problems(self) -> Problems:
        """All problems reported so far, at any location of the document."""
        return tuple(self._problems)

    @property
    def name(self) -> str:
        """Last key of the path, empty at the root."""
        return self._path[-1] if self._path else ""

    @property
    def file(self) -> Path:
        """The file that sets the value."""
        return self._find_file(self._path)

    def child(self, key: str | int) -> "Location":
        """Return the location of the member `key`."""
        path = (*self._path, str(key))
        return Location(self._find_file, path, self._problems)

    def report(self, found: str, expected: str, remedy: str = "") -> None:
        """Add a problem with the value at this location.

        Parameters
        ----------
        found, expected : str
            What the file has, and what it should have.
        remedy : str
            What the operator should do; empty if `expected` already says it.
        """
        path = ".".join(self._path)
        problem = SettingsProblem(str(self.file), path, found, expected, remedy)
        self._problems.append(problem)


def format_value(value: object) -> str:
    """Return a value as JSON for an error message, cut to 60 characters."""
    text = json.dumps(value, default=str)
    if len(text) > _MAX_SHOWN_CHARACTERS:
        text = text[: _MAX_SHOWN_CHARACTERS - 3] + "..."
    return text
