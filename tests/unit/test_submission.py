import pytest

from papayagw._internal.core.submission import (
    Accepted,
    Finish,
    Proposal,
    Refused,
    Submission,
    Unknown,
    Write,
)
from tests.lib.configurations import make_configuration, make_site

SUBMISSION_ID = "id-of-bo"
OLD = make_configuration(3)
OURS = make_configuration(4, SUBMISSION_ID)
THEIRS = make_configuration(4, "id-of-eve")

READ = ("on_read", OLD, 30)
NO_ANSWER = ("on_no_answer",)
DEADLINE = ("on_deadline",)
REFUSAL = ("on_refusal", "too large")


@pytest.mark.parametrize(
    ("events", "outcome"),
    [
        ([READ, ("on_written",)], Accepted),
        ([READ, ("on_conflict", THEIRS)], Refused),
        ([READ, NO_ANSWER, ("on_conflict", OURS)], Accepted),
        ([READ, NO_ANSWER, ("on_conflict", THEIRS)], Refused),
        ([READ, NO_ANSWER, ("on_written",)], Accepted),
        ([READ, NO_ANSWER, ("on_conflict", make_configuration(80, "x"))], Unknown),
        ([READ, ("on_conflict", make_configuration(2))], Refused),
        ([READ, NO_ANSWER, ("on_conflict", make_configuration(2))], Unknown),
        ([READ, NO_ANSWER, ("on_conflict", None)], Unknown),
        ([READ, DEADLINE], Unknown),
        ([READ, REFUSAL], Refused),
        ([READ, NO_ANSWER, REFUSAL], Unknown),
        ([DEADLINE], Refused),
        ([NO_ANSWER, DEADLINE], Refused),
        ([("on_read", make_configuration(2), 20)], Refused),
        ([("on_read", None, 0)], Refused),
        ([("on_read", make_configuration(3, site=make_site(7)), 30)], Refused),
    ],
)
def test_outcome_reported_to_operator(events, outcome):
    proposal = Proposal(make_site(7), SUBMISSION_ID, "bo", expected_version=3)
    submission = Submission(proposal)
    for name, *values in events:
        getattr(submission, name)(*values)
    assert isinstance(submission.action, Finish)
    assert isinstance(submission.action.outcome, outcome)


@pytest.mark.parametrize(
    ("current", "revision", "version"), [(None, 0, 1), (OLD, 30, 4)]
)
def test_each_attempt_writes_with_revision_that_was_read(current, revision, version):
    submission = Submission(Proposal(make_site(7), SUBMISSION_ID, "bo"))
    submission.on_read(current, revision)
    write = submission.action
    submission.on_no_answer()
    assert submission.action is write
    assert isinstance(write, Write)
    assert write.expected == revision
    assert write.configuration.version == version
    assert write.configuration.submission_id == SUBMISSION_ID
