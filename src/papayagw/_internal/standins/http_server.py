"""HTTP server for the stand-ins that runs in the current event loop."""

from collections.abc import Callable
from typing import Any

import uvicorn

from papayagw._internal.models.endpoint import Endpoint

_SHUTDOWN_TIMEOUT_S = 1
_BACKLOG = 4096


class HttpServer(uvicorn.Server):
    """HTTP server for one ASGI application.

    Parameters
    ----------
    app : ASGI application
        Application to serve.
    endpoint : Endpoint
        Address to listen on.
    on_ready : callable or None
        Called once the server listens.
    """

    def __init__(
        self,
        app: Any,
        endpoint: Endpoint,
        on_ready: Callable[[], None] | None = None,
    ):
        super().__init__(
            uvicorn.Config(
                app,
                host=endpoint.ip,
                port=endpoint.port,
                log_level="critical",
                access_log=False,
                backlog=_BACKLOG,
                timeout_graceful_shutdown=_SHUTDOWN_TIMEOUT_S,
            )
        )
        self._on_ready = on_ready

    async def startup(self, sockets: Any = None) -> None:
        """Start listening, then call `on_ready`."""
        await super().startup(sockets)
        if self.started and self._on_ready is not None:
            self._on_ready()

    def stop(self) -> None:
        """Request a shutdown, which lets open requests finish for up to one second."""
        self.should_exit = True
