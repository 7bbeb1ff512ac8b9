import hashlib
import signal
import socket
from contextlib import ExitStack

import pytest

from tests.lib.processes import running

ORDER, DRAWINGS = "order", "drawings"
BLOB = bytes(range(256)) * 1_000
DIGEST = hashlib.sha256(BLOB).hexdigest()


@pytest.fixture(scope="module")
def servers(block):
    addresses = {
        ORDER: (f"127.{block}.3.1", 19_001),
        DRAWINGS: (f"127.{block}.3.2", 19_002),
    }
    with ExitStack() as stack:
        for kind, (ip, port) in addresses.items():
            words = "--listen", f"{ip}:{port}", "--kind", kind, "--name", f"{kind}-1"
            stack.enter_context(running("standin", "backend", *words))
        yield addresses


def send_request(address, request):
    with socket.create_connection(address, timeout=20) as connection:
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
        with connection.makefile("rb") as responses:
            return responses.read().decode()


@pytest.mark.parametrize(
    ("kind", "request_", "response"),
    [
        (ORDER, b"ORDER o-1\n", "DONE o-1 order-1\n"),
        (ORDER, b"CHECK c-1\n", "WRONG c-1 order-1\n"),
        (
            ORDER,
            b"FEED f-1 2 1\n",
            "STATUS f-1 0 order-1\nSTATUS f-1 1 order-1\nEND f-1 2 order-1\n",
        ),
        (
            ORDER,
            b"ECHO e-1 2\n7\n8\n",
            "ECHO e-1 7 order-1\nECHO e-1 8 order-1\n",
        ),
        (ORDER, b"SING\n", "ERROR unknown request b'SING' order-1\n"),
        (ORDER, b"LIE 3\nHEALTH\n", "OK order-1\nHEALTH ready 3 order-1\n"),
        (
            ORDER,
            b"SHED 1\nORDER o-2\nSHED 0\n",
            "OK order-1\nSHED o-2 order-1\nOK order-1\n",
        ),
        (
            DRAWINGS,
            b"UPLOAD u-1 %d\n%s" % (len(BLOB), BLOB),
            f"SHA256 {DIGEST} drawings-1\n",
        ),
        (DRAWINGS, b"UPLOAD u-2 100\nshort", ""),
        (DRAWINGS, b"ORDER o-3\n", "WRONG o-3 drawings-1\n"),
        (DRAWINGS, b"RUNS\n", "RUN u-1 1\nEND 1 0\n"),
    ],
)
def test_backend_answers_its_own_requests(servers, kind, request_, response):
    assert send_request(servers[kind], request_) == response


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_finishes_what_is_in_progress(block, tmp_path, number):
    address = (f"127.{block}.3.3", 19_003)
    runs = tmp_path / "runs"
    words = "standin", "backend", "--listen", f"{address[0]}:{address[1]}"
    plan = "--kind", "order", "--name", "order-2", "--service_ms", 300
    with running(*words, *plan, "--runs_file", runs) as process:
        with socket.create_connection(address, timeout=20) as connection:
            connection.sendall(b"FEED f-1 4 50\n")
            responses = connection.makefile("rb")
            first = responses.readline()
            process.send_signal(number)
            rest = responses.readlines()
        assert process.wait(20) == 0
    assert first.startswith(b"STATUS f-1 0")
    assert rest[-1] == b"END f-1 4 order-2\n"
    assert runs.read_text() == "RUN f-1 1\nEND 1 0\n"
