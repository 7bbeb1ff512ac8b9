from dataclasses import replace

import anyio
import pytest

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.entries import EntrySockets
from papayagw._internal.net.udp import DatagramSocket
from tests.lib.samples import SITE
from tests.lib.stores import find_free_endpoint

ORDER, DRAWINGS = SITE.services


async def send_until_received(endpoint, received):
    sender = DatagramSocket(None)
    sender.start()
    while not received:
        sender.send(b"packet", endpoint.sockaddr)
        await anyio.sleep(0.01)
    sender.close()


def assign_free_address(service, bind_ip):
    endpoint = find_free_endpoint()
    return replace(service, address=Endpoint(bind_ip or "127.0.0.1", endpoint.port))


@pytest.mark.parametrize("bind_ip", [None, "127.0.0.1"])
@pytest.mark.parametrize("is_moved", [False, True])
def test_sockets_follow_the_configuration(bind_ip, is_moved):
    order, moved, drawings = (
        assign_free_address(one, bind_ip) for one in (ORDER, ORDER, DRAWINGS)
    )
    after = [moved if is_moved else order, drawings]
    failures, received = [], []

    async def main():
        entries = EntrySockets(bind_ip, failures.append)
        entries.start([order])
        before = entries.sockets[order.service_id]
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    entries.run, lambda service_id, *_: received.append(service_id)
                )
                await send_until_received(order.address, received)
                entries.apply(after)
                for service in after:
                    received.clear()
                    await send_until_received(service.address, received)
                    assert set(received) == {service.service_id}
                is_kept = entries.sockets[order.service_id] is before
                entries.apply([drawings])
                await anyio.sleep(0)
                tasks.cancel_scope.cancel()
        assert set(entries.sockets) == {drawings.service_id}
        entries.close()
        return is_kept

    assert anyio.run(main) is not is_moved
    assert failures == []


def test_address_that_is_taken_leaves_the_others_alone():
    order, drawings = (assign_free_address(one, None) for one in (ORDER, DRAWINGS))
    failures = []

    async def main():
        taken = DatagramSocket(drawings.address)
        taken.start()
        entries = EntrySockets(None, failures.append)
        entries.start([order])
        entries.apply([order, drawings])
        assert set(entries.sockets) == {order.service_id}
        taken.close()
        entries.apply([order, drawings])
        assert set(entries.sockets) == {order.service_id, drawings.service_id}
        entries.close()

    anyio.run(main)
    assert [one.peer for one in failures] == [str(drawings.address)]
