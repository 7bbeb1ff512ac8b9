"""Process of the plain front end's balancer: sockets, probes and store watches."""

from collections.abc import Sequence
from dataclasses import replace
from http import HTTPStatus
from random import Random

from papayagw._internal.core.plain.balancer import PlainBalancer
from papayagw._internal.core.plain.membership.evacuation import ZoneEvacuations
from papayagw._internal.core.plain.membership.roster import Roster
from papayagw._internal.core.plain.placement.policies import make_chooser
from papayagw._internal.core.plain.placement.waiting import make_order
from papayagw._internal.core.plain.routing.route_change_recorder import (
    RouteChangeRecorder,
)
from papayagw._internal.core.plain.routing.route_history import RouteHistory
from papayagw._internal.core.plain.store.prefix_watcher import PrefixWatcher
from papayagw._internal.exceptions import DecodeError
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import (
    Action,
    LogEvent,
    ResetClient,
    SendFrame,
)
from papayagw._internal.models.plain.entry_store import (
    RangeResult,
    StoreAnswer,
    StoreCall,
    StoredItem,
    StoreEvent,
    StoreRestored,
    StoreRevision,
    WatchResult,
)
from papayagw._internal.models.plain.frame import Frame, ToBalancer
from papayagw._internal.models.plain.settings import PlainBalancerSettings
from papayagw._internal.net.datagrams import BatchSocket
from papayagw._internal.net.plain.adapter import Platform
from papayagw._internal.net.plain.http_server import HttpRequest, HttpResponse
from papayagw._internal.net.plain.loop import Alarm
from papayagw._internal.net.plain.operator_keys import (
    list_evacuated_zones,
    list_zone_changes,
)
from papayagw._internal.net.plain.process import (
    ProcessRuntime,
    SettingsLoader,
    error_fields,
)
from papayagw._internal.net.plain.store_driver import CallRecorder, StoreDriver
from papayagw._internal.wire.plain_entries import (
    AGENT_PREFIX,
    SYSTEM_PREFIX,
    decode_entry,
)
from papayagw._internal.wire.plain_route_changes import (
    ROUTE_CHANGE_PREFIX,
    decode_route_change,
    encode_route_change,
    route_change_key,
)

MIN_SITE_WATCH_INTERVAL_MS = Millis(300)
"""Minimum time between watches of the configuration, so that changes are batched.

A change must be in force within 3 s.
"""

SITE_WATCH_TIMEOUT_MS = Millis(2_500)
"""How long the store waits for a change before it answers a watch.

With the timeout of the call and the read that follows, a change is in force within the
required 4 s even if the answer to a watch is lost.
"""

MAX_AGENTS_RETRY_DELAY_MS = Millis(2_000)
"""Upper limit of the delay between attempts to read the agents' entries again.

Known agents are used without the store meanwhile.
"""

MIN_SITE_REFRESH_INTERVAL_MS = Millis(500)
"""Minimum time between two reads of the operator's keys requested by agents.

An agent requests one by reporting a version newer than the one in force, or an
evacuation that isn't known here.
"""

MIN_AGENTS_REFRESH_INTERVAL_MS = Millis(200)
"""Minimum time between two reads of the agents' entries for flows without an owner.

It is short because the clients of these flows wait for the read. After a power
failure most flows are of this kind.
"""

UNROUTED_IDLE_MS = Millis(400)
"""Time without a client packet after which a stopping balancer counts as unrouted.

Routers then no longer send it packets, so that it can exit without losing any.
"""

UNROUTED_REFUSED_PROBES = 2
"""Number of refused readiness probes after which routers stop sending packets."""

STOP_MARGIN_MS = Millis(700)
"""How long before the end of the grace period a stopping balancer exits in any case."""


