"""The configuration of a site, held by every node."""

from dataclasses import dataclass, field

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId

KEY_BYTES = 32
"""Length of a fleet key's secret, in bytes."""

HISTORY_LENGTH = 64
"""Number of submissions in the history of a configuration, including its own."""


@dataclass(frozen=True, slots=True)
class FleetKey:
    """A secret shared by the processes of a site, which protects what they exchange.

    Flow tags and configuration exchanges are encrypted, and envelopes and control
    messages are signed, each with a key of its own that is derived from the secret.

    Attributes
    ----------
    key_id : int
        Id, 0 to 255, that names the key in what is sealed or signed with it.
    secret : bytes of shape (KEY_BYTES,)
        Secret from which the key of each purpose is derived, see `derive_key`.
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
        The entry address for announcements, which the network fabric delivers to
        any one of the balancers.
    zones : tuple of str
        The names of the availability zones.
    services : tuple of Service
        The services, sorted by their ids.
    keys : tuple of FleetKey
        The fleet keys. The first one seals (encrypts) and signs; any of them opens
        (decrypts) and verifies.
    """

    name: str
    control_address: Endpoint
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    keys: tuple[FleetKey, ...]

    def find_service(self, name: str) -> Service | None:
        """Return the service named `name`, or None."""
        found = (service for service in self.services if service.name == name)
        return next(found, None)

    def find_service_by_id(self, service_id: ServiceId) -> Service | None:
        """Return the service with the id `service_id`, or None."""
        found = (one for one in self.services if one.service_id == service_id)
        return next(found, None)


@dataclass(frozen=True, slots=True)
class SubmissionEntry:
    """The submission that created a configuration version.

    Attributes
    ----------
    version : int
        The version that the submission created.
    submission_id : str
        A random id, which stays the same when the submission is retried.
    operator : str
        The operator who submitted it.
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
        Incremented by one with each accepted submission; 0 for a configuration
        that was loaded from a file and never submitted.
    site : Site
        The site configuration of this version.
    history : tuple of SubmissionEntry
        The last submissions, newest first, at most `HISTORY_LENGTH`. The first one
        created this version.
    """

    version: int
    site: Site
    history: tuple[SubmissionEntry, ...] = ()

    @property
    def submission_id(self) -> str:
        """The id of the submission that created this version; empty if none did."""
        return self.history[0].submission_id if self.history else ""

    def find_submission(self, submission_id: str) -> SubmissionEntry | None:
        """Return the history entry of a submission, or None if there is none."""
        found = (
            entry for entry in self.history if entry.submission_id == submission_id
        )
        return next(found, None)
