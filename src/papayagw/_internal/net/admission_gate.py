"""Admission of an agent's flows: drives `Admission` with flow events and timers."""

from itertools import count

import anyio

from papayagw._internal.core.admission import Admission
from papayagw._internal.models.admission import (
    AdmissionDecision,
    AdmissionRequest,
    FlowNumber,
    ReleaseReason,
)
from papayagw._internal.models.clock import Clock, Millis, to_seconds
from papayagw._internal.net.agent_flow import AgentFlow


class AdmissionGate:
    """Admits or refuses flows, at once or after a time in the queue.

    Parameters
    ----------
    admission : Admission
        Policy that decides on each flow.
    clock : Clock
        Source of the current time.
    """

    def __init__(self, admission: Admission, clock: Clock):
        self._admission = admission
        self._clock = clock
        self._number_counter = count(1)
        self._flows_by_number: dict[FlowNumber, AgentFlow] = {}
        self._numbers_by_flow: dict[AgentFlow, FlowNumber] = {}
        self._wake = anyio.Event()

    def submit(self, flow: AgentFlow) -> None:
        """Admit, refuse or queue an accepted flow."""
        number = FlowNumber(next(self._number_counter))
        self._flows_by_number[number] = flow
        self._numbers_by_flow[flow] = number
        request = AdmissionRequest(number, flow.client.ip)
        match self._admission.submit(request, self._clock.now()):
            case AdmissionDecision.ADMIT:
                flow.admit()
            case AdmissionDecision.REFUSE:
                flow.refuse()
            case AdmissionDecision.QUEUE:
                # Queueing may evict another flow and move the next expiry.
                self._wake.set()

    def start_work(self, flow: AgentFlow) -> None:
        """Record that a flow begins to send a request."""
        number = self._numbers_by_flow.get(flow)
        if number is not None:
            self._admission.start_work(number, self._clock.now())

    def finish_work(self, flow: AgentFlow, reason: ReleaseReason) -> None:
        """Record that a flow's work has ended; the flow itself may stay open."""
        number = self._numbers_by_flow.get(flow)
        if number is not None:
            self._admission.finish_work(number, reason, self._clock.now())
            self._wake.set()

    def close(self, flow: AgentFlow) -> None:
        """Remove a flow that has ended."""
        number = self._numbers_by_flow.pop(flow, None)
        if number is not None:
            del self._flows_by_number[number]
            self._admission.close(number)
            self._wake.set()

    async def run(self) -> None:
        """Admit or refuse queued flows as they become due, until cancelled."""
        while True:
            await self._wait()
            self._apply_due_decisions()

    def _apply_due_decisions(self) -> None:
        """Admit or refuse the queued flows whose decision is due."""
        results = self._admission.poll(self._clock.now())
        for number in results.admitted:
            self._flows_by_number[number].admit()
        for number in results.refused:
            self._flows_by_number[number].refuse()

    async def _wait(self) -> None:
        next_at = self._admission.next_at
        if next_at is None:
            await self._wake.wait()
        else:
            wait_ms = Millis(max(0, next_at - self._clock.now()))
            with anyio.move_on_after(to_seconds(wait_ms)):
                await self._wake.wait()
        self._wake = anyio.Event()
