"""State machine for submitting a configuration change, without input or output.

A submission is one compare-and-swap against the version that the operator has seen.
Its id stays the same in each retry and is recorded in the history of later versions.
After a lost answer the outcome is therefore determined by a retry: if an earlier
write took effect, the retry fails with a conflict and its id is in the history. A
write that expects an old revision can't take effect once the revision has changed.
"""

from dataclasses import dataclass

from papayagw._internal.core.transition import find_incompatibilities
from papayagw._internal.models.configuration import (
    HISTORY_LENGTH,
    Configuration,
    Site,
    SubmissionEntry,
)


@dataclass(frozen=True, slots=True)
class Proposal:
    """Change submitted by an operator.

    Attributes
    ----------
    site : Site
        Validated and merged configuration files.
    submission_id : str
        Random id of the submission.
    operator : str
        Name of the operator.
    expected_version : int or None
        Version that the operator has seen; None uses the version read first.
    allows_breaking : bool
        Whether the change may break established flows.
    """

    site: Site
    submission_id: str
    operator: str
    expected_version: int | None = None
    allows_breaking: bool = False


@dataclass(frozen=True, slots=True)
class Accepted:
    """The submission was accepted as a new version.

    Attributes
    ----------
    version : int
        Number of the new version.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The submission was rejected and can't take effect any more.

    Attributes
    ----------
    reason : str
        Reason for the rejection.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The submission may have taken effect, or may still do so.

    Attributes
    ----------
    reason : str
        Why the outcome could not be determined.
    """

    reason: str


Outcome = Accepted | Refused | Unknown


@dataclass(frozen=True, slots=True)
class Read:
    """Read the configuration from the store."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write the configuration to the store by compare-and-swap.

    Attributes
    ----------
    configuration : Configuration
        Configuration to write.
    expected : int
        Revision that the key must have for the write to take effect.
    """

    configuration: Configuration
    expected: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Report the outcome to the operator.

    Attributes
    ----------
    outcome : Accepted, Refused or Unknown
        Outcome of the submission.
    """

    outcome: Outcome


Action = Read | Write | Finish


class Submission:
    """State of one submission from the first read to the reported outcome.

    Parameters
    ----------
    proposal : Proposal
        Change to submit.
    """

    def __init__(self, proposal: Proposal):
        self._proposal = proposal
        self._action: Action = Read()
        self._has_pending_write = False

    @property
    def action(self) -> Action:
        """Next action to perform."""
        return self._action

    def on_read(self, current: Configuration | None, revision: int) -> None:
        """Process the configuration read from the store and its key's revision."""
        reason = self._find_rejection(current)
        if reason:
            self._finish(Refused(reason))
            return
        self._action = Write(self._make_configuration(current), revision)

    def on_written(self) -> None:
        """Process a successful write."""
        self._finish(Accepted(self._submitted.version))

    def on_conflict(self, current: Configuration | None) -> None:
        """Process a failed compare-and-swap and the configuration in the store."""
        entry = (
            current.find_submission(self._proposal.submission_id) if current else None
        )
        if entry is not None:
            self._finish(Accepted(entry.version))
        elif current is None or current.version < self._submitted.version:
            self._finish_unconfirmed("the store was restored from an older copy")
        elif current.version - self._submitted.version >= len(current.history):
            self._finish_unconfirmed(
                f"history of version {current.version} doesn't reach back far enough"
            )
        else:
            self._finish(
                Refused(_describe_competing_change(current, self._submitted.version))
            )

    def on_no_answer(self) -> None:
        """Process a missing answer; the caller repeats the read or write."""
        if isinstance(self._action, Write):
            self._has_pending_write = True

    def on_refusal(self, reason: str) -> None:
        """Process a call rejected by the store, or unreadable data in the store."""
        self._finish_unconfirmed(reason)

    def on_deadline(self) -> None:
        """Process the deadline, which may come while a call is in progress."""
        if isinstance(self._action, Write):
            self._has_pending_write = True
        self._finish_unconfirmed("the platform's service gave no answer in time")

    @property
    def _submitted(self) -> Configuration:
        """The configuration that the write in progress contains."""
        assert isinstance(self._action, Write)
        return self._action.configuration

    def _finish_unconfirmed(self, reason: str) -> None:
        """Finish as refused, or as unknown if a write may have taken effect."""
        if isinstance(self._action, Finish):
            return
        self._finish(Unknown(reason) if self._has_pending_write else Refused(reason))

    def _finish(self, outcome: Outcome) -> None:
        self._action = Finish(outcome)

    def _find_rejection(self, current: Configuration | None) -> str:
        """Return why the proposal is rejected, or an empty string if it isn't."""
        version = current.version if current else 0
        expected = self._proposal.expected_version
        if expected is not None and expected != version:
            return f"version {version} is in force, not {expected}"
        if current is None:
            return ""
        if current.site == self._proposal.site:
            return f"nothing differs from version {version}"
        incompatibilities = [
            str(one)
            for one in find_incompatibilities(current.site, self._proposal.site)
            if one.is_blocking or not self._proposal.allows_breaking
        ]
        return "; ".join(incompatibilities)

    def _make_configuration(self, current: Configuration | None) -> Configuration:
        """Return the proposed configuration as the version after `current`."""
        version = current.version + 1 if current else 1
        earlier = current.history if current else ()
        proposal = self._proposal
        entry = SubmissionEntry(version, proposal.submission_id, proposal.operator)
        history = (entry, *earlier)[:HISTORY_LENGTH]
        return Configuration(version, proposal.site, history)


def _describe_competing_change(current: Configuration, version: int) -> str:
    """Return the reason that another submission became `version`."""
    entries = [entry for entry in current.history if entry.version == version]
    by = f" by {entries[0].operator}" if entries else ""
    return f"another change{by} became version {version} first"
