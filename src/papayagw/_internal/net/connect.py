"""The callers' side: relays TCP connections as flows to an entry address."""

from collections.abc import Callable

import anyio

from papayagw._internal.core.retry import OpeningRetry
from papayagw._internal.core.service_meter import ServiceMeter
from papayagw._internal.exceptions import Step
from papayagw._internal.models.clock import Clock
from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.report import Side
from papayagw._internal.models.settings import Listener
from papayagw._internal.net.caller_flow import CallerFlow
from papayagw._internal.net.flow_transport import FlowTransport
from papayagw._internal.net.tcp import TcpListener, TcpStream
from papayagw._internal.observe.logs import Log
from papayagw._internal.wire.quic import FlowOpener


class ServiceConnector:
    """Relays the TCP connections of one listener as flows to its service.

    Parameters
    ----------
    listener : Listener
        Address on which callers connect, and the service it leads to.
    opener : FlowOpener
        Creates the connections of the flows.
    make_retry : callable
        Returns a new retry policy for one flow.
    clock : Clock
        Source of the current time.
    log : Log
        Log for flows that end without a complete answer.
    """

    def __init__(
        self,
        listener: Listener,
        opener: FlowOpener,
        make_retry: Callable[[], OpeningRetry],
        clock: Clock,
        log: Log,
    ):
        self._service = listener.service
        self._listener = TcpListener(listener.listen)
        self._entry = listener.entry
        self._transport = FlowTransport(opener, clock, log, listener.probe_interval_ms)
        self._make_retry = make_retry
        self._clock = clock
        self._log = log
        self._meter = ServiceMeter(listener.service, Side.CALLER)
        self._outcomes: dict[FlowOutcome, int] = dict.fromkeys(FlowOutcome, 0)
        self._open_streams = 0

    @property
    def outcomes(self) -> dict[FlowOutcome, int]:
        """Number of ended flows by outcome."""
        return self._outcomes

    @property
    def meter(self) -> ServiceMeter:
        """Totals of the flows by outcome, and opening latencies."""
        return self._meter

    @property
    def flows(self) -> int:
        """Number of open TCP connections, each of which is one flow."""
        return self._open_streams

    def start(self) -> None:
        """Bind the UDP socket and listen for TCP connections."""
        self._transport.start()
        self._listener.start()

    def close(self) -> None:
        """Close the listening socket and the UDP socket."""
        self._listener.close()
        self._transport.close()

    def stop_listening(self) -> None:
        """Stop accepting TCP connections."""
        self._listener.close()

    async def run(self) -> None:
        """Accept TCP connections and relay them until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._transport.run)
            await self._listener.serve(self._serve_connection, tasks)

    async def _serve_connection(self, stream: TcpStream) -> None:
        retry = self._make_retry()
        meter = self._meter.start_flow(self._clock.now())
        flow = CallerFlow(
            stream, self._transport, retry, self._clock, meter, self._record_outcome
        )
        self._open_streams += 1
        try:
            await flow.run()
        finally:
            self._open_streams -= 1

    def _record_outcome(self, outcome: FlowOutcome, reason: str) -> None:
        self._outcomes[outcome] += 1
        if outcome is FlowOutcome.ANSWERED:
            return
        self._log.rate_limited_warning(
            f"flow {outcome.value}",
            step=Step.OPEN_FLOW if outcome is FlowOutcome.REFUSED else Step.DELIVER,
            peer=self._entry,
            service=self._service,
            reason=reason,
        )
