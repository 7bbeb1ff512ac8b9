import socket
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest

from papayagw._internal.cli.main import main
from papayagw._internal.cli.registry import CommandInfo
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.admin import AdminServer
from papayagw._internal.net.admin_client import AdminClient
from papayagw._internal.net.polling import Poller, Recorder
from papayagw._internal.observe.logs import Log
from papayagw._internal.observe.records import RecordWriter, read_records
from tests.lib.reports import make_status, make_totals
from tests.lib.samples import ManualClock


@dataclass(frozen=True)
class FakeCommand:
    run: Callable[[], int]


def find_free_endpoint():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Endpoint(*sock.getsockname())


async def poll_growing_node(path, rounds):
    """Record a node that opens 10 flows between two status queries."""
    clock = ManualClock()
    opened = iter(range(100, 1_000, 10))

    def report():
        clock.advance(10_000)
        return make_status(services=(make_totals(next(opened)),))

    endpoint, silent = find_free_endpoint(), find_free_endpoint()
    server = AdminServer(endpoint, report, Log(clock))
    recorder = Recorder(RecordWriter(path), clock)
    seen = []

    def handle(reports, errors):
        seen.append([error.peer for error in errors])
        recorder.add_reports(reports)

    poller = Poller([endpoint, silent], handle, 1)
    async with anyio.create_task_group() as tasks:
        server.start()
        tasks.start_soon(server.run)
        recorder.start()
        await poller.start()
        try:
            await poller.run(rounds)
        finally:
            await poller.close()
            recorder.close()
            tasks.cancel_scope.cancel()
            server.close()
    return seen, str(silent)


def test_rounds_become_records_and_silent_nodes_are_named(tmp_path):
    path = tmp_path / "records"
    seen, silent = anyio.run(poll_growing_node, path, 4)
    records = read_records([path]).unwrap().records
    assert seen == [[silent]] * 4
    assert [record.counts.opened for record in records] == [10, 10, 10]
    assert [record.duration_ms for record in records] == [10_000] * 3


async def poll_until_disk_is_full():
    async with anyio.create_task_group():
        await poll_growing_node(Path("/dev/full"), 3)


def test_full_disk_is_told_plainly(capsys, monkeypatch):
    command = FakeCommand(lambda: anyio.run(poll_until_disk_is_full))
    monkeypatch.setattr(CommandInfo, "load", lambda self: command)
    with pytest.raises(SystemExit) as raised:
        main(["status"])
    assert raised.value.code == 4
    message = "the file can't be written to: No space left on device (peer /dev/full)"
    assert message in capsys.readouterr().err


async def query_server_that_sends(response):
    async def handle(stream):
        async with stream:
            await stream.receive()
            await stream.send(response)

    endpoint = find_free_endpoint()
    client = AdminClient()
    listener = await anyio.create_tcp_listener(
        local_host=endpoint.ip, local_port=endpoint.port
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        await client.start()
        result = await client.query(endpoint)
        await client.close()
        tasks.cancel_scope.cancel()
    return result


@pytest.mark.parametrize(
    ("response", "what"),
    [
        (b"SSH-2.0-OpenSSH_9.2\r\n", "request failed"),
        (b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n", "HTTP 404"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", "invalid status report"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}", "request failed"),
    ],
)
def test_strange_answer_is_an_error_with_remedy(response, what):
    error = anyio.run(query_server_that_sends, response).failure()
    assert error.what.startswith(what)
    assert error.peer.startswith("127.0.0.1:")
    assert error.remedy.startswith("check that")


def test_silent_server_times_out():
    async def query(endpoint):
        client = AdminClient(timeout=50)
        await client.start()
        result = await client.query(endpoint)
        await client.close()
        return result

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        error = anyio.run(query, Endpoint(*sock.getsockname())).failure()
    assert error.what == "no response within 50 ms"
