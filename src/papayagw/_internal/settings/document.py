"""Parsing of JSON with comments."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import json5
from returns.result import Failure, Result, Success

from papayagw._internal.settings.location import Location, format_value
from papayagw._internal.settings.problem import Problems, SettingsProblem

Document = dict[str, Any]


class _JsonObject(dict[str, Any]):
    """A JSON object that records its duplicate keys."""

    def __init__(self, pairs: list[tuple[str, Any]]):
        super().__init__(pairs)
        seen: set[str] = set()
        self.duplicates: list[str] = []
        for name, _ in pairs:
            if name in seen:
                self.duplicates.append(name)
            seen.add(name)


def read_document(path: Path) -> Result[Document, Problems]:
    """Return the JSON object in a file, or every problem that prevents reading it.

    Parameters
    ----------
    path : Path
        A UTF-8 file of JSON with comments.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        found = getattr(error, "strerror", None) or "bytes that aren't UTF-8"
        return _fail(path, found, "a readable file of JSON with comments")
    try:
        value = json5.loads(text, object_pairs_hook=_make_object)
    except (ValueError, RecursionError) as error:
        found = str(error).replace("<string>:", "line ")
        return _fail(path, found, "JSON with comments")
    if not isinstance(value, _JsonObject):
        return _fail(path, format_value(value), "an object")
    location = Location(lambda _: path)
    _report_duplicates(value, location)
    return Failure(location.problems) if location.problems else Success(value)


def _make_object(pairs: Iterable[tuple[str, Any]]) -> _JsonObject:
    return _JsonObject(list(pairs))


def _fail(path: Path, found: str, expected: str) -> Result[Document, Problems]:
    return Failure((SettingsProblem(str(path), "", found, expected),))


def _report_duplicates(value: object, location: Location) -> None:
    if isinstance(value, _JsonObject):
        for name in value.duplicates:
            location.child(name).report(
                "a duplicate key", "each key once", "remove one"
            )
        for name, member in value.items():
            _report_duplicates(member, location.child(name))
    elif isinstance(value, list):
        for index, member in enumerate(value):
            _report_duplicates(member, location.child(index))
