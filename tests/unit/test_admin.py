import socket

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayagw._internal.exceptions import BindError
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.admin import MAX_REQUEST_BYTES, AdminServer
from papayagw._internal.observe.logs import Log
from papayagw._internal.observe.status_json import decode_status
from tests.lib.reports import make_status
from tests.lib.samples import ManualClock

GET_STATUS = b"GET /status HTTP/1.1\r\nhost: x\r\n\r\n"


def find_free_endpoint():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Endpoint(*sock.getsockname())


async def send_in_turn(requests, report=make_status):
    """Send the requests to one server, one after the other; return the responses."""
    endpoint = find_free_endpoint()
    server = AdminServer(endpoint, report, Log(ManualClock()))
    responses = []
    async with anyio.create_task_group() as tasks:
        server.start()
        tasks.start_soon(server.run)
        for request in requests:
            responses.append(await send_request(endpoint, request))
        tasks.cancel_scope.cancel()
    server.close()
    return responses


async def send_request(endpoint, request):
    response = b""
    async with await anyio.connect_tcp(*endpoint.sockaddr) as stream:
        try:
            await stream.send(request)
            await stream.send_eof()
            async for part in stream:
                response += part
        except (OSError, anyio.BrokenResourceError):
            pass
    return response


def send_all(*requests, **options):
    return anyio.run(lambda: send_in_turn(requests, **options))


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (GET_STATUS, b"200"),
        (GET_STATUS.replace(b"status", b"status?x=1"), b"200"),
        (GET_STATUS.replace(b"HTTP/1.1", b"HTTP/1.0"), b"200"),
        (GET_STATUS * 3, b"200"),
        (b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", b"404"),
        (b"POST /status HTTP/1.1\r\nhost: x\r\n\r\n", b"405"),
        (b"HEAD /status HTTP/1.1\r\nhost: x\r\n\r\n", b"405"),
        (b"CONNECT /status HTTP/1.1\r\nhost: x\r\n\r\n", b"405"),
        (b"GET /status HTTP/1.1\r\n\r\n", b"400"),
        (b"GET /status SPDY/1\r\nhost: x\r\n\r\n", b"400"),
        (b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03\r\n\r\n", b"400"),
        (b"GET /" + b"a" * (MAX_REQUEST_BYTES - 4), b"431"),
        (b"", b""),
        (GET_STATUS[:20], b"400"),
    ],
)
def test_answers_what_it_knows_and_refuses_the_rest(request_bytes, status):
    first, after = send_all(request_bytes, GET_STATUS)
    assert first[9:12] == status
    assert after[9:12] == b"200"


def test_report_comes_back_whole():
    (response,) = send_all(GET_STATUS)
    body = response.partition(b"\r\n\r\n")[2]
    assert decode_status(body).unwrap() == make_status()


def test_fault_in_report_leaves_server_running():
    responses = send_all(GET_STATUS, GET_STATUS, report=lambda: {}["missing"])
    assert [response[9:12] for response in responses] == [b"500", b"500"]


@settings(max_examples=30, derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=200), min_size=1, max_size=10))
def test_garbage_never_stops_server(requests):
    *_, last = send_all(*requests, GET_STATUS)
    assert last[9:12] == b"200"


def test_taken_endpoint_is_named():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        taken = Endpoint(*sock.getsockname())
        with pytest.raises(BindError, match=str(taken)):
            AdminServer(taken, make_status, Log(ManualClock())).start()
