"""The agents known to a balancer, with the load and health of each."""

from collections.abc import Iterator

from papayagw._internal.core.plain.admission.limits import max_concurrent_requests
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.instance import (
    AgentEntry,
    AgentLoad,
    Availability,
)

MAX_LOAD_AGE_MS = Millis(300)
"""Age up to which a reported number of requests in progress is relied on.

Three times the interval between an agent's load reports.
"""

UNAVAILABLE_VALIDITY_MS = Millis(1_000)
"""How long a report that an agent accepts no openings stays valid.

The report that it accepts them again may be lost, and an offer that is returned costs
little.
"""

MISSING_GRACE_MS = Millis(2_000)
"""How long an agent may be missing from the store before it is considered gone.

Required by the users: a running agent restores its entry within two seconds.
"""

BUSY_BACKOFF_MS = Millis(1_000)
"""How long an agent that returned an opening as busy gets no offers.

It reports free capacity immediately, which ends the backoff, but the report may be
lost.
"""

INITIAL_SUSPICION_MS = Millis(400)
"""How long an agent is suspect the first time since its last load report.

An agent is suspect if it left an offer unanswered, or returned a packet as `SILENT` or
`WRONG_SERVICE`. It then gets offers only if no other agent accepts openings.

The time suffices to receive a load report from the agent in normal operation.
"""

MAX_SUSPICION_MS = Millis(4_000)
"""Upper limit of the time as suspect, which doubles from `INITIAL_SUSPICION_MS`."""


MAX_REQUEST_GAP_MS = Millis(1_000)
"""Longest pause between requests to an agent that counts as asking it all the while.

In a longer one the agent may have started, accepted a flow, and ended again.
"""

MIN_WATCH_INTERVAL_MS = Millis(700)
"""Minimum time between two watches of the agents' entries, so changes are batched.

The agents' replies to openings show their state earlier and in more detail.
"""

WATCH_INTERVAL_PER_AGENT_MS = 30
"""Time added between two watches for each known agent, in ms.

The more agents, the more often entries change, and each change would wake the watches
of all balancers, while a single new agent adds less capacity.
"""

MAX_MISSING_SHARE = 0.1
"""Share of the agents above which missing entries shorten the time between watches.

Fewer are missing while backend servers are replaced one after the other.
"""

MAX_WATCH_INTERVAL_MS = Millis(4_000)
"""Upper limit of the time between two watches of the agents' entries.

The entry of a new agent is known within this time.
"""


