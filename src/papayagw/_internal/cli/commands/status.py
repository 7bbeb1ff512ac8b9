"""``papayagw status``: status reports of nodes."""

import json
import signal
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import anyio

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.values import read_seconds
from papayagw._internal.exceptions import SettingsError, StatusError, Step
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.status import StatusReport
from papayagw._internal.net.clock import WallClock
from papayagw._internal.net.polling import Poller, PollHandler, Recorder
from papayagw._internal.observe.durations import format_timestamp
from papayagw._internal.observe.json_values import to_json_value
from papayagw._internal.observe.records import RecordWriter
from papayagw._internal.observe.status_text import format_status

DEFAULT_RECORD_SECONDS = 10.0


class StatusCommand:
    """Query the status of nodes."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return show_status


def show_status(
    *nodes: str,
    full: bool = False,
    json: bool = False,
    every: float | None = None,
    rounds: int | None = None,
    record: str | None = None,
) -> int:
    """Query the status of nodes and print it as tables.

    Exit codes: 0 all nodes responded, 1 some didn't and are listed with a remedy, 2
    the command line is invalid, 4 the record file can't be written.

    Parameters
    ----------
    nodes : str
        Admin endpoints of the nodes, each as ip:port.
    full : bool
        Also show the peers and agents known to each node, and its counters.
    json : bool
        Print JSON instead of tables: one object per round, with all details.
    every : float
        Query all nodes in rounds at this interval in seconds, until ctrl-C or SIGTERM.
        The exit code is that of the last round.
    rounds : int
        Stop after this number of rounds.
    record : str
        Append the differences of the counts between rounds to this file, for
        ``papayagw report burn``. Without --every, the interval is 10 seconds.
    """
    endpoints = _read_nodes(nodes)
    if record is not None and every is None:
        every = DEFAULT_RECORD_SECONDS
    interval = read_seconds(every, "every") if every is not None else None
    printer = _Printer(_print_json if json else partial(_print_tables, full))
    if record is None:
        anyio.run(_poll, endpoints, printer.show, interval, rounds)
    else:
        recorder = Recorder(RecordWriter(Path(record)), WallClock())
        recorder.start()
        try:
            handle = printer.make_recording_handler(recorder)
            anyio.run(_poll, endpoints, handle, interval, rounds)
        finally:
            recorder.close()
    return printer.exit_code


class _Printer:
    """Prints or records rounds and keeps the exit code of the last one."""

    def __init__(self, write: PollHandler):
        self._write = write
        self._exit_code = ExitCode.OK

    @property
    def exit_code(self) -> ExitCode:
        """REFUSED if a node didn't respond in the last round, else OK."""
        return self._exit_code

    def show(
        self, reports: Sequence[StatusReport], errors: Sequence[StatusError]
    ) -> None:
        """Print the reports and errors of one round."""
        self._write(reports, errors)
        self._exit_code = ExitCode.REFUSED if errors else ExitCode.OK

    def make_recording_handler(self, recorder: Recorder) -> PollHandler:
        """Return a handler that records a round and prints a summary line."""

        def record(
            reports: Sequence[StatusReport], errors: Sequence[StatusError]
        ) -> None:
            count = recorder.add_reports(reports)
            timestamp = format_timestamp(WallClock().now())
            print(f"{timestamp} nodes {len(reports)}, records {count}", flush=True)
            for error in errors:
                print(f"{timestamp} no answer: {error}", flush=True)
            self._exit_code = ExitCode.REFUSED if errors else ExitCode.OK

        return record


def _read_nodes(nodes: Sequence[str]) -> tuple[Endpoint, ...]:
    try:
        endpoints = tuple(Endpoint.parse(str(node)) for node in nodes)
    except ValueError as error:
        raise _make_usage_error(str(error)) from error
    if not endpoints:
        raise _make_usage_error("no node is given")
    return endpoints


def _make_usage_error(what: str) -> SettingsError:
    remedy = "give the admin endpoint of each node as ip:port"
    return SettingsError(what, step=Step.SETTINGS, remedy=remedy)


async def _poll(
    nodes: Sequence[Endpoint],
    handle: PollHandler,
    interval: Millis | None,
    rounds: int | None,
) -> None:
    poller = Poller(nodes, handle, interval or Millis(0))
    await poller.start()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_signal, tasks.cancel_scope)
        await poller.run(1 if interval is None else rounds)
        tasks.cancel_scope.cancel()
    await poller.close()


async def _cancel_on_signal(scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()


def _print_tables(
    full: bool, reports: Sequence[StatusReport], errors: Sequence[StatusError]
) -> None:
    print(format_status(reports, errors, full), flush=True)


def _print_json(reports: Sequence[StatusReport], errors: Sequence[StatusError]) -> None:
    unreachable = [
        {"peer": error.peer, "what": error.what, "remedy": error.remedy}
        for error in errors
    ]
    line = {"nodes": to_json_value(tuple(reports)), "no_answer": unreachable}
    print(json.dumps(line), flush=True)


COMMAND = StatusCommand()
