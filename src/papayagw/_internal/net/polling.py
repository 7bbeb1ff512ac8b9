"""Periodic status queries to nodes, for records and for refreshed tables."""

from collections.abc import Callable, Sequence

import anyio

from papayagw._internal.core.record_maker import RecordMaker
from papayagw._internal.exceptions import StatusError
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.status import StatusReport
from papayagw._internal.net.admin_client import AdminClient
from papayagw._internal.observe.records import RecordWriter

PollHandler = Callable[[Sequence[StatusReport], Sequence[StatusError]], None]


class Poller:
    """Queries nodes for their status periodically.

    Parameters
    ----------
    nodes : sequence of Endpoint
        Admin endpoints of the nodes.
    handle : callable
        Called with the reports and the errors of each round.
    interval : Millis
        Time from the start of one round to the start of the next. A round that takes
        longer delays the next one.
    """

    def __init__(
        self, nodes: Sequence[Endpoint], handle: PollHandler, interval: Millis
    ):
        self._nodes = tuple(nodes)
        self._handle = handle
        self._interval = interval
        self._client = AdminClient()

    async def start(self) -> None:
        """Start the HTTP client."""
        await self._client.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def run(self, rounds: int | None = None) -> None:
        """Poll until cancelled, or for the given number of rounds."""
        due = anyio.current_time()
        while rounds is None or rounds > 0:
            await anyio.sleep_until(due)
            await self.poll()
            rounds = None if rounds is None else rounds - 1
            due = max(due + to_seconds(self._interval), anyio.current_time())

    async def poll(self) -> None:
        """Query all nodes once and pass the results to the handler."""
        results = await self._client.query_all(self._nodes)
        reports = [result.unwrap() for result in results if result.value_or(None)]
        errors = [result.failure() for result in results if not result.value_or(None)]
        self._handle(reports, errors)


class Recorder:
    """Appends the changes in nodes' counts between two rounds to a file of records.

    Parameters
    ----------
    writer : RecordWriter
        Writer of the file; started and closed with the recorder.
    clock : Clock
        Wall clock, in milliseconds since 1970.
    """

    def __init__(self, writer: RecordWriter, clock: Clock):
        self._writer = writer
        self._clock = clock
        self._maker = RecordMaker()

    def start(self) -> None:
        """Open the file."""
        self._writer.start()

    def close(self) -> None:
        """Close the file."""
        self._writer.close()

    def add_reports(self, reports: Sequence[StatusReport]) -> int:
        """Append the records derived from one round of reports; return their number."""
        now = self._clock.now()
        records = [
            record
            for report in reports
            for record in self._maker.add_report(report, now)
        ]
        self._writer.write(records)
        return len(records)
