"""Reading of JSON with comments."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import json5
from returns.result import Failure, Result, Success

from papayagw._internal.settings.place import Place, show
from papayagw._internal.settings.problem import Problems, SettingsProblem

Document = dict[str, Any]


class _Members(dict[str, Any]):
    """An object that remembers which of its keys stood in the file twice."""

    def __init__(self, pairs: list[tuple[str, Any]]):
        super().__init__(pairs)
        seen: set[str] = set()
        self.repeated: list[str] = []
        for name, _ in pairs:
            if name in seen:
                self.repeated.append(name)
            seen.add(name)


def read_document(path: Path) -> Result[Document, Problems]:
    """Return the object that a file holds.

    Parameters
    ----------
    path : Path
        A file of JSON with comments.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        found = getattr(error, "strerror", None) or "bytes that aren't UTF-8"
        return _fail(path, found, "a readable file of JSON with comments")
    try:
        value = json5.loads(text, object_pairs_hook=_make_members)
    except (ValueError, RecursionError) as error:
        found = str(error).replace("<string>:", "line ")
        return _fail(path, found, "JSON with comments")
    if not isinstance(value, _Members):
        return _fail(path, show(value), "an object")
    place = Place(lambda _: path)
    _report_repeated(value, place)
    return Failure(place.problems) if place.problems else Success(value)


def _make_members(pairs: Iterable[tuple[str, Any]]) -> _Members:
    return _Members(list(pairs))


def _fail(path: Path, found: str, expected: str) -> Result[Document, Problems]:
    return Failure((SettingsProblem(str(path), "", found, expected),))


def _report_repeated(value: object, place: Place) -> None:
    if isinstance(value, _Members):
        for name in value.repeated:
            place.enter(name).report("the key twice", "it once", "take one out")
        for name, member in value.items():
            _report_repeated(member, place.enter(name))
    elif isinstance(value, list):
        for index, member in enumerate(value):
            _report_repeated(member, place.enter(index))
