"""Whether the backend server beside an agent is given another opening."""

from papayagw._internal.core.plain.admission import request_limit
from papayagw._internal.core.plain.backend_state import BackendState
from papayagw._internal.core.plain.load_meter import LoadMeter
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.frame import ReturnReason
from papayagw._internal.models.plain.instance import Availability, StatusReport
from papayagw._internal.models.plain.packet import FlowKey

FIRST_SILENCE_MS = Millis(300)
"""How long a silent backend server gets no other opening; doubles each time."""

LONGEST_SILENCE_MS = Millis(2_400)
"""Limit of the doubling of `FIRST_SILENCE_MS`: two intervals between reports."""

MOST_SILENCES = 8
"""How often silence is counted: enough for `LONGEST_SILENCE_MS`."""

INVITATION_MS = Millis(15)
"""How long room is kept in mind for a balancer that was told of it.

Two crossings between zones and a turn of the balancer's loop.
"""

FIRST_REQUEST_MS = Millis(40)
"""How long an accepted flow counts as a request until its first one comes.

A round trip to the client, 2 to 6 ms, and the client's turn.
"""

MOST_TURNED_AWAY = 4_096
"""The most balancers that are remembered as waiting for room."""


class Intake:
    """What speaks for and against another opening.

    Parameters
    ----------
    backend : BackendState
        What the backend server says of itself.
    now : Millis
        When the agent started.
    """

    def __init__(self, backend: BackendState, now: Millis):
        self._started_at = now
        self.backend = backend
        self.meter = LoadMeter()
        self._silent_till = Millis(0)
        self._silences = 0
        self._has_declined = False
        self._is_leaving = False
        self._turned_away: dict[Endpoint, None] = {}
        self._invited: dict[Endpoint, Millis] = {}
        self._expected: dict[FlowKey, Millis] = {}

    @property
    def due_at(self) -> Millis | None:
        """When room may be found that no packet tells of, if anybody waits for it."""
        if not self._turned_away:
            return None
        return next(iter(self._expected.values()), None)

    def availability(self, now: Millis) -> Availability:
        """Return whether openings are taken, room aside."""
        if self._is_leaving:
            return Availability.LEAVING
        if not self.backend.is_known and not self._is_expected(now):
            return Availability.UNREADY
        if self.backend.is_draining:
            return Availability.DRAINING
        if now < self._silent_till:
            return Availability.UNREADY
        if self._silences and self.backend.is_overdue(now):
            return Availability.UNREADY
        return Availability.READY

    def find_objection(
        self, source: Endpoint, offered: int, now: Millis
    ) -> ReturnReason | None:
        """Return why an opening is turned away, or None.

        Parameters
        ----------
        source : Endpoint
            The balancer that hands it over.
        offered : int
            Openings that the backend server hasn't answered yet.
        now : Millis
            The present time.
        """
        if self._invited.pop(source, None) is not None:
            # It may have more that wait; an invitation that it leaves tells otherwise.
            self._turned_away[source] = None
        availability = self.availability(now)
        if availability is Availability.READY:
            if self._room(offered, now) > 0:
                return None
            if len(self._turned_away) < MOST_TURNED_AWAY:
                self._turned_away[source] = None
            return ReturnReason.BUSY
        if now < self._silent_till:
            return ReturnReason.SILENT
        if availability is Availability.UNREADY:
            return ReturnReason.NOT_READY
        return ReturnReason.DRAINING

    def take_invited(self, offered: int, now: Millis) -> list[Endpoint]:
        """Return the balancers to tell of room, one for each opening that fits.

        Those that were turned away first are told first.
        """
        if not self._turned_away or self._room(offered, now) <= 0:
            return []
        if self.availability(now) is not Availability.READY:
            return []
        late = [peer for peer, till in self._invited.items() if till <= now]
        for peer in late:
            del self._invited[peer]
        room = self._room(offered, now) - len(self._invited)
        invited = list(self._turned_away)[: max(room, 0)]
        for peer in invited:
            del self._turned_away[peer]
            self._invited[peer] = Millis(now + INVITATION_MS)
        return invited

    def expect(self, flow: FlowKey, now: Millis) -> None:
        """Note that the first request of an accepted flow is on its way."""
        self._expected[flow] = Millis(now + FIRST_REQUEST_MS)

    def stop_expecting(self, flow: FlowKey) -> None:
        """Note that a flow's first request came, or never will."""
        self._expected.pop(flow, None)

    def count_busy(self, offered: int, now: Millis) -> int:
        """Return the requests in progress and those that are about to come."""
        while self._expected:
            flow, till = next(iter(self._expected.items()))
            if till > now:
                break
            del self._expected[flow]
        return self.meter.busy + offered + len(self._expected)

    def take(self, report: StatusReport, now: Millis) -> bool:
        """Take in a report; return False for one that is late or not usable."""
        if not self.backend.take(report, now):
            return False
        self.meter.slots = report.slots
        self.note_life()
        return True

    def note_life(self) -> None:
        """Note that the backend server spoke."""
        self._silences = 0
        self._silent_till = Millis(0)

    def note_declined(self) -> ReturnReason:
        """Note that the backend server handed an opening back; return what that says.

        One that hasn't reported, such as one that is about to end, takes none at all.
        """
        self._has_declined = True
        return ReturnReason.FULL if self.backend.is_known else ReturnReason.NOT_READY

    def note_silence(self, now: Millis) -> Millis:
        """Note an unanswered opening; return how long there is no other."""
        wait = Millis(min(FIRST_SILENCE_MS << self._silences, LONGEST_SILENCE_MS))
        if now >= self._silent_till:
            self._silences = min(self._silences + 1, MOST_SILENCES)
            self._silent_till = Millis(now + wait)
        return wait

    def leave(self) -> None:
        """Note that the agent stops."""
        self._is_leaving = True

    def _is_expected(self, now: Millis) -> bool:
        """Whether the backend server may live although the agent hasn't heard it yet.

        Most agents that start were killed beside a backend server that goes on, and
        the next report may be an interval away. An opening that it leaves ends that.
        """
        is_new = now - self._started_at < self.backend.patience_ms
        has_failed = self._has_declined or self._silences > 0
        return is_new and self.backend.report is None and not has_failed

    def _room(self, offered: int, now: Millis) -> int:
        return request_limit(self.meter.slots) - self.count_busy(offered, now)
