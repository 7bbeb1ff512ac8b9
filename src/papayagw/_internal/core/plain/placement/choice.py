"""Policies that select the agent for an opening of the plain front end."""

from collections.abc import Sequence
from random import Random
from typing import Protocol

from papayagw._internal.core.plain.membership.roster import MAX_LOAD_AGE_MS, AgentView
from papayagw._internal.core.unit_hash import unit_hash
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import FlowKey

FALLBACK_SERVICE_US = 20_000
"""Service time that is assumed if no candidate has reported one, in microseconds."""

OTHER_ZONE_PENALTY_US = 2_000
"""Penalty for a candidate in another zone, in microseconds.

Covers two crossings between zones of 0.5 to 1.4 ms each. It is far below the time of
one queued request, so load takes precedence over zone.
"""

TIE_JITTER = 0.05
"""Maximum random addition to a candidate's queue length, in requests, to break ties."""

IDLE_FLOW_WEIGHT = 0.02
"""Load that an open flow adds without a request in progress, in requests."""


class PlainChooser(Protocol):
    """A policy that selects the agent for an opening."""

    def choose(
        self, flow: FlowKey, candidates: Sequence[AgentView], now: Millis
    ) -> AgentView:
        """Return one of `candidates`, which must not be empty."""


class LeastWaitChooser:
    """Selects the agent that is expected to answer a request first.

    Parameters
    ----------
    zone : str
        The zone of the balancer, preferred when expected response times are similar.
    random : Random
        Breaks ties, so that balancers with the same load reports don't all select the
        same agent.
    """

    def __init__(self, zone: str, random: Random):
        self._zone = zone
        self._random = random

    def choose(
        self, flow: FlowKey, candidates: Sequence[AgentView], now: Millis
    ) -> AgentView:
        """Return the candidate with the shortest expected response time."""
        default_service_us = _mean_service_us(candidates)
        return min(
            candidates,
            key=lambda view: self._expected_wait_us(view, default_service_us, now),
        )

    def _expected_wait_us(
        self, view: AgentView, default_service_us: float, now: Millis
    ) -> float:
        """Return the expected response time plus the zone penalty and jitter."""
        jitter = self._random.random()
        zone_penalty_us = 0 if view.entry.zone == self._zone else OTHER_ZONE_PENALTY_US
        load = view.load
        if load is None:
            return (
                default_service_us * (1 + view.pending_offers + TIE_JITTER * jitter)
                + zone_penalty_us
            )
        service_us = load.service_us or default_service_us
        average_busy = load.utilization * load.slots
        # The number of requests in progress is outdated quickly; average utilization
        # stays valid for longer.
        busy = (
            load.busy if now - view.load_received_at < MAX_LOAD_AGE_MS else average_busy
        )
        ahead = (
            busy + average_busy + view.pending_offers + load.flows * IDLE_FLOW_WEIGHT
        )
        queue = (ahead + TIE_JITTER * jitter) / max(load.slots, 1)
        return service_us * (1 + queue) + zone_penalty_us


class RoundRobinChooser:
    """Selects the candidates in rotation, regardless of their load."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, flow: FlowKey, candidates: Sequence[AgentView], now: Millis
    ) -> AgentView:
        """Return the next candidate."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class RandomChooser:
    """Selects a random candidate, regardless of its load.

    Parameters
    ----------
    random : Random
        Source of the choice.
    """

    def __init__(self, random: Random):
        self._random = random

    def choose(
        self, flow: FlowKey, candidates: Sequence[AgentView], now: Millis
    ) -> AgentView:
        """Return a random candidate."""
        return self._random.choice(candidates)


class HashChooser:
    """Selects by rendezvous hashing of the flow, identically at all balancers."""

    def choose(
        self, flow: FlowKey, candidates: Sequence[AgentView], now: Millis
    ) -> AgentView:
        """Return the candidate with the highest hash."""
        return max(
            candidates, key=lambda view: unit_hash(flow, str(view.endpoint).encode())
        )


def _mean_service_us(candidates: Sequence[AgentView]) -> float:
    """Return the mean of the reported service times, or the fallback if none."""
    reported = [
        view.load.service_us
        for view in candidates
        if view.load is not None and view.load.service_us
    ]
    return sum(reported) / len(reported) if reported else FALLBACK_SERVICE_US