class PlainBalancerProcess:
    """Process of one balancer: `PlainBalancer` with sockets, probes and store watches.

    `PlainBalancer` does no I/O: it decides on each packet, frame and timer, and returns
    the actions that this class performs.

    Parameters
    ----------
    settings : PlainBalancerSettings
        Settings of the process.
    platform : Platform
        Packet formats, store protocol and reports of the platform.
    load_settings : callable
        Reads the settings file again.
    """

    def __init__(
        self,
        settings: PlainBalancerSettings,
        platform: Platform,
        load_settings: SettingsLoader,
    ):
        self._runtime = ProcessRuntime("balancer", settings, platform, load_settings)
        self._settings = settings
        self._platform = platform
        random = Random()
        self._roster = Roster()
        self._route_history = RouteHistory(settings.flow_limit_ms)
        self._follows_evacuations = settings.evacuation_ms is not None
        self._evacuations = ZoneEvacuations(
            self._roster, self._on_newer_operator_keys, settings.evacuation_ms
        )
        self._core = PlainBalancer(
            self._roster,
            self._route_history,
            make_chooser(settings.placement, settings.zone, random),
            self._on_newer_operator_keys,
            self._schedule_agents_refresh,
            evacuations=self._evacuations,
            order=make_order(settings.admission),
        )
        self._entry = BatchSocket(settings.entry)
        # One watch covers the configuration and the evacuations, and one read returns
        # both, so that a balancer that starts offers nothing to an evacuated zone.
        self._site_watcher = PrefixWatcher(
            platform.operator_prefix
            if self._follows_evacuations
            else platform.site_key,
            self._on_site_items,
            self._on_site_events,
            random,
            lambda: MIN_SITE_WATCH_INTERVAL_MS,
            watch_timeout_ms=SITE_WATCH_TIMEOUT_MS,
        )
        # One read shows both agents and route changes, so that the read that confirms
        # the absence of an owner also shows where the owner may be.
        self._system_watcher = PrefixWatcher(
            SYSTEM_PREFIX,
            self._on_system_items,
            self._on_system_events,
            random,
            lambda: self._roster.watch_interval_ms,
            MAX_AGENTS_RETRY_DELAY_MS,
        )
        self._site_driver = self._make_driver(
            self._site_watcher, self._record_site_call
        )
        self._system_driver = self._make_driver(
            self._system_watcher, self._record_store_call
        )
        self._route_change_recorder = RouteChangeRecorder(
            settings.flow_limit_ms, lambda: self._roster.watch_interval_ms, random
        )
        self._route_change_driver = StoreDriver(
            self._runtime.loop,
            settings.store,
            platform,
            self._route_change_recorder,
            self._record_store_call,
        )
        self._alarm = Alarm(self._runtime.loop, self._on_timer)
        self._agents_refresh_alarm = Alarm(self._runtime.loop, self._refresh_agents)
        self._was_ready = False
        self._is_stopping = False
        self._refused_probes = 0
        self._site_confirmed_at = self._runtime.loop.now()
        self._site_refreshed_at = Millis(0)
        self._agents_refreshed_at = Millis(0)
        self._last_packet_at = Millis(0)

    @property
    def _site_unconfirmed_ms(self) -> Millis:
        """Time since the store last answered on the configuration, or since start."""
        return Millis(self._runtime.loop.now() - self._site_confirmed_at)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT and the shutdown that follows it."""
        runtime = self._runtime
        runtime.start()
        self._entry.start()
        runtime.loop.watch(self._entry, self._receive_client_packets)
        runtime.watch_frames(self._on_frame)
        runtime.serve(self._settings.readiness, self._handle_probe)
        runtime.add_stop_handler(self._stop)
        runtime.metrics.gauge("flows remembered", lambda: self._core.flow_count)
        runtime.metrics.gauge("agents known", lambda: len(self._roster))
        runtime.metrics.gauge(
            "configuration unconfirmed ms", lambda: self._site_unconfirmed_ms
        )
        if self._follows_evacuations:
            runtime.metrics.gauge(
                "evacuated zones", lambda: len(self._evacuations.zones)
            )
        self._site_driver.start()
        self._system_driver.start()
        try:
            runtime.loop.run()
        finally:
            self._entry.close()
            runtime.close()

    def _make_driver(
        self, watcher: PrefixWatcher, on_answer: CallRecorder
    ) -> StoreDriver:
        """Return the driver that makes the store calls of a watcher."""
        runtime = self._runtime
        return StoreDriver(
            runtime.loop, self._settings.store, self._platform, watcher, on_answer
        )

    def _record_site_call(
        self, call: StoreCall, answer: StoreAnswer, took_ms: int
    ) -> None:
        """Record a call on the configuration, and when the store last answered one."""
        self._record_store_call(call, answer, took_ms)
        if isinstance(answer, RangeResult | WatchResult | StoreRestored):
            self._site_confirmed_at = self._runtime.loop.now()

    def _record_store_call(
        self, call: StoreCall, answer: StoreAnswer, took_ms: int
    ) -> None:
        """Record a call; read everything again once the store was restored."""
        self._runtime.record_store_call(call, answer, took_ms)
        if isinstance(answer, StoreRestored):
            self._refresh(self._site_watcher, self._site_driver)
            self._refresh(self._system_watcher, self._system_driver)

    # Packets and frames

    def _receive_client_packets(self) -> None:
        """Handle the packets that clients have sent."""
        now = self._runtime.loop.now()
        actions: list[Action] = []
        for raw, _ in self._entry.receive_batch():
            packet = self._platform.decode_client_packet(raw)
            if packet is None:
                self._runtime.metrics.count("malformed packets")
                continue
            self._last_packet_at = now
            actions += self._core.on_client_packet(packet, now)
        self._perform(actions)

    def _on_frame(self, frame: Frame, source: Endpoint) -> None:
        """Let `PlainBalancer` handle an agent's frame; count and drop other frames."""
        if not isinstance(frame, ToBalancer):
            self._runtime.metrics.count("frames of the wrong kind")
            return
        self._perform(self._core.on_frame(frame, source, self._runtime.loop.now()))

    def _on_timer(self) -> None:
        """Let `PlainBalancer` handle its expired timers."""
        self._perform(self._core.on_timer(self._runtime.loop.now()))

    def _perform(self, actions: Sequence[Action]) -> None:
        """Perform actions of `PlainBalancer` and set the timer to its next deadline."""
        for action in actions:
            match action:
                case SendFrame(peer, frame):
                    self._runtime.send_frame(peer, frame)
                case ResetClient():
                    self._runtime.send_reset(action)
                case LogEvent():
                    self._runtime.record_event(action)
                    if action.event == "opening returned":
                        reason = action.fields["reason"]
                        self._runtime.metrics.count(f"opening returned {reason}")
        self._alarm.set(self._core.due_at)

    # The store

    def _on_newer_operator_keys(self) -> None:
        """Read the operator's keys again, as an agent knows newer ones."""
        now = self._runtime.loop.now()
        if now - self._site_refreshed_at >= MIN_SITE_REFRESH_INTERVAL_MS:
            self._site_refreshed_at = now
            self._refresh(self._site_watcher, self._site_driver)

    def _schedule_agents_refresh(self) -> None:
        """Schedule a full read of the agents' entries."""
        # The timer runs the read after the current event has been handled, so that
        # the read also covers the flow of this event.
        next_at = self._agents_refreshed_at + MIN_AGENTS_REFRESH_INTERVAL_MS
        self._agents_refresh_alarm.set(Millis(max(self._runtime.loop.now(), next_at)))

    def _refresh_agents(self) -> None:
        """Start a full read of the agents' entries."""
        self._agents_refreshed_at = self._runtime.loop.now()
        self._refresh(self._system_watcher, self._system_driver)

    def _refresh(self, watcher: PrefixWatcher, driver: StoreDriver) -> None:
        """Start a full read of a watcher's keys unless one is in progress."""
        if watcher.refresh(self._runtime.loop.now()):
            driver.restart()

    def _on_site_items(self, items: tuple[StoredItem, ...]) -> None:
        """Apply the evacuations and the configuration from a full read.

        The evacuations go first, since the first configuration releases the openings
        that wait for it.
        """
        revision = self._site_watcher.revision
        if self._follows_evacuations and revision is not None:
            zones = list_evacuated_zones(self._platform, items)
            read_at = StoreRevision(self._site_driver.era, revision)
            now, unconfirmed_ms = self._runtime.loop.now(), self._site_unconfirmed_ms
            self._perform(
                self._evacuations.on_read(zones, read_at, now, unconfirmed_ms)
            )
        self._apply_sites(items, "read")

    def _on_site_events(self, events: tuple[StoreEvent, ...]) -> None:
        """Apply evacuations that began or ended, and the configuration."""
        if self._follows_evacuations:
            era = self._site_driver.era
            changes = list_zone_changes(self._platform, events, era)
            now, unconfirmed_ms = self._runtime.loop.now(), self._site_unconfirmed_ms
            self._perform(self._evacuations.on_changes(changes, now, unconfirmed_ms))
        self._apply_sites(
            tuple(e for e in events if isinstance(e, StoredItem)), "watch"
        )

    def _apply_sites(self, items: tuple[StoredItem, ...], source: str) -> None:
        """Apply the configurations among `items`, which `source` returned."""
        for item in items:
            if item.key == self._platform.site_key:
                self._apply_site(item, source)

    def _apply_site(self, item: StoredItem, source: str) -> None:
        """Decode a stored configuration and apply it if it is newer."""
        try:
            site = self._platform.decode_site(item.value)
        except DecodeError as error:
            self._runtime.record_event(
                LogEvent("configuration refused", error_fields(error))
            )
            return
        if not self._settings.limits_cold_servers:
            site = replace(site, limits={})
        fields: dict[str, object] = {
            "version": site.version,
            "revision": item.revision,
            "source": source,
            "unconfirmed_ms": self._site_unconfirmed_ms,
        }
        now = self._runtime.loop.now()
        if self._core.apply_site(site, now):
            fields["routes"] = len(site.routes)
            self._runtime.record_event(LogEvent("configuration in force", fields))
            self._schedule_route_changes()
            self._perform(self._core.handle_early_packets(now))

    def _on_system_items(self, items: tuple[StoredItem, ...]) -> None:
        """Update the roster and the route changes from a full read of their keys."""
        keys = {item.key for item in items}
        self._route_change_recorder.on_listed(keys)
        for item in items:
            self._put_item(item)
        self._schedule_route_changes()
        now = self._runtime.loop.now()
        for key in self._roster.mark_others_missing(keys, now):
            self._record_missing_agent(key)
        self._process_missing_agents()
        self._perform(self._core.on_agents_listed(now))

    def _on_system_events(self, events: tuple[StoreEvent, ...]) -> None:
        """Update the roster and the route changes from writes and removals."""
        now = self._runtime.loop.now()
        for event in events:
            if isinstance(event, StoredItem):
                self._route_change_recorder.on_written([event.key])
                self._put_item(event)
            elif self._roster.mark_missing(event.key, now):
                self._record_missing_agent(event.key)
        self._process_missing_agents()

    def _put_item(self, item: StoredItem) -> None:
        """Add an agent's entry to the roster, or a route change to the history."""
        if item.key.startswith(AGENT_PREFIX):
            self._put_agent(item)
        elif item.key.startswith(ROUTE_CHANGE_PREFIX):
            self._learn_route_change(item)

    def _learn_route_change(self, item: StoredItem) -> None:
        """Add a stored route change to the history, or log that it is invalid."""
        try:
            change = decode_route_change(item.key, item.value)
        except DecodeError as error:
            self._runtime.record_event(
                LogEvent("route change refused", error_fields(error))
            )
            return
        self._route_history.learn(change, self._runtime.loop.now())

    def _schedule_route_changes(self) -> None:
        """Schedule the writes of observed route changes that the store lacks."""
        now = self._runtime.loop.now()
        values = {
            route_change_key(change): encode_route_change(change)
            for change in self._route_history.list_observed(now)
        }
        self._route_change_recorder.schedule(values, now)
        self._route_change_driver.reschedule()

    def _put_agent(self, item: StoredItem) -> None:
        """Add an agent's store entry to the roster, or log that it is invalid."""
        try:
            entry = decode_entry(item.key, item.value)
        except DecodeError as error:
            self._runtime.record_event(
                LogEvent("agent entry refused", error_fields(error))
            )
            return
        if self._roster.put(item.key, entry, item.revision):
            fields = {
                "agent": entry.endpoint,
                "service": entry.service,
                "revision": item.revision,
            }
            self._runtime.record_event(LogEvent("agent known", fields))

    def _record_missing_agent(self, key: str) -> None:
        """Log that an agent's store entry is missing."""
        self._runtime.record_event(LogEvent("agent missing", {"key": key}))

    def _process_missing_agents(self) -> None:
        """Notify the agents that are missing, and remove those that are gone.

        An agent is missing while it has no store entry; it is asked to restore the
        entry. It is gone once it has been missing for over
        `roster.MISSING_GRACE_MS`.
        """
        self._perform(self._core.notify_missing_agents())
        now = self._runtime.loop.now()
        for key in self._roster.remove_gone(now):
            self._runtime.record_event(LogEvent("agent gone", {"key": key}))

    # Readiness and shutdown

    def _handle_probe(self, request: HttpRequest) -> HttpResponse:
        """Answer the readiness probe; a stopping balancer isn't ready."""
        if request.target != self._platform.readiness_path:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        is_ready = self._core.is_ready and not self._is_stopping
        if is_ready and not self._was_ready:
            self._was_ready = True
            self._runtime.record_event(LogEvent("ready", {"agents": len(self._roster)}))
        if self._is_stopping:
            self._refused_probes += 1
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return HttpResponse(status)

    def _stop(self) -> None:
        """Refuse readiness probes, and exit once no more client packets arrive."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._runtime.record_event(
            LogEvent("stopping", {"flows": self._core.flow_count})
        )
        self._route_change_recorder.flush(self._runtime.loop.now())
        self._route_change_driver.reschedule()
        remaining_ms = self._runtime.settings.grace_ms - STOP_MARGIN_MS
        self._runtime.loop.call_after(Millis(remaining_ms), self._runtime.loop.stop)
        self._check_unrouted()

    def _check_unrouted(self) -> None:
        """Exit if the balancer counts as unrouted, or else check again later."""
        idle_ms = self._runtime.loop.now() - self._last_packet_at
        if (
            self._refused_probes >= UNROUTED_REFUSED_PROBES
            and idle_ms > UNROUTED_IDLE_MS
        ):
            self._runtime.loop.stop()
            return
        self._runtime.loop.call_after(
            Millis(UNROUTED_IDLE_MS // 2), self._check_unrouted
        )
