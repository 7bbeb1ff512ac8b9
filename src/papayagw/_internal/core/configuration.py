"""Choice of the configuration in force at a node, and its exchange with peers."""

from enum import Enum

from papayagw._internal.core.configuration_change import (
    RecentVersions,
    apply_change,
    reuse_equal_services,
)
from papayagw._internal.models.change import (
    ConfigurationQuery,
    ConfigurationReply,
    NotModified,
)
from papayagw._internal.models.configuration import Configuration


class VersionOrder(Enum):
    """Order of a received configuration relative to the one in force."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"
    """Same version as in force but another submission: the store lost one of them."""


class ConfigurationLog:
    """Versions of the configuration at a node: the one in force and recent ones.

    This is a history of configurations, not a log of messages. The recent versions are
    kept to send peers the changes since their version.

    The version in force is only replaced by a configuration with a higher version.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._recent_versions = RecentVersions()
        self._refused = 0

    @property
    def current(self) -> Configuration | None:
        """Configuration in force, or None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, or -1 before the first."""
        return -1 if self._current is None else self._current.version

    @property
    def refused(self) -> int:
        """Number of older or forked versions that were refused."""
        return self._refused

    @property
    def query(self) -> ConfigurationQuery:
        """Query to a peer that may have a newer version."""
        submission_id = self._current.submission_id if self._current else ""
        return ConfigurationQuery(self.version, submission_id)

    def apply_if_newer(self, configuration: Configuration) -> VersionOrder:
        """Put `configuration` in force if it is newer; return how it compares."""
        order = self._compare_version(configuration)
        if order is VersionOrder.NEWER:
            if self._current is not None:
                configuration = reuse_equal_services(self._current, configuration)
            self._current = configuration
            self._recent_versions.add(configuration)
        elif order is not VersionOrder.SAME:
            self._refused += 1
        return order

    def make_reply(self, query: ConfigurationQuery) -> ConfigurationReply:
        """Return the reply that updates a peer to the version in force here."""
        current = self._current
        if current is None or query.version >= current.version:
            return NotModified()
        change = self._recent_versions.find_change_since(
            query.version, query.submission_id
        )
        return current if change is None else change

    def resolve_reply(self, reply: ConfigurationReply) -> Configuration | None:
        """Return the configuration that results from a peer's reply.

        Returns None if the peer has no newer version, or if its change isn't based on
        the version in force here.
        """
        if isinstance(reply, NotModified):
            return None
        if isinstance(reply, Configuration):
            return reply
        return apply_change(self._current, reply) if self._current else None

    def _compare_version(self, configuration: Configuration) -> VersionOrder:
        """Return how a configuration compares with the one in force."""
        if self._current is None or configuration.version > self._current.version:
            return VersionOrder.NEWER
        if configuration.version < self._current.version:
            return VersionOrder.OLDER
        if configuration.submission_id != self._current.submission_id:
            return VersionOrder.FORKED
        return VersionOrder.SAME
