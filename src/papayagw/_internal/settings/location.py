"""Where in a settings file a value stands, and the problems found so far."""

import json
from collections.abc import Callable
from pathlib import Path

from papayagw._internal.settings.problem import Problems, SettingsProblem

KeyPath = tuple[str, ...]

_MAX_SHOWN_CHARACTERS = 60


class Location:
    """A value's place; all places of one file share their list of problems.

    Parameters
    ----------
    find_file : callable
        Returns the file from which the value at a path came.
    path : tuple of str
        The keys that lead to the value.
    problems : list of SettingsProblem or None
        Where problems are collected; None starts a list.
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
        """All problems of the file so far."""
        return tuple(self._problems)

    @property
    def name(self) -> str:
        """The last key of the path."""
        return self._path[-1] if self._path else ""

    @property
    def file(self) -> Path:
        """The file from which the value came."""
        return self._find_file(self._path)

    def child(self, key: str | int) -> "Location":
        """Return the place of a member."""
        path = (*self._path, str(key))
        return Location(self._find_file, path, self._problems)

    def report(self, found: str, expected: str, remedy: str = "") -> None:
        """Note a problem of the value here."""
        path = ".".join(self._path)
        problem = SettingsProblem(str(self.file), path, found, expected, remedy)
        self._problems.append(problem)


def format_value(value: object) -> str:
    """Return a value as a message shows it."""
    text = json.dumps(value, default=str)
    if len(text) > _MAX_SHOWN_CHARACTERS:
        text = text[: _MAX_SHOWN_CHARACTERS - 3] + "..."
    return text
