import anyio
import pytest

from papayagw._internal.net.udp import DatagramSocket


async def exchange(keeps_refused, sent):
    """Send to a closed and an open port; return the rejected and the received data."""
    source, closed, receiver = (
        DatagramSocket(None, keeps_refused=keeps_refused) for _ in range(3)
    )
    for sock in (source, closed, receiver):
        sock.start()
    closed_address = ("127.0.0.1", closed.local.port)
    closed.close()
    for data in sent:
        source.send(data, closed_address)
        source.send(data, ("127.0.0.1", receiver.local.port))
    with anyio.fail_after(10):
        received = []
        while len(received) < len(sent):
            await receiver.wait_readable()
            received += [data for data, _ in receiver.receive_batch()]
    source.receive_batch()
    returned = [
        data for data, peer in source.receive_refused() if peer == closed_address
    ]
    source.close()
    receiver.close()
    return returned, received


@pytest.mark.parametrize(
    ("keeps_refused", "sent", "returned"),
    [
        (True, [b"one"], [b"one"]),
        (True, [b"one", b"two", b"six"], [b"one", b"two", b"six"]),
        (True, [], []),
        (False, [b"one"], []),
    ],
)
def test_datagram_to_closed_port_comes_back_and_loses_no_other(
    keeps_refused, sent, returned
):
    assert anyio.run(exchange, keeps_refused, sent) == (returned, sent)
