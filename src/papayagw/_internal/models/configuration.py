"""The configuration of a site, as every node holds it."""

from dataclasses import dataclass, field

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId

KEY_BYTES = 32
"""Length of a fleet key's secret, in bytes."""

HISTORY_LENGTH = 64
"""How many submissions a configuration remembers, its own included."""


@dataclass(frozen=True, slots=True)
class FleetKey:
    """A secret shared by the processes of a site.

    Attributes
    ----------
    key_id : int
        The number that tags and envelopes carry, 0 to 255.
    secret : bytes of shape (KEY_BYTES,)
        The secret from which the keys of tags and envelopes are derived.
    """

    key_id: int
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Site:
    """A base file merged with the overlay of one site.

    Attributes
    ----------
    name : str
        The name of the site, such as ``ee-north``.
    control_address : Endpoint
        The entry address for announcements, which the fabric hands to some
        balancer.
    zones : tuple of str
        The names of the availability zones.
    services : tuple of Service
        In order of their numbers.
    keys : tuple of FleetKey
        The first one seals; all of them open.
    """

    name: str
    control_address: Endpoint
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    keys: tuple[FleetKey, ...]

    def find_service(self, name: str) -> Service | None:
        """Return the service called `name`, or None."""
        found = (service for service in self.services if service.name == name)
        return next(found, None)

    def find_service_by_id(self, service_id: ServiceId) -> Service | None:
        """Return the service with the number `service_id`, or None."""
        found = (one for one in self.services if one.service_id == service_id)
        return next(found, None)


@dataclass(frozen=True, slots=True)
class SubmissionEntry:
    """Whose submission a version is.

    Attributes
    ----------
    version : int
        The version that it became.
    submission_id : str
        A random id, the same in each retry of one submission.
    operator : str
        Who submitted it.
    """

    version: int
    submission_id: str
    operator: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted version of a site's configuration.

    Attributes
    ----------
    version : int
        Rises by one with each accepted submission; 0 stands for a file that was
        never submitted.
    site : Site
        What is in force.
    history : tuple of SubmissionEntry
        The last submissions, this one first, at most `HISTORY_LENGTH`.
    """

    version: int
    site: Site
    history: tuple[SubmissionEntry, ...] = ()

    @property
    def submission_id(self) -> str:
        """The id of the submission that became this version; empty for a file."""
        return self.history[0].submission_id if self.history else ""

    def find_submission(self, submission_id: str) -> SubmissionEntry | None:
        """Return the mark of a submission, or None if it isn't remembered."""
        found = (mark for mark in self.history if mark.submission_id == submission_id)
        return next(found, None)
