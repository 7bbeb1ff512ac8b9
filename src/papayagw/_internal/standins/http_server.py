"""An HTTP server for the stand-ins, on the loop that is running already."""

from collections.abc import Callable
from typing import Any

import uvicorn

from papayagw._internal.models.endpoint import Endpoint

_SHUTDOWN_TIMEOUT_S = 1
_BACKLOG = 4096


class HttpServer(uvicorn.Server):
    """Serve one application until it is told to stop.

    Parameters
    ----------
    app : ASGI application
        What to serve.
    endpoint : Endpoint
        Where to listen.
    on_ready : callable or None
        Called when it listens.
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
        """Listen, then say so."""
        await super().startup(sockets)
        if self.started and self._on_ready is not None:
            self._on_ready()

    def stop(self) -> None:
        """Finish what is in progress for a moment, then stop."""
        self.should_exit = True
