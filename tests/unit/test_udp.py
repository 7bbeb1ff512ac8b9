import anyio
import pytest

from papayagw._internal.net.udp import DatagramSocket


async def exchange(returns, sent):
    """Send to a closed port and to an open one; return what came of it."""
    source, closed, heard = (
        DatagramSocket(None, keeps_refused=returns) for _ in range(3)
    )
    for one in (source, closed, heard):
        one.start()
    gone = ("127.0.0.1", closed.local.port)
    closed.close()
    for data in sent:
        source.send(data, gone)
        source.send(data, ("127.0.0.1", heard.local.port))
    with anyio.fail_after(10):
        received = []
        while len(received) < len(sent):
            await heard.wait_readable()
            received += [data for data, _ in heard.receive_batch()]
    source.receive_batch()
    returned = [data for data, port in source.receive_refused() if port == gone]
    source.close()
    heard.close()
    return returned, received


@pytest.mark.parametrize(
    ("returns", "sent", "returned"),
    [
        (True, [b"one"], [b"one"]),
        (True, [b"one", b"two", b"six"], [b"one", b"two", b"six"]),
        (True, [], []),
        (False, [b"one"], []),
    ],
)
def test_datagram_to_closed_port_comes_back_and_loses_no_other(returns, sent, returned):
    assert anyio.run(exchange, returns, sent) == (returned, sent)
