r"""Caller library: opens flows to one service from within a program.

>>> async def place_order(tasks):
...     caller = Caller("order", "127.0.1.1:4401", "keys/ca.pem")
...     await caller.start(tasks)
...     flow = caller.open()
...     await flow.send(b"ORDER 7\n")
...     return await flow.receive()
"""

from pathlib import Path

import anyio
import anyio.abc

from papayagw._internal.core.service_meter import ServiceMeter
from papayagw._internal.exceptions import (
    FlowRefusedError,
    FlowUnknownError,
    PapayagwError,
    Step,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.report import Side
from papayagw._internal.net.byte_stream import MemoryStream, StreamBrokenError
from papayagw._internal.net.caller_flow import CallerFlow
from papayagw._internal.net.clock import MonotonicClock
from papayagw._internal.net.flow_transport import FlowTransport
from papayagw._internal.net.retries import make_retry_factory
from papayagw._internal.observe.logs import Log
from papayagw._internal.wire.quic import FlowOpener

DEFAULT_PROBE_INTERVAL_MS = Millis(1_000)
DEFAULT_IDLE_TIMEOUT_MS = Millis(60_000)


class Flow:
    """One flow, as a bidirectional stream of bytes.

    Parameters
    ----------
    stream : MemoryStream
        The program's end of the stream that the flow relays.
    service : str
        Name of the service, for error messages.
    """

    def __init__(self, stream: MemoryStream, service: str):
        self._stream = stream
        self._service = service
        self._outcome: FlowOutcome | None = None
        self._reason = ""

    @property
    def outcome(self) -> FlowOutcome | None:
        """Outcome of the flow, or None while it is open."""
        return self._outcome

    async def send(self, data: bytes) -> None:
        """Send bytes to the backend server.

        Raises
        ------
        FlowRefusedError
            If no byte reached a backend server: opening another flow is safe.
        FlowUnknownError
            If bytes may have reached a backend server.
        """
        try:
            await self._stream.send(data)
        except StreamBrokenError as error:
            raise self._make_error() from error

    def send_eof(self) -> None:
        """End the sending direction."""
        self._stream.send_eof()

    async def receive(self) -> bytes:
        """Return bytes from the backend server, or empty bytes after its answer.

        Raises
        ------
        FlowRefusedError, FlowUnknownError
            For the same reasons as `send`.
        """
        try:
            return await self._stream.receive()
        except StreamBrokenError as error:
            raise self._make_error() from error

    def close(self) -> None:
        """Close the flow, which cancels its request unless the answer is complete."""
        self._stream.abort()

    def record_outcome(self, outcome: FlowOutcome, reason: str) -> None:
        """Store the outcome of the flow and its reason."""
        self._outcome = outcome
        self._reason = reason

    def _make_error(self) -> PapayagwError:
        if self._outcome is FlowOutcome.REFUSED:
            return FlowRefusedError(
                self._reason or "no agent accepted the flow",
                step=Step.OPEN_FLOW,
                peer=self._service,
                remedy="the request was not executed; it is safe to open another flow",
            )
        return FlowUnknownError(
            self._reason or "the flow was interrupted",
            step=Step.DELIVER,
            peer=self._service,
            remedy="the request may have been executed; ask the service before a retry",
        )


class Caller:
    """Opens flows to one service.

    Parameters
    ----------
    service : str
        Name of the service, which the agents' certificates must contain.
    entry : str
        Entry address of the service, as ``ip:port``.
    authority : str or Path
        PEM file with the certificate of the authority that signs the agents'
        certificates.
    idempotent : bool
        Whether requests to the service may be executed more than once.
    probe_interval_ms : Millis
        Time without a datagram after which the agent of a flow is probed.
    idle_timeout_ms : Millis
        Time without a datagram after which a flow is closed.
    """

    def __init__(
        self,
        service: str,
        entry: str,
        authority: str | Path,
        *,
        idempotent: bool = False,
        probe_interval_ms: Millis = DEFAULT_PROBE_INTERVAL_MS,
        idle_timeout_ms: Millis = DEFAULT_IDLE_TIMEOUT_MS,
    ):
        self._service = service
        self._clock = MonotonicClock()
        opener = FlowOpener(
            service, Endpoint.parse(entry), Path(authority), idle_timeout_ms
        )
        self._transport = FlowTransport(
            opener, self._clock, Log(self._clock), probe_interval_ms
        )
        self._make_retry = make_retry_factory(idempotent=idempotent)
        self._meter = ServiceMeter(service, Side.CALLER)
        self._flows: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Bind a UDP port, and serve flows as a task of `tasks` until `close`."""
        await tasks.start(self._run)

    def close(self) -> None:
        """Interrupt the open flows, and release the UDP port."""
        if self._flows is not None:
            self._flows.cancel_scope.cancel()

    def open(self) -> Flow:
        """Return a new flow, which opens in the background."""
        assert self._flows is not None, "start() must be called first"
        program_stream, flow_stream = MemoryStream.make_pair()
        flow = Flow(program_stream, self._service)
        self._flows.start_soon(self._run_flow, flow_stream, flow)
        return flow

    async def _run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        self._transport.start()
        try:
            async with anyio.create_task_group() as flows:
                self._flows = flows
                task_status.started()
                await self._transport.run()
        finally:
            self._transport.close()

    async def _run_flow(self, stream: MemoryStream, flow: Flow) -> None:
        meter = self._meter.start_flow(self._clock.now())
        caller_flow = CallerFlow(
            stream,
            self._transport,
            self._make_retry(),
            self._clock,
            meter,
            flow.record_outcome,
        )
        await caller_flow.run()
