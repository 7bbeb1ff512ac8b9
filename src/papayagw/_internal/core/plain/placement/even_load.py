"""Policy that evens out the load although load reports are outdated.

Many balancers choose at the same moment, from the same reports. The server that was
idle in the last report must not get the openings of all of them.
"""

from collections.abc import Sequence
from random import Random

from papayagw._internal.core.plain.membership.roster import AgentView
from papayagw._internal.core.plain.placement.choice import (
    FALLBACK_SERVICE_US,
    OTHER_ZONE_PENALTY_US,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.plain.packet import FlowKey

DRAWS = 3
"""Number of candidates that are drawn, of which the best gets the opening.

With more, balancers agree more often on the same server, and overload it.
"""

MIN_UTILIZATION = 0.1
"""Lower limit of the mean utilization from which shares are computed.

Without it, idle servers of a service without load would have no share.
"""

LOAD_WEIGHT = 0.3
"""Addition to the expected response time for each request per slot, in service times.

An estimate that leaves a slot free may be wrong, the more so the higher it is.
"""

US_PER_MS = 1_000


class EvenLoadChooser:
    """Draws some candidates by their shares, and selects the best of these.

    The share of a server is the number of openings that it can serve in the mean
    service time, plus the number that it is below the mean load, or minus the number
    that it is above. Its load is an estimate, which is the closer to its average, the
    older the last report is.

    Parameters
    ----------
    zone : str
        The zone of the balancer, preferred when expected response times are similar.
    random : Random
        Draws the candidates.
    """

    def __init__(self, zone: str, random: Random):
        self._zone = zone
        self._random = random

    def choose(
        self, flow: FlowKey, candidates: Sequence[AgentView], now: Millis
    ) -> AgentView:
        """Return the drawn candidate with the shortest expected response time."""
        fleet = _FleetEstimate(candidates, now)
        drawn = self._random.choices(
            range(len(candidates)), fleet.list_shares(), k=DRAWS
        )
        best = min(
            drawn,
            key=lambda index: (
                fleet.expected_response_us(index)
                + self._zone_penalty_us(candidates[index])
            ),
        )
        return candidates[best]

    def _zone_penalty_us(self, view: AgentView) -> int:
        """Return the time that a candidate's zone adds to its response time."""
        return 0 if view.entry.zone == self._zone else OTHER_ZONE_PENALTY_US


class _FleetEstimate:
    """Estimated load of the candidates for one choice.

    Requests in progress are replaced by others within a service time, so that the
    number in a server's report gives way to the average of this server and of all. Own
    offers since the report are added; those of other balancers are part of the average.
    A server without a report counts as one slot with the mean utilization and service
    time: one that is small or cold isn't overloaded until its first answer shows its
    load.

    Parameters
    ----------
    candidates : sequence of AgentView
        The candidates.
    now : Millis
        Time for which the load is estimated.
    """

    # Each server is a tuple of its slots, its service time in us and its requests in
    # progress per slot, since a choice must cost no more than by least wait.
    __slots__ = ("_mean_load", "_mean_service_us", "_servers", "_utilization")

    def __init__(self, candidates: Sequence[AgentView], now: Millis):
        reports = [view.load for view in candidates if view.load is not None]
        known_us = [report.service_us for report in reports if report.service_us]
        mean_us = sum(known_us) / len(known_us) if known_us else FALLBACK_SERVICE_US
        reported_slots = sum([report.slots for report in reports])
        busy = sum([report.utilization * report.slots for report in reports])
        utilization = max(
            busy / reported_slots if reported_slots else 0.0, MIN_UTILIZATION
        )
        total_slots, total_load = 0, 0.0
        servers: list[tuple[int, float, float]] = []
        for view in candidates:
            report = view.load
            if report is None:
                slots, service_us = 1, mean_us
                load = utilization
            else:
                slots = report.slots or 1
                service_us = report.service_us or mean_us
                average = (report.utilization + utilization) / 2
                age_us = US_PER_MS * (now - view.load_received_at)
                reported = (report.busy / slots - average) * service_us
                load = average + reported / (service_us + age_us)
            if view.pending_offers:
                load += view.pending_offers / slots
            servers.append((slots, service_us, load))
            total_slots += slots
            total_load += slots * load
        self._servers = servers
        self._mean_load = total_load / total_slots
        self._mean_service_us = mean_us
        self._utilization = utilization

    def list_shares(self) -> list[float]:
        """Return the share of each candidate in the openings, not normalised.

        They add up to more than 0, since the differences to the mean load cancel out.
        """
        mean_load = self._mean_load
        expected_us = self._utilization * self._mean_service_us
        shares = [
            slots * (expected_us / service_us + mean_load - load)
            for slots, service_us, load in self._servers
        ]
        return [share if share > 0 else 0.0 for share in shares]

    def expected_response_us(self, index: int) -> float:
        """Return the expected response time of the candidate at `index`."""
        slots, service_us, load = self._servers[index]
        queued = max(0.0, load - 1 + 1 / slots)
        return service_us * (1 + queued + LOAD_WEIGHT * load)
