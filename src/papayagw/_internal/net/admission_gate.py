"""Admission of an agent's flows: timers round `Admission`, which decides."""

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
    """Lets flows through to the backend server, at once, later or never.

    Parameters
    ----------
    admission : Admission
        The decisions.
    clock : Clock
        The time.
    """

    def __init__(self, admission: Admission, clock: Clock):
        self._admission = admission
        self._clock = clock
        self._number_counter = count(1)
        self._flows_by_number: dict[FlowNumber, AgentFlow] = {}
        self._numbers_by_flow: dict[AgentFlow, FlowNumber] = {}
        self._wake = anyio.Event()

    def submit(self, flow: AgentFlow) -> None:
        """Let a flow through, turn it away, or do either later."""
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
                # A waiting flow may have been pushed out, and the timer may move.
                self._wake.set()

    def start_work(self, flow: AgentFlow) -> None:
        """Note that a flow asks for work."""
        number = self._numbers_by_flow.get(flow)
        if number is not None:
            self._admission.start_work(number, self._clock.now())

    def finish_work(self, flow: AgentFlow, reason: ReleaseReason) -> None:
        """Note that a flow's work is over, while the flow may stay open."""
        number = self._numbers_by_flow.get(flow)
        if number is not None:
            self._admission.finish_work(number, reason, self._clock.now())
            self._wake.set()

    def close(self, flow: AgentFlow) -> None:
        """Note that a flow is gone."""
        number = self._numbers_by_flow.pop(flow, None)
        if number is not None:
            del self._flows_by_number[number]
            self._admission.close(number)
            self._wake.set()

    async def run(self) -> None:
        """Let waiting flows through or turn them away, until cancelled."""
        while True:
            await self._wait()
            self._poll()

    def _poll(self) -> None:
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
