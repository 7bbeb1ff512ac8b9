"""Registration and heartbeats of an agent.

An agent has no list of balancers. It sends its first announcement to the control
address, which forwards it to any one of the balancers; the acknowledgement lists the
watchers that receive the agent's heartbeats from then on.
"""

import random
from dataclasses import replace

from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.models.agent import (
    MAX_WEIGHT,
    UNIT_WEIGHT,
    AgentRecord,
    AgentState,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.control import (
    KEEP_INTERVAL_MS,
    Acknowledgement,
    Announcement,
    ControlMessage,
    Heartbeat,
    Send,
)
from papayagw._internal.models.endpoint import Endpoint

CHANGE_RETRANSMISSIONS = 3
"""Number of times that a change is sent again, because datagrams may be lost."""

INITIAL_ANNOUNCE_INTERVAL_MS = Millis(200)
"""Mean wait after the first of successive announcements at the control address."""

MAX_ANNOUNCE_INTERVAL_MS = Millis(2_000)
"""Maximum of that mean wait, which doubles with each further announcement."""

MAX_UNACKNOWLEDGED_HEARTBEATS = 12
"""Number of heartbeats without an acknowledgement after which a watcher is dropped."""

INITIAL_INTERVAL_MS = Millis(1_000)
"""Heartbeat interval until a balancer assigns one."""

HEARTBEAT_JITTER_SHARE = 0.1
"""Jitter as a share of the interval, which keeps agents from synchronising."""

TICK_MS = Millis(100)
"""Time between two calls of `AgentAnnouncer.on_tick`."""

MIN_WEIGHT_CHANGE_SHARE = 0.25
"""Minimum relative change of the weight that is announced."""

WEIGHT_CHANGE_INTERVALS = 300
"""Minimum number of heartbeat intervals between announced changes of the weight."""


class AgentAnnouncer:
    """State machine that announces an agent and sends its heartbeats.

    Parameters
    ----------
    own : AgentRecord
        The record of this agent.
    control_address : Endpoint
        The address at which a datagram reaches any one of the balancers.
    siblings : AgentDirectory
        The directory that is updated with other agents of the service.
    random_source : random.Random
        The source for jitter.
    """

    def __init__(
        self,
        own: AgentRecord,
        control_address: Endpoint,
        siblings: AgentDirectory,
        random_source: random.Random,
    ):
        self._own = own
        self._control_address = control_address
        self._siblings = siblings
        self._random = random_source
        self._siblings_digest = 0
        self._watchers: dict[Endpoint, int] = {}
        self._interval = INITIAL_INTERVAL_MS
        self._heartbeat_number = 0
        self._heartbeat_at = Millis(0)
        self._announce_at = Millis(0)
        self._announce_interval = INITIAL_ANNOUNCE_INTERVAL_MS
        self._retransmissions = 0
        self._weight_changed_at: Millis | None = None
        self._superseded = False
        self._advertised_configuration: tuple[int, Endpoint] | None = None

    @property
    def own(self) -> AgentRecord:
        """The agent's own record."""
        return self._own

    @property
    def siblings(self) -> AgentDirectory:
        """Other agents of the service that accept openings."""
        return self._siblings

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """The balancers that watch this agent; empty until they are known."""
        return tuple(self._watchers)

    @property
    def superseded(self) -> bool:
        """Whether a later process has taken over this agent's endpoint."""
        return self._superseded

    @property
    def advertised_configuration(self) -> tuple[int, Endpoint] | None:
        """The highest advertised version of the configuration, and a peer with it."""
        return self._advertised_configuration

    def drain(self, now: Millis) -> tuple[Send, ...]:
        """Announce that this agent accepts no more openings."""
        if self._own.state is not AgentState.READY:
            return ()
        return self._announce_change(replace(self._own, state=AgentState.DRAINING), now)

    def close(self, now: Millis) -> tuple[Send, ...]:
        """Announce that this agent is gone; the next ticks send it again."""
        if self._own.state is AgentState.GONE:
            return ()
        return self._announce_change(replace(self._own, state=AgentState.GONE), now)

    def set_weight(self, weight: int, now: Millis) -> tuple[Send, ...]:
        """Announce a new weight, unless the change is too small or follows too soon."""
        weight = max(0, min(MAX_WEIGHT, weight))
        step = MIN_WEIGHT_CHANGE_SHARE * max(
            self._own.weight, UNIT_WEIGHT * MIN_WEIGHT_CHANGE_SHARE
        )
        if abs(weight - self._own.weight) < step:
            return ()
        wait = WEIGHT_CHANGE_INTERVALS * self._interval
        if self._weight_changed_at is not None and now - self._weight_changed_at < wait:
            return ()
        self._weight_changed_at = now
        return self._announce_change(replace(self._own, weight=weight), now)

    def on_message(
        self, message: ControlMessage, source: Endpoint, now: Millis
    ) -> tuple[Send, ...]:
        """Handle a control message; all but acknowledgements are ignored."""
        if not isinstance(message, Acknowledgement):
            return ()
        if message.incarnation > self._own.incarnation:
            self._superseded = True
            return ()
        self._update_watchers(message, source, now)
        self._update_siblings(message)
        self._record_version(message.configuration_version, source)
        return self._correct_balancer(message, source, now)

    def on_tick(self, now: Millis) -> tuple[Send, ...]:
        """Return the messages that are due; to be called about every 100 ms."""
        if self._superseded:
            return ()
        if self._retransmissions > 0:
            self._retransmissions -= 1
            return self._announce_everywhere()
        if self._own.state is AgentState.GONE:
            return ()
        self._drop_silent_watchers()
        if not self._watchers:
            return self._announce_if_due(now)
        return self._send_heartbeat(now)

    def _announce_change(self, record: AgentRecord, now: Millis) -> tuple[Send, ...]:
        """Make `record` the agent's own, with the next sequence, and announce it."""
        self._own = replace(record, sequence=self._own.sequence + 1)
        self._retransmissions = CHANGE_RETRANSMISSIONS
        return () if self._superseded else self._announce_everywhere()

    def _announce_everywhere(self) -> tuple[Send, ...]:
        """Send the agent's record to its watchers and to the control address."""
        message = Announcement(self._own)
        destinations = (*self._watchers, self._control_address)
        return tuple(Send(destination, message) for destination in destinations)

    def _announce_if_due(self, now: Millis) -> tuple[Send, ...]:
        """Announce at the control address, at intervals that double up to a maximum."""
        if now < self._announce_at:
            return ()
        wait = self._announce_interval
        self._announce_at = Millis(now + wait // 2 + self._random.randrange(wait))
        self._announce_interval = Millis(min(2 * wait, MAX_ANNOUNCE_INTERVAL_MS))
        return (Send(self._control_address, Announcement(self._own)),)

    def _send_heartbeat(self, now: Millis) -> tuple[Send, ...]:
        """Return a heartbeat to each watcher, if one is due."""
        if now < self._heartbeat_at:
            return ()
        spread = int(HEARTBEAT_JITTER_SHARE * self._interval)
        jitter = self._random.randint(-spread, spread)
        delay_ms = min(now - self._heartbeat_at, TICK_MS)
        self._heartbeat_at = Millis(now + self._interval + jitter - delay_ms)
        self._heartbeat_number += 1
        message = Heartbeat(
            self._own.endpoint,
            self._own.incarnation,
            self._own.sequence,
            self._heartbeat_number,
            self._siblings_digest,
        )
        return tuple(Send(watcher, message) for watcher in self._watchers)

    def _drop_silent_watchers(self) -> None:
        """Remove watchers that acknowledged none of the latest heartbeats."""
        for watcher, acknowledged_number in tuple(self._watchers.items()):
            if (
                self._heartbeat_number - acknowledged_number
                > MAX_UNACKNOWLEDGED_HEARTBEATS
            ):
                del self._watchers[watcher]
        if not self._watchers:
            return
        self._announce_interval = INITIAL_ANNOUNCE_INTERVAL_MS

    def _update_watchers(
        self, message: Acknowledgement, source: Endpoint, now: Millis
    ) -> None:
        """Replace the watchers by those in an acknowledgement from `source`."""
        if message.interval_ms != KEEP_INTERVAL_MS:
            self._interval = message.interval_ms
        if not self._watchers:
            wait = self._random.randrange(1 + self._interval)
            self._heartbeat_at = Millis(now + wait)
        self._watchers = {
            watcher: self._watchers.get(watcher, self._heartbeat_number)
            for watcher in message.watchers
        }
        if source in self._watchers:
            self._watchers[source] = self._heartbeat_number

    def _update_siblings(self, message: Acknowledgement) -> None:
        """Replace the siblings if an acknowledgement lists different ones."""
        if message.siblings_digest == self._siblings_digest or not message.incarnation:
            return
        self._siblings_digest = message.siblings_digest
        listed = {record.endpoint for record in message.siblings}
        for record in self._siblings.records:
            if record.endpoint not in listed:
                self._siblings.forget(record)
        for record in message.siblings:
            self._siblings.merge(record)

    def _record_version(self, version: int, source: Endpoint) -> None:
        """Record the highest configuration version that a balancer advertises."""
        advertised = self._advertised_configuration
        if version > (advertised[0] if advertised else 0):
            self._advertised_configuration = (version, source)

    def _correct_balancer(
        self, message: Acknowledgement, source: Endpoint, now: Millis
    ) -> tuple[Send, ...]:
        """Announce this agent again if the balancer's record of it is wrong."""
        own = self._own
        reported = (message.incarnation, message.sequence)
        if reported < (own.incarnation, own.sequence):
            return (Send(source, Announcement(own)),)
        if own.state is AgentState.GONE:
            return ()
        if reported > (own.incarnation, own.sequence) or message.state != own.state:
            # Marked as gone during a pause: the same run announces that it is alive.
            return self._announce_change(replace(own, sequence=message.sequence), now)
        return ()
