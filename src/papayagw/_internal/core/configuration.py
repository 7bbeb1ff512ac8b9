"""Which configuration a node has in force."""

from enum import Enum

from papayagw._internal.core.change import ChangeLog, apply_change, share_services
from papayagw._internal.models.change import (
    ConfigurationQuery,
    ConfigurationReply,
    NotModified,
)
from papayagw._internal.models.configuration import Configuration


class Offer(Enum):
    """What a node makes of a configuration that it is offered."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"
    """The version in force under another submission: the store lost one of them."""


class ConfigurationLog:
    """A node's configuration, which only ever moves to a higher version."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._changes = ChangeLog()
        self._refused = 0

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, or None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """The version in force, or -1 before the first."""
        return -1 if self._current is None else self._current.version

    @property
    def refused(self) -> int:
        """How many older or forked versions were refused."""
        return self._refused

    @property
    def question(self) -> ConfigurationQuery:
        """What this node asks a peer that may have a newer version."""
        submission_id = self._current.submission_id if self._current else ""
        return ConfigurationQuery(self.version, submission_id)

    def offer(self, configuration: Configuration) -> Offer:
        """Put a configuration in force if it is newer."""
        offer = self._judge(configuration)
        if offer is Offer.NEWER:
            if self._current is not None:
                configuration = share_services(self._current, configuration)
            self._current = configuration
            self._changes.add(configuration)
        elif offer is not Offer.SAME:
            self._refused += 1
        return offer

    def answer(self, question: ConfigurationQuery) -> ConfigurationReply:
        """Return what a peer needs to get from its version to this node's."""
        current = self._current
        if current is None or question.version >= current.version:
            return NotModified()
        change = self._changes.find_since(question.version, question.submission_id)
        return current if change is None else change

    def resolve(self, answer: ConfigurationReply) -> Configuration | None:
        """Return the configuration that a peer's answer leads to, or None."""
        if isinstance(answer, NotModified):
            return None
        if isinstance(answer, Configuration):
            return answer
        return apply_change(self._current, answer) if self._current else None

    def _judge(self, configuration: Configuration) -> Offer:
        if self._current is None or configuration.version > self._current.version:
            return Offer.NEWER
        if configuration.version < self._current.version:
            return Offer.OLDER
        if configuration.submission_id != self._current.submission_id:
            return Offer.FORKED
        return Offer.SAME
