"""Merging of an overlay into a base file.

Objects are merged recursively, key by key; any other value of the overlay replaces
that of the base. An overlay can change the services of the base but can't add one.
"""

import difflib
from typing import Any

from papayagw._internal.settings.document import Document
from papayagw._internal.settings.location import Location

_SERVICES_KEY = "services"


def merge_overlay(base: Document, overlay: Document, location: Location) -> Document:
    """Return the merged document and report services that the base doesn't have.

    Parameters
    ----------
    base, overlay : dict
        Parsed base file and overlay.
    location : Location
        Root location of the merged document.
    """
    _report_unknown_services(base, overlay, location.child(_SERVICES_KEY))
    return _merge(base, overlay)


def _report_unknown_services(
    base: Document, overlay: Document, location: Location
) -> None:
    known = base.get(_SERVICES_KEY)
    overlaid = overlay.get(_SERVICES_KEY)
    if not isinstance(known, dict) or not isinstance(overlaid, dict):
        return
    for name in overlaid.keys() - known.keys():
        matches = difflib.get_close_matches(name, known, n=1)
        remedy = f"did you mean {matches[0]}?" if matches else "add it to the base file"
        found = "a service that the base file doesn't have"
        location.child(name).report(found, "one of " + ", ".join(known), remedy)


def _merge(base: Document, overlay: Document) -> Document:
    merged: dict[str, Any] = dict(base)
    for name, value in overlay.items():
        base_value = merged.get(name)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[name] = _merge(base_value, value)
        else:
            merged[name] = value
    return merged
