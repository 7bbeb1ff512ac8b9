"""Sockets that receive packets from callers, as listed in the configuration."""

from collections.abc import Callable, Sequence
from contextlib import suppress

import anyio
from anyio.abc import TaskGroup

from papayagw._internal.exceptions import BindError
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId
from papayagw._internal.net.datagrams import AddressedDatagram
from papayagw._internal.net.udp import DatagramSocket

OnBatch = Callable[[ServiceId, Sequence[AddressedDatagram]], None]


class EntrySockets:
    """UDP sockets that receive callers' packets, one for each service.

    Parameters
    ----------
    bind_ip : str or None
        IP address to bind the services' ports on; None binds the services' own
        addresses.
    on_failure : callable
        Called with the error if an address from a later configuration can't be bound;
        the other services aren't affected.
    """

    def __init__(self, bind_ip: str | None, on_failure: Callable[[BindError], None]):
        self._bind_ip = bind_ip
        self._on_failure = on_failure
        self._sockets: dict[ServiceId, DatagramSocket] = {}
        self._endpoints: dict[ServiceId, Endpoint] = {}
        self._tasks: TaskGroup | None = None
        self._on_batch: OnBatch = lambda *_: None

    @property
    def sockets(self) -> dict[ServiceId, DatagramSocket]:
        """Sockets by service; the same dict is updated by each configuration."""
        return self._sockets

    def start(self, services: Sequence[Service]) -> None:
        """Bind the sockets of all services.

        Raises
        ------
        BindError
            If an address is in use or isn't an address of this host.
        """
        for service in services:
            self._open(service)

    def apply(self, services: Sequence[Service]) -> None:
        """Close the sockets of removed or moved services and bind the new ones."""
        wanted = {one.service_id: self._find_endpoint(one) for one in services}
        for service_id, endpoint in tuple(self._endpoints.items()):
            if wanted.get(service_id) != endpoint:
                self._close(service_id)
        for service in services:
            if service.service_id not in self._sockets:
                self._try_to_open(service)

    async def run(self, on_batch: OnBatch) -> None:
        """Call `on_batch` with each received batch of datagrams, until cancelled."""
        self._on_batch = on_batch
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for service_id in self._sockets:
                tasks.start_soon(self._receive, service_id)
            await anyio.sleep_forever()

    def close(self) -> None:
        """Close all sockets."""
        for service_id in tuple(self._sockets):
            self._close(service_id)

    def _find_endpoint(self, service: Service) -> Endpoint:
        if self._bind_ip is None:
            return service.address
        return Endpoint(self._bind_ip, service.address.port)

    def _try_to_open(self, service: Service) -> None:
        try:
            self._open(service)
        except BindError as error:
            self._on_failure(error)
            return
        if self._tasks is not None:
            self._tasks.start_soon(self._receive, service.service_id)

    def _open(self, service: Service) -> None:
        endpoint = self._find_endpoint(service)
        entry = DatagramSocket(endpoint)
        try:
            entry.start()
        except BindError:
            entry.close()
            raise
        self._sockets[service.service_id] = entry
        self._endpoints[service.service_id] = endpoint

    def _close(self, service_id: ServiceId) -> None:
        del self._endpoints[service_id]
        self._sockets.pop(service_id).close_and_notify()

    async def _receive(self, service_id: ServiceId) -> None:
        entry = self._sockets.get(service_id)
        if entry is None:
            return
        on_batch = self._on_batch
        while True:
            with suppress(anyio.ClosedResourceError):
                await entry.wait_readable()
            if self._sockets.get(service_id) is not entry:
                return
            on_batch(service_id, entry.receive_batch())
