"""Configurations, and a simulation of concurrent submissions, for tests."""

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
    """Return a copy of `site` with another flow limit of its first service."""
    first, *others = site.services
    return replace(site, services=(replace(first, max_flows=max_flows), *others))


def make_configuration(version, submission_id="", site=SITE):
    """Return a configuration whose history has an entry for each version."""
    entries = [
        SubmissionEntry(number, f"id-{number}", "anna")
        for number in range(version, 0, -1)
    ]
    if submission_id:
        entries[0] = replace(entries[0], submission_id=submission_id)
    return Configuration(version, site, tuple(entries[:HISTORY_LENGTH]))


@dataclass
class Operator:
    """An operator who submits a configuration, with at most one pending call."""

    submission: Submission
    call: int | None = None

    @property
    def outcome(self):
        action = self.submission.action
        return action.outcome if isinstance(action, Finish) else None


class SubmissionSimulation:
    """Simulation of operators, a store and a network that fails.

    The network delays and reorders calls and loses responses. A schedule names the
    methods to call, each with a number that selects the operator, call or node.
    """

    def __init__(
        self, operators, make_submission=Submission, make_log=ConfigurationLog
    ):
        self.store = KeyValues(ManualClock())
        self.snapshots = [self.store.snapshot()]
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

    def respond(self, number):
        if self.responses:
            self._deliver_response(sorted(self.responses)[number % len(self.responses)])

    def call(self, number):
        """Complete one call of an operator, from the request to the response."""
        operator = self.operators[number % len(self.operators)]
        self.send(number)
        if operator.call in self.requests:
            self._serve_call(operator.call)
        if operator.call in self.responses:
            self._deliver_response(operator.call)

    def submit(self, number):
        """Complete a read and a write of an operator without a fault between them."""
        self.call(number)
        self.call(number)

    def lose_response(self, number):
        """Make a call that takes effect but whose response is late or lost."""
        operator = self.operators[number % len(self.operators)]
        self.send(number)
        if operator.call in self.requests:
            self._serve_call(operator.call)
        self.time_out_call(number)

    def delay(self, number):
        """Make a call that takes effect only after its operator has timed out."""
        self.send(number)
        self.time_out_call(number)

    def time_out_call(self, number):
        operator = self.operators[number % len(self.operators)]
        if operator.call is not None:
            operator.call = None
            operator.submission.on_no_answer()

    def reach_deadline(self, number):
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
        self.store.restore(self.snapshots[number % len(self.snapshots)])

    def finish(self):
        """Deliver all calls, also late writes, until every operator has an outcome."""
        while self.requests or any(
            operator.outcome is None for operator in self.operators
        ):
            for number in range(len(self.operators)):
                self.send(number)
            while self.requests:
                self.serve(0)
            while self.responses:
                self.respond(0)

    def find_wrong_outcomes(self):
        """Return each operator with a wrong outcome, with the outcome and the version.

        Accepted must name the version that was written for the submission; Refused is
        wrong if one was written.
        """
        owners = {written.submission_id: written.version for written in self.written}
        wrong = []
        for number, operator in enumerate(self.operators):
            version = owners.get(f"op-{number}")
            outcome = operator.outcome
            if isinstance(outcome, Accepted) and outcome.version != version:
                wrong.append((number, outcome, version))
            if type(outcome).__name__ == "Refused" and version is not None:
                wrong.append((number, outcome, version))
        return wrong

    def _serve_call(self, call):
        operator, action = self.requests.pop(call)
        self.responses[call] = (operator, self._apply(action))

    def _deliver_response(self, call):
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
            self.snapshots.append(self.store.snapshot())
            return ("on_written",)
        return ("on_conflict", current)

    def _read(self):
        found = self.store.find(KEY)
        if not found:
            return 0, None
        return found[0].modified, read_configuration(found[0].value).unwrap()