class AgentView:
    """A balancer's view of one agent.

    Parameters
    ----------
    entry : AgentEntry
        The agent's store entry.
    revision : int
        Store revision at which the entry was written.

    Attributes
    ----------
    load : AgentLoad or None
        The last load report; None if there was none.
    load_received_at : Millis
        When the last load report arrived.
    missing_since : Millis or None
        When the store entry was found missing; None while it exists.
    pending_offers : int
        Number of openings offered since the last load report.
    suspicion_count : int
        Number of suspicions since the last load report, which lengthen the next one.
    suspect_until : Millis
        End of the time as suspect.
    backoff_until : Millis
        End of the time without offers after a rejection as busy.
    had_report : bool
        Whether a load report has shown that the agent had a report of its backend
        server.
    """

    __slots__ = (
        "_requested_at",
        "_requested_since",
        "entry",
        "had_report",
        "revision",
        "load_received_at",
        "load",
        "missing_since",
        "pending_offers",
        "suspicion_count",
        "suspect_until",
        "backoff_until",
    )

    def __init__(self, entry: AgentEntry, revision: int):
        self.entry = entry
        self.revision = revision
        self.load: AgentLoad | None = None
        self.load_received_at = Millis(0)
        self.missing_since: Millis | None = None
        self.pending_offers = 0
        self.suspicion_count = 0
        self.suspect_until = Millis(0)
        self.backoff_until = Millis(0)
        self.had_report = False
        self._requested_since: Millis | None = None
        self._requested_at = Millis(0)

    @property
    def endpoint(self) -> Endpoint:
        """UDP endpoint at which the agent receives frames."""
        return self.entry.endpoint

    def record_load(self, load: AgentLoad, now: Millis) -> None:
        """Record a load report, after which the agent is no longer suspect.

        Earlier offers no longer count as pending. Free capacity also ends the backoff.
        """
        self.load = load
        self.load_received_at = now
        self.had_report |= load.run_age_ms is not None
        self.pending_offers = 0
        self.suspicion_count = 0
        self.suspect_until = Millis(0)
        if self.free_capacity > 0:
            self.backoff_until = Millis(0)

    def record_request(self, now: Millis) -> None:
        """Record that the agent was sent a frame that it answers."""
        if (
            self._requested_since is None
            or now - self._requested_at > MAX_REQUEST_GAP_MS
        ):
            self._requested_since = now
        self._requested_at = now

    def had_no_report_since(self, at: Millis, now: Millis) -> bool:
        """Return whether the agent can't have had a report of its server since `at`.

        It has been sent requests from then on, and would have answered one of them.
        """
        since = self._requested_since
        if self.had_report or since is None:
            return False
        return since <= at and now - self._requested_at <= MAX_REQUEST_GAP_MS

    def start_backoff(self, now: Millis) -> None:
        """Stop offers for `BUSY_BACKOFF_MS` after the agent rejected one as busy."""
        self.backoff_until = Millis(now + BUSY_BACKOFF_MS)

    def mark_suspect(self, now: Millis) -> Millis:
        """Mark the agent as suspect; return for how long."""
        wait = min(INITIAL_SUSPICION_MS << self.suspicion_count, MAX_SUSPICION_MS)
        if wait < MAX_SUSPICION_MS:
            self.suspicion_count += 1
        self.suspect_until = Millis(now + wait)
        return Millis(wait)

    def is_gone(self, now: Millis) -> bool:
        """Whether the store entry has been missing for over `MISSING_GRACE_MS`."""
        missing = self.missing_since
        return missing is not None and now - missing > MISSING_GRACE_MS

    def accepts_openings(self, now: Millis) -> bool:
        """Return whether the agent is available, not suspect and not busy."""
        return (
            self._is_available(now)
            and now >= self.suspect_until
            and now >= self.backoff_until
            and not self._is_busy(now)
        )

    def is_suspect(self, now: Millis) -> bool:
        """Return whether the agent is available but currently suspect."""
        return self._is_available(now) and now < self.suspect_until

    @property
    def free_capacity(self) -> int:
        """Number of openings that the agent can accept, by its last load report."""
        load = self.load
        if load is None:
            return 0
        return max_concurrent_requests(load.slots) - load.busy - self.pending_offers

    @property
    def has_report(self) -> bool:
        """Whether the agent is known to have had a report of its backend server."""
        return self.load is not None and self.load.run_age_ms is not None

    @property
    def backend_started_at(self) -> Millis | None:
        """Start of the backend server as its agent reports it; None if not known."""
        load = self.load
        if load is None or load.run_age_ms is None:
            return None
        return Millis(self.load_received_at - load.run_age_ms)

    def backend_started_after(self, at: Millis) -> bool:
        """Return whether the backend server is known to have started after `at`."""
        started_at = self.backend_started_at
        return started_at is not None and started_at > at

    def _is_busy(self, now: Millis) -> bool:
        """Return whether a recent load report leaves no free capacity."""
        if self.load is None or now - self.load_received_at > MAX_LOAD_AGE_MS:
            return False
        return self.free_capacity <= 0

    def _is_available(self, now: Millis) -> bool:
        """Return whether no recent load report says that the agent is unavailable.

        An agent that is gone isn't available.
        """
        if self.is_gone(now):
            return False
        load = self.load
        if load is None or load.availability is Availability.READY:
            return True
        return now - self.load_received_at > UNAVAILABLE_VALIDITY_MS


