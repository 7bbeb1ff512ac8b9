"""Configurations and a world of racing operators for tests."""

from dataclasses import dataclass, replace

from papayagw._internal.core.configuration import ConfigurationLog
from papayagw._internal.core.submission import (
    Accepted,
    Finish,
    Proposal,
    Read,
    Submission,
    Write,
)
from papayagw._internal.models.configuration import (
    HISTORY_LENGTH,
    Configuration,
    SubmissionEntry,
)
from papayagw._internal.standins.key_values import KeyValues
from papayagw._internal.wire.configuration import (
    read_configuration,
    write_configuration,
)
from tests.lib.samples import SITE, ManualClock

KEY = b"configuration"


def make_site(max_flows=2000, site=SITE):
    """Return a site that differs from others in one service."""
    first, *others = site.services
    return replace(site, services=(replace(first, max_flows=max_flows), *others))


def make_configuration(version, submission_id="", site=SITE):
    """Return a configuration with the marks of all its versions."""
    marks = [SubmissionEntry(one, f"id-{one}", "anna") for one in range(version, 0, -1)]
    if submission_id:
        marks[0] = replace(marks[0], submission_id=submission_id)
    return Configuration(version, site, tuple(marks[:HISTORY_LENGTH]))


@dataclass
class Operator:
    """An operator at work: one call is outstanding at a time."""

    submission: Submission
    call: int | None = None

    @property
    def outcome(self):
        action = self.submission.action
        return action.outcome if isinstance(action, Finish) else None


class World:
    """Operators, a store and a network that delays, reorders and loses."""

    def __init__(
        self, operators, make_submission=Submission, make_log=ConfigurationLog
    ):
        self.store = KeyValues(ManualClock())
        self.copies = [self.store.snapshot()]
        self.requests = {}
        self.responses = {}
        self.calls = 0
        self.written = []
        self.nodes = [make_log() for _ in range(2)]
        self.seen = [[] for _ in self.nodes]
        self.operators = [
            Operator(make_submission(Proposal(make_site(1 + i), f"op-{i}", f"op-{i}")))
            for i in range(operators)
        ]

    def run(self, schedule):
        for name, number in schedule:
            getattr(self, name)(number)

    def send(self, number):
        operator = self.operators[number % len(self.operators)]
        if operator.call is None and operator.outcome is None:
            self.calls += 1
            operator.call = self.calls
            self.requests[self.calls] = (operator, operator.submission.action)

    def serve(self, number):
        if self.requests:
            self._serve_call(sorted(self.requests)[number % len(self.requests)])

    def answer(self, number):
        if self.responses:
            self._answer_call(sorted(self.responses)[number % len(self.responses)])

    def call(self, number):
        """One call of an operator from end to end."""
        operator = self.operators[number % len(self.operators)]
        self.send(number)
        if operator.call in self.requests:
            self._serve_call(operator.call)
        if operator.call in self.responses:
            self._answer_call(operator.call)

    def submit(self, number):
        """A read and a write without a fault between them."""
        self.call(number)
        self.call(number)

    def lose_answer(self, number):
        """One call that takes effect, and whose answer comes late or never."""
        operator = self.operators[number % len(self.operators)]
        self.send(number)
        if operator.call in self.requests:
            self._serve_call(operator.call)
        self.give_up_call(number)

    def delay(self, number):
        """One call that takes effect late, after its operator has given it up."""
        self.send(number)
        self.give_up_call(number)

    def give_up_call(self, number):
        operator = self.operators[number % len(self.operators)]
        if operator.call is not None:
            operator.call = None
            operator.submission.on_no_answer()

    def give_up(self, number):
        operator = self.operators[number % len(self.operators)]
        if operator.outcome is None:
            operator.call = None
            operator.submission.on_deadline()

    def observe(self, number):
        index = number % len(self.nodes)
        _, current = self._read()
        if current is not None:
            self.nodes[index].apply_if_newer(current)
            held = self.nodes[index].current
            self.seen[index].append((held.version, held.submission_id))

    def observe_all(self, number):
        for index in range(len(self.nodes)):
            self.observe(index)

    def restore(self, number):
        self.store.restore(self.copies[number % len(self.copies)])

    def finish(self):
        """Deliver everything, late writes too, until every operator is told."""
        while self.requests or any(one.outcome is None for one in self.operators):
            for number in range(len(self.operators)):
                self.send(number)
            while self.requests:
                self.serve(0)
            while self.responses:
                self.answer(0)

    def find_lies(self):
        """Return the operators that were told what isn't so."""
        owners = {one.submission_id: one.version for one in self.written}
        lies = []
        for number, operator in enumerate(self.operators):
            version = owners.get(f"op-{number}")
            told = operator.outcome
            if isinstance(told, Accepted) and told.version != version:
                lies.append((number, told, version))
            if type(told).__name__ == "Refused" and version is not None:
                lies.append((number, told, version))
        return lies

    def _serve_call(self, call):
        operator, action = self.requests.pop(call)
        self.responses[call] = (operator, self._apply(action))

    def _answer_call(self, call):
        operator, response = self.responses.pop(call)
        if operator.call == call:
            operator.call = None
            getattr(operator.submission, response[0])(*response[1:])

    def _apply(self, action):
        revision, current = self._read()
        if isinstance(action, Read):
            return ("on_read", current, revision)
        assert isinstance(action, Write)
        value = write_configuration(action.configuration)
        if self.store.swap(KEY, value, action.expected):
            self.written.append(action.configuration)
            self.copies.append(self.store.snapshot())
            return ("on_written",)
        return ("on_conflict", current)

    def _read(self):
        found = self.store.find(KEY)
        if not found:
            return 0, None
        return found[0].modified, read_configuration(found[0].value).unwrap()
