"""The callers' side as a process: one connector per listener."""

from pathlib import Path

import anyio

from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.models.settings import ConnectSettings, Listener
from papayagw._internal.net.connect import ServiceConnector
from papayagw._internal.net.retries import make_retry_factory
from papayagw._internal.observe.logs import Log
from papayagw._internal.wire.quic import FlowOpener

_DRAIN_POLL_INTERVAL_MS = Millis(50)


class ConnectProcess:
    """Connectors of a connect process.

    Parameters
    ----------
    settings : ConnectSettings
        Settings of the connect process.
    clock : Clock
        Source of the current time.
    log : Log
        Log for flows that end without a complete answer.
    """

    def __init__(self, settings: ConnectSettings, clock: Clock, log: Log):
        authority = Path(settings.authority)
        self._connectors = tuple(
            _make_connector(listener, authority, clock, log)
            for listener in settings.listeners
        )

    @property
    def connectors(self) -> tuple[ServiceConnector, ...]:
        """Connectors, in the order of the listeners."""
        return self._connectors

    def start(self) -> None:
        """Bind the sockets of all connectors."""
        for connector in self._connectors:
            connector.start()

    def close(self) -> None:
        """Close the sockets of all connectors."""
        for connector in self._connectors:
            connector.close()

    async def run(self) -> None:
        """Run all connectors until cancelled."""
        async with anyio.create_task_group() as tasks:
            for connector in self._connectors:
                tasks.start_soon(connector.run)

    async def drain(self) -> None:
        """Stop accepting connections, and return when the last one has ended."""
        for connector in self._connectors:
            connector.stop_listening()
        while any(connector.flows for connector in self._connectors):
            await anyio.sleep(to_seconds(_DRAIN_POLL_INTERVAL_MS))


def _make_connector(
    listener: Listener, authority: Path, clock: Clock, log: Log
) -> ServiceConnector:
    opener = FlowOpener(
        listener.service, listener.entry, authority, listener.idle_timeout_ms
    )
    make_retry = make_retry_factory(idempotent=listener.idempotent)
    return ServiceConnector(listener, opener, make_retry, clock, log)