class Roster:
    """The agents of all services, by store key, service and endpoint.

    Several store entries may name one endpoint: the entry of a machine that is gone
    stays until its lease ends, and another machine may get its address before. Of the
    entries that aren't missing, the one written last is in use.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, AgentView] = {}
        self._keys_by_endpoint: dict[Endpoint, set[str]] = {}
        self._by_service: dict[str, dict[Endpoint, AgentView]] = {}
        self._by_endpoint: dict[Endpoint, AgentView] = {}

    def __len__(self) -> int:
        return len(self._by_endpoint)

    def __iter__(self) -> Iterator[AgentView]:
        return iter(self._by_endpoint.values())

    def find(self, endpoint: Endpoint) -> AgentView | None:
        """Return the agent at an endpoint, or None."""
        return self._by_endpoint.get(endpoint)

    @property
    def watch_interval_ms(self) -> Millis:
        """Minimum time from the last change of entries to the next watch of them.

        It is short while many entries are missing, as after an outage of the store.
        Their agents restore them, which must be known before they are considered gone.
        """
        if len(self.list_missing()) > MAX_MISSING_SHARE * len(self._by_key):
            return MIN_WATCH_INTERVAL_MS
        interval_ms = WATCH_INTERVAL_PER_AGENT_MS * len(self)
        return Millis(
            min(max(interval_ms, MIN_WATCH_INTERVAL_MS), MAX_WATCH_INTERVAL_MS)
        )

    def list_service(self, service: str) -> list[AgentView]:
        """Return the agents of a service, including those missing from the store."""
        return list(self._by_service.get(service, {}).values())

    def list_missing(self) -> list[AgentView]:
        """Return the agents whose entries are missing from the store."""
        views = self._by_key.values()
        return [view for view in views if view.missing_since is not None]

    def put(self, key: str, entry: AgentEntry, revision: int) -> bool:
        """Record the store entry under `key`; return whether anything changed.

        Parameters
        ----------
        key : str
            Store key of the entry.
        entry : AgentEntry
            The entry.
        revision : int
            Store revision at which it was written.
        """
        known = self._by_key.get(key)
        if known is not None and known.entry == entry:
            was_missing = known.missing_since is not None
            known.missing_since = None
            known.revision = revision
            self._select_view(entry.endpoint)
            return was_missing
        if known is not None:
            self._remove(key, known)
        self._by_key[key] = AgentView(entry, revision)
        self._keys_by_endpoint.setdefault(entry.endpoint, set()).add(key)
        self._select_view(entry.endpoint)
        return True

    def mark_missing(self, key: str, now: Millis) -> bool:
        """Record that the store lacks `key`; return whether anything changed."""
        known = self._by_key.get(key)
        if known is None or known.missing_since is not None:
            return False
        known.missing_since = now
        self._select_view(known.endpoint)
        return True

    def mark_others_missing(self, present: set[str], now: Millis) -> list[str]:
        """Mark all keys not in `present` as missing; return the newly missing ones."""
        return [
            key
            for key in self._by_key
            if key not in present and self.mark_missing(key, now)
        ]

    def remove_gone(self, now: Millis) -> list[str]:
        """Remove the agents that are gone; return their keys."""
        gone = [key for key, view in self._by_key.items() if view.is_gone(now)]
        for key in gone:
            self._remove(key, self._by_key[key])
        return gone

    def _remove(self, key: str, view: AgentView) -> None:
        """Remove an entry; another one of its endpoint takes its place."""
        del self._by_key[key]
        self._keys_by_endpoint[view.endpoint].remove(key)
        self._select_view(view.endpoint)

    def _select_view(self, endpoint: Endpoint) -> None:
        """Use the latest entry of an endpoint; one that is missing only as the last."""
        views = [self._by_key[key] for key in self._keys_by_endpoint[endpoint]]
        latest = max(
            views,
            key=lambda view: (view.missing_since is None, view.revision),
            default=None,
        )
        used = self._by_endpoint.get(endpoint)
        if used is latest:
            return
        if used is not None:
            del self._by_service[used.entry.service][endpoint]
            del self._by_endpoint[endpoint]
        if latest is None:
            del self._keys_by_endpoint[endpoint]
            return
        self._by_endpoint[endpoint] = latest
        self._by_service.setdefault(latest.entry.service, {})[endpoint] = latest
