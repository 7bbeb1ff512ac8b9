"""Merging of an overlay into its base file.

Objects are merged key by key; any other value of the overlay takes the place of the
base's. An overlay changes what the base describes and adds no service.
"""

import difflib
from typing import Any

from papayagw._internal.settings.document import Document
from papayagw._internal.settings.place import Place

_NAMED_MEMBERS = "services"


def merge_overlay(base: Document, overlay: Document, place: Place) -> Document:
    """Return the merged document and report what the base doesn't name.

    Parameters
    ----------
    base, overlay : dict
        The documents.
    place : Place
        The place of the merged document.
    """
    _report_unnamed(base, overlay, place.enter(_NAMED_MEMBERS))
    return _merge(base, overlay)


def _report_unnamed(base: Document, overlay: Document, place: Place) -> None:
    known = base.get(_NAMED_MEMBERS)
    named = overlay.get(_NAMED_MEMBERS)
    if not isinstance(known, dict) or not isinstance(named, dict):
        return
    for name in named.keys() - known.keys():
        near = difflib.get_close_matches(name, known, n=1)
        remedy = f"did you mean {near[0]}?" if near else "add it to the base file"
        found = "a name that the base file doesn't have"
        place.enter(name).report(found, "one of " + ", ".join(known), remedy)


def _merge(base: Document, overlay: Document) -> Document:
    merged: dict[str, Any] = dict(base)
    for name, value in overlay.items():
        earlier = merged.get(name)
        if isinstance(earlier, dict) and isinstance(value, dict):
            merged[name] = _merge(earlier, value)
        else:
            merged[name] = value
    return merged
