"""The submission of a change, as a state machine without input or output.

A submission is one compare-and-swap against the version that the operator saw. Its
id stays the same in each retry and is kept in the versions that follow, so an answer
that was lost is settled by reading back: the retry is refused, and the id is either
in the history or it isn't. A write that expects an old revision can't take effect
any more once the revision has moved on.
"""

from dataclasses import dataclass

from papayagw._internal.core.site_compatibility import find_incompatibilities
from papayagw._internal.models.configuration import (
    HISTORY_LENGTH,
    Configuration,
    Site,
    SubmissionMark,
)


@dataclass(frozen=True, slots=True)
class Proposal:
    """What an operator submits.

    Attributes
    ----------
    site : Site
        The checked and merged files.
    submission_id : str
        A random id.
    operator : str
        Who submits.
    expected_version : int or None
        The version that the operator saw; None takes the one that is read now.
    allows_breaking : bool
        Whether established flows may break.
    """

    site: Site
    submission_id: str
    operator: str
    expected_version: int | None = None
    allows_breaking: bool = False


@dataclass(frozen=True, slots=True)
class Accepted:
    """The submission became a version.

    Attributes
    ----------
    version : int
        The version.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The submission isn't a version and won't become one.

    Attributes
    ----------
    reason : str
        Why.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The submission may be a version now, or become one.

    Attributes
    ----------
    reason : str
        Why nothing more can be said.
    """

    reason: str


Outcome = Accepted | Refused | Unknown


@dataclass(frozen=True, slots=True)
class Read:
    """Read the configuration from the store."""


@dataclass(frozen=True, slots=True)
class Write:
    """Swap the configuration in the store.

    Attributes
    ----------
    configuration : Configuration
        What to write.
    expected : int
        The revision that the key must have.
    """

    configuration: Configuration
    expected: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the operator.

    Attributes
    ----------
    outcome : Accepted, Refused or Unknown
        What to tell.
    """

    outcome: Outcome


Action = Read | Write | Finish


class Submission:
    """One submission from its first read to what the operator is told.

    Parameters
    ----------
    proposal : Proposal
        What is submitted.
    """

    def __init__(self, proposal: Proposal):
        self._proposal = proposal
        self._action: Action = Read()
        self._has_pending_write = False

    @property
    def action(self) -> Action:
        """What to do next."""
        return self._action

    def on_read(self, current: Configuration | None, revision: int) -> None:
        """Take in what the store holds, and its key's revision."""
        reason = self._find_rejection(current)
        if reason:
            self._finish(Refused(reason))
            return
        self._action = Write(self._make_configuration(current), revision)

    def on_written(self) -> None:
        """Take in that the write took effect."""
        self._finish(Accepted(self._submitted.version))

    def on_conflict(self, current: Configuration | None) -> None:
        """Take in that the write took no effect, and what the store holds."""
        mark = current.find_mark(self._proposal.submission_id) if current else None
        if mark is not None:
            self._finish(Accepted(mark.version))
        elif current is None or current.version < self._submitted.version:
            self._finish_without_proof("the store was restored from an older copy")
        elif current.version - self._submitted.version >= len(current.history):
            self._finish_without_proof(
                f"version {current.version} no longer remembers this far"
            )
        else:
            self._finish(
                Refused(_describe_competing_change(current, self._submitted.version))
            )

    def on_no_answer(self) -> None:
        """Take in that the last read or write got no answer; it is done again."""
        if isinstance(self._action, Write):
            self._has_pending_write = True

    def on_refusal(self, reason: str) -> None:
        """Take in that the store refused the call, or holds what can't be read."""
        self._finish_without_proof(reason)

    def on_deadline(self) -> None:
        """Take in that the time is up, with a call possibly under way."""
        if isinstance(self._action, Write):
            self._has_pending_write = True
        self._finish_without_proof("the platform's service gave no answer in time")

    @property
    def _submitted(self) -> Configuration:
        assert isinstance(self._action, Write)
        return self._action.configuration

    def _finish_without_proof(self, reason: str) -> None:
        """Finish: refused if no write of ours can have taken effect."""
        if isinstance(self._action, Finish):
            return
        self._finish(Unknown(reason) if self._has_pending_write else Refused(reason))

    def _finish(self, outcome: Outcome) -> None:
        self._action = Finish(outcome)

    def _find_rejection(self, current: Configuration | None) -> str:
        """Return why the proposal can't follow what is in force, or nothing."""
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
        version = current.version + 1 if current else 1
        earlier = current.history if current else ()
        proposal = self._proposal
        mark = SubmissionMark(version, proposal.submission_id, proposal.operator)
        history = (mark, *earlier)[:HISTORY_LENGTH]
        return Configuration(version, proposal.site, history)


def _describe_competing_change(current: Configuration, version: int) -> str:
    marks = [mark for mark in current.history if mark.version == version]
    by = f" by {marks[0].operator}" if marks else ""
    return f"another change{by} became version {version} first"
