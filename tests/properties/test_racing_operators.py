import pytest
from hypothesis import Phase, find, given, settings
from hypothesis import strategies as st

from papayagw._internal.core.configuration import ConfigurationLog, VersionOrder
from papayagw._internal.core.submission import Read, Refused, Submission
from tests.lib.configurations import SubmissionSimulation

REGULAR_STEPS = ("submit", "call", "send", "serve", "respond", "observe")
FAULT_STEPS = ("lose_response", "delay", "reach_deadline")
RESTORE_STEPS = ("restore", "observe_all")


def schedules(names):
    step = st.tuples(st.sampled_from(names), st.integers(0, 9))
    return st.lists(step, min_size=10, max_size=60)


class DoesNotReadBack(Submission):
    """Treats every conflict as a refusal, without reading the history."""

    def on_conflict(self, current):
        self._finish(Refused("conflict"))


class AssumesRefusedOnDeadline(Submission):
    """Treats a write without an answer as refused."""

    def on_deadline(self):
        self._has_pending_write = False
        self._finish(Refused("no answer"))


class ResubmitsAfterNoAnswer(Submission):
    """Reads again and resubmits on top of it after a write without an answer."""

    def on_no_answer(self):
        super().on_no_answer()
        self._action = Read()


class AppliesAnyVersion(ConfigurationLog):
    """Puts every received version in force."""

    def apply_if_newer(self, configuration):
        self._current = configuration
        return VersionOrder.NEWER


def check(operators, schedule, make_submission=Submission):
    simulation = SubmissionSimulation(operators, make_submission)
    simulation.run(schedule)
    simulation.finish()
    versions = [configuration.version for configuration in simulation.written]
    assert versions == list(range(1, len(versions) + 1))
    assert len(
        {configuration.submission_id for configuration in simulation.written}
    ) == len(simulation.written)
    assert simulation.find_wrong_outcomes() == []


@pytest.mark.parametrize("operators", [2, 10])
@settings(max_examples=300, derandomize=True, deadline=None)
@given(schedule=schedules(REGULAR_STEPS + FAULT_STEPS))
def test_one_operator_wins_each_version_and_reports_are_correct(operators, schedule):
    check(operators, schedule)


def check_nodes(operators, schedule, make_log=ConfigurationLog):
    simulation = SubmissionSimulation(operators, make_log=make_log)
    simulation.run(schedule)
    for seen in simulation.seen:
        versions = [version for version, _ in seen]
        assert versions == sorted(versions)
        assert len(set(seen)) == len(set(versions))


@pytest.mark.parametrize("operators", [2, 10])
@settings(max_examples=300, derandomize=True, deadline=None)
@given(schedule=schedules(REGULAR_STEPS + FAULT_STEPS + RESTORE_STEPS))
def test_versions_never_decrease_after_restore_of_the_store(operators, schedule):
    check_nodes(operators, schedule)


@pytest.mark.parametrize(
    ("check_it", "names", "mutant"),
    [
        (check, REGULAR_STEPS + FAULT_STEPS, DoesNotReadBack),
        (check, REGULAR_STEPS + FAULT_STEPS, AssumesRefusedOnDeadline),
        (check, REGULAR_STEPS + FAULT_STEPS, ResubmitsAfterNoAnswer),
        (check_nodes, REGULAR_STEPS + FAULT_STEPS + RESTORE_STEPS, AppliesAnyVersion),
    ],
)
def test_property_fails_for_mutant(check_it, names, mutant):
    def is_violated(schedule):
        try:
            check_it(4, schedule, mutant)
        except AssertionError:
            return True
        return False

    quick = settings(
        max_examples=2_000, derandomize=True, deadline=None, phases=[Phase.generate]
    )
    assert is_violated(find(schedules(names), is_violated, settings=quick))
