"""Zones that the operator has evacuated, as a balancer knows them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from papayagw._internal.core.deadlines import DeadlineQueue
from papayagw._internal.core.plain.membership.roster import AgentView, Roster
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import Action, LogEvent, SendFrame
from papayagw._internal.models.plain.entry_store import StoreRevision
from papayagw._internal.models.plain.frame import EvacuationFrame
from papayagw._internal.models.plain.instance import AgentLoad, Availability

EVACUATION_FRAME_INTERVAL_MS = Millis(200)
"""Minimum time between two evacuation frames sent to one agent.

A load report that was sent before the last frame arrived is answered by no other one.
"""


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """The beginning or the end of a zone's evacuation, as the store's watch shows it.

    Attributes
    ----------
    zone : str
        The availability zone.
    is_evacuated : bool
        Whether the evacuation begins.
    revision : StoreRevision
        Revision of the operator's write.
    """

    zone: str
    is_evacuated: bool
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class EvacuationState:
    """The evacuated zones at a revision of the store.

    Attributes
    ----------
    zones : frozenset of str
        The evacuated zones.
    revision : StoreRevision
        Revision of the last read or change that was applied.
    """

    zones: frozenset[str]
    revision: StoreRevision

    def apply_read(
        self, zones: frozenset[str], revision: StoreRevision
    ) -> "EvacuationState":
        """Return the state after a full read; an older one of the same era is ignored.

        The answers to a balancer's reads are in order, so that a read of another era
        always follows a restoration of the store.
        """
        if revision.era == self.revision.era and revision < self.revision:
            return self
        return EvacuationState(zones, revision)

    def apply_change(self, change: ZoneChange) -> "EvacuationState":
        """Return the state after a change; a change before the last read is ignored.

        Changes of one transaction have the same revision.
        """
        if change.revision < self.revision:
            return self
        zone = frozenset((change.zone,))
        zones = self.zones | zone if change.is_evacuated else self.zones - zone
        return EvacuationState(zones, change.revision)


class ZoneEvacuations:
    """Keeps agents of evacuated zones from being chosen, and tells them to refuse.

    Without a read, as in deployments that evacuate no zones, all agents are in service
    and no frame is sent.

    Parameters
    ----------
    roster : Roster
        The known agents.
    on_newer_state : callable
        Called when an agent reports an evacuation that isn't known here. It causes the
        operator's keys to be read again.
    limit_ms : Millis or None
        Time within which an evacuation must be in force, for logs.
    """

    def __init__(
        self,
        roster: Roster,
        on_newer_state: Callable[[], None] = lambda: None,
        limit_ms: Millis | None = None,
    ):
        self._roster = roster
        self._on_newer_state = on_newer_state
        self._limit_ms = limit_ms
        self._state: EvacuationState | None = None
        self._zones: frozenset[str] = frozenset()
        self._sent_at: dict[Endpoint, Millis] = {}
        self._delayed: DeadlineQueue[Endpoint] = DeadlineQueue()

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return self._zones

    @property
    def due_at(self) -> Millis | None:
        """Time at which `on_timer` must be called next; None if no timer is pending."""
        return self._delayed.next_at

    def is_in_service(self, view: AgentView) -> bool:
        """Whether an agent's zone isn't evacuated."""
        return view.entry.zone not in self._zones

    def list_in_service(self, views: list[AgentView]) -> list[AgentView]:
        """Return those of the agents whose zones aren't evacuated."""
        if not self._zones:
            return views
        return [view for view in views if self.is_in_service(view)]

    def has_emptied(self, service: str, now: Millis) -> bool:
        """Whether all agents of a service are in evacuated zones."""
        if not self._zones:
            return False
        views = self._roster.list_service(service)
        known = [view for view in views if not view.is_gone(now)]
        return bool(known) and not self.list_in_service(known)

    def on_read(
        self,
        zones: frozenset[str],
        revision: StoreRevision,
        now: Millis,
        unconfirmed_ms: Millis,
    ) -> list[Action]:
        """Handle a full read of the operator's keys.

        Parameters
        ----------
        zones : frozenset of str
            The zones whose keys exist.
        revision : StoreRevision
            Revision of the read.
        now : Millis
            Current time.
        unconfirmed_ms : Millis
            Time since the previous answer of the store, for logs. The change isn't
            older.

        Returns
        -------
        list of Action
            Frames to the agents of the zones that changed, and log events.
        """
        state = self._state
        if state is None:
            state = EvacuationState(zones, revision)
        else:
            state = state.apply_read(zones, revision)
        return self._set_state(state, "read", now, unconfirmed_ms)

    def on_changes(
        self,
        changes: Iterable[ZoneChange],
        now: Millis,
        unconfirmed_ms: Millis,
    ) -> list[Action]:
        """Handle changes that a watch returned, in order; see `on_read`."""
        state = self._state
        if state is None:
            return []
        for change in changes:
            state = state.apply_change(change)
        return self._set_state(state, "watch", now, unconfirmed_ms)

    def on_load(self, view: AgentView, load: AgentLoad, now: Millis) -> list[Action]:
        """Answer a load report that contradicts the state known here.

        If the agent reports an evacuation, another balancer may know a newer state, so
        `on_newer_state` is called too.
        """
        if self._state is None or load.availability is Availability.LEAVING:
            return []
        reports_evacuated = load.availability is Availability.EVACUATED
        if reports_evacuated is not self.is_in_service(view):
            return []
        if now < self._next_frame_at(view.endpoint):
            return []
        if reports_evacuated:
            self._on_newer_state()
        return [self._make_frame(view, self._state, now)]

    def on_timer(self, now: Millis) -> list[Action]:
        """Send the frames that were delayed by the interval between two frames."""
        due = [self._roster.find(endpoint) for endpoint in self._delayed.pop_due(now)]
        if self._state is None:
            return []
        state = self._state
        return [self._make_frame(view, state, now) for view in due if view is not None]

    def _set_state(
        self,
        state: EvacuationState,
        source: str,
        now: Millis,
        unconfirmed_ms: Millis,
    ) -> list[Action]:
        """Put a state in force; notify the agents of the zones that changed."""
        changed = sorted(self._zones ^ state.zones)
        self._state, self._zones = state, state.zones
        actions: list[Action] = []
        for zone in changed:
            views = [view for view in self._roster if view.entry.zone == zone]
            event = "zone evacuated" if zone in state.zones else "zone in service"
            fields = {
                "zone": zone,
                "era": state.revision.era,
                "revision": state.revision.number,
                "source": source,
                "unconfirmed_ms": unconfirmed_ms,
                "limit_ms": self._limit_ms,
                "agents": len(views),
            }
            actions.append(LogEvent(event, fields))
            actions += self._notify(views, state, now)
        return actions

    def _notify(
        self, views: list[AgentView], state: EvacuationState, now: Millis
    ) -> list[Action]:
        """Return frames for agents; schedule those for agents that had one recently."""
        actions: list[Action] = []
        for view in views:
            next_at = self._next_frame_at(view.endpoint)
            if now < next_at:
                self._delayed.set(view.endpoint, next_at)
            else:
                actions.append(self._make_frame(view, state, now))
        return actions

    def _next_frame_at(self, endpoint: Endpoint) -> Millis:
        """Return the earliest time of the next frame to an agent."""
        sent_at = self._sent_at.get(endpoint)
        if sent_at is None:
            return Millis(0)
        return Millis(sent_at + EVACUATION_FRAME_INTERVAL_MS)

    def _make_frame(
        self, view: AgentView, state: EvacuationState, now: Millis
    ) -> SendFrame:
        """Return the action that tells an agent of its zone's state."""
        self._sent_at[view.endpoint] = now
        self._delayed.set(view.endpoint, None)
        is_evacuated = not self.is_in_service(view)
        frame = EvacuationFrame(view.entry.service, is_evacuated, state.revision)
        return SendFrame(view.endpoint, frame)
