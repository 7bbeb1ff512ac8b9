"""Exchange of configuration versions between peers: queries, replies, deltas."""

from dataclasses import dataclass

from papayagw._internal.models.configuration import (
    Configuration,
    FleetKey,
    SubmissionEntry,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The difference between a configuration version and a later one.

    Attributes
    ----------
    base : int
        The version to which the change applies.
    base_submission_id : str
        The id of the submission that created that version.
    submissions : tuple of SubmissionEntry
        The submissions since then, newest first.
    name : str
        The name of the site.
    control_address : Endpoint
        The control address, included even if unchanged.
    zones : tuple of str
        The availability zones, included even if unchanged.
    keys : tuple of FleetKey
        The fleet keys, included even if unchanged.
    services : tuple of Service
        The services that were added or changed.
    removed : tuple of ServiceId
        The ids of the services that were removed.
    """

    base: int
    base_submission_id: str
    submissions: tuple[SubmissionEntry, ...]
    name: str
    control_address: Endpoint
    zones: tuple[str, ...]
    keys: tuple[FleetKey, ...]
    services: tuple[Service, ...]
    removed: tuple[ServiceId, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Asks a peer for a version newer than the node's own.

    Attributes
    ----------
    version : int
        The version that the node holds; -1 if it holds none.
    submission_id : str
        The id of the submission that created that version.
    """

    version: int
    submission_id: str = ""


@dataclass(frozen=True, slots=True)
class NotModified:
    """Reply of a peer that holds no newer version."""


ConfigurationReply = NotModified | Configuration | ConfigurationChange
