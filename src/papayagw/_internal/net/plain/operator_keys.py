"""Evacuations among the operator's keys, as reads and watches of them show them."""

from collections.abc import Iterable
from typing import Protocol

from papayagw._internal.core.plain.membership.evacuation import ZoneChange
from papayagw._internal.models.plain.entry_store import (
    StoredItem,
    StoreEvent,
    StoreRevision,
)


class EvacuationKeyDecoder(Protocol):
    """Recognises the keys by which operators evacuate zones."""

    def decode_evacuated_zone(self, key: str) -> str | None:
        """Return the zone that is evacuated while `key` exists; None for other keys."""


def list_evacuated_zones(
    decoder: EvacuationKeyDecoder, items: Iterable[StoredItem]
) -> frozenset[str]:
    """Return the evacuated zones by a full read of the operator's keys."""
    zones = (decoder.decode_evacuated_zone(item.key) for item in items)
    return frozenset(zone for zone in zones if zone is not None)


def list_zone_changes(
    decoder: EvacuationKeyDecoder, events: Iterable[StoreEvent], era: int
) -> list[ZoneChange]:
    """Return the evacuations that began or ended, in the order of the events.

    Parameters
    ----------
    decoder : EvacuationKeyDecoder
        Decoder of the platform's keys.
    events : iterable of StoreEvent
        Writes and removals of the operator's keys, in order.
    era : int
        Era of the store that the revisions belong to.
    """
    return [
        ZoneChange(
            zone,
            isinstance(event, StoredItem),
            StoreRevision(era, event.revision),
        )
        for event in events
        if (zone := decoder.decode_evacuated_zone(event.key)) is not None
    ]
