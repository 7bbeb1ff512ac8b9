"""What one version of a configuration changes in another, and who asks for it."""

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
    """The way from one version to a later one.

    Attributes
    ----------
    base : int
        The version that it applies to.
    base_submission_id : str
        The submission of that version.
    submissions : tuple of SubmissionEntry
        The submissions since, the last one first.
    name : str
        The name of the site.
    control_address : Endpoint
        The control address, changed or not.
    zones : tuple of str
        The zones, changed or not.
    keys : tuple of FleetKey
        The keys, changed or not.
    services : tuple of Service
        The services that are new or changed.
    removed : tuple of ServiceId
        The services that are gone.
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
    """The version that a node has, told to a peer that may have a newer one.

    Attributes
    ----------
    version : int
        The version; -1 for none.
    submission_id : str
        The submission of that version.
    """

    version: int
    submission_id: str = ""


@dataclass(frozen=True, slots=True)
class NotModified:
    """The answering node has nothing newer."""


ConfigurationReply = NotModified | Configuration | ConfigurationChange
