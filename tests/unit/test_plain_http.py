"""Tests of the HTTP client of the plain front end against misbehaving servers."""

import socket
import threading

import pytest

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.plain.http_client import HttpExchange
from papayagw._internal.net.plain.loop import Loop
from tests.lib.limits import CHANGE_TIMEOUT_S

TIMEOUT_MS = Millis(1_000)


def response(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def serve(listener, answers):
    """Answer each connection by the bytes given for it, and then close it."""
    for answer in answers:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(answer)


def fetch(answers):
    """Return the results of one exchange after the other, one for each answer."""
    faults, results = [], []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(target=serve, args=(listener, answers))
        server.start()
        peer = Endpoint(*listener.getsockname())
        loop = Loop(faults.append)

        def on_result(result):
            results.append(result)
            if len(results) == len(answers):
                loop.stop()
            else:
                begin()

        def begin():
            number = len(results)
            target = f"/{number}"
            HttpExchange(loop, peer, "GET", target, b"", TIMEOUT_MS, on_result).start()

        loop.start()
        begin()
        loop.run()
        loop.close()
        server.join()
    assert faults == []
    return results


@pytest.mark.parametrize(
    ("first", "body"),
    [
        (response(b"first"), b"first"),
        # A second copy of an answer doesn't reach the next caller.
        (response(b"first") * 2, b"first"),
        # An answer that breaks off isn't complete.
        (response(b"first")[:-2], None),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfir", None),
        (b"HTTP/1.1 200 OK\r\nContent-Le", None),
    ],
)
def test_each_caller_gets_its_own_whole_answer_or_a_failure(first, body):
    one, other = fetch([first, response(b"second")])
    assert (one.status, one.body) == ((200, body) if body else (0, b""))
    assert bool(one.failure) is (body is None)
    assert (other.status, other.body) == (200, b"second")


def test_a_connection_that_went_silent_fails_before_a_change_is_overdue():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer, loop = Endpoint(*listener.getsockname()), Loop(lambda error: None)
        loop.start()
        exchange = HttpExchange(loop, peer, "GET", "/", b"", TIMEOUT_MS, print)
        exchange.start()
        read = exchange._socket.getsockopt
        idle_s, interval_s, probes = (
            read(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
            )
        )
        assert read(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        exchange.close()
        loop.close()
    assert idle_s + interval_s * probes < CHANGE_TIMEOUT_S
