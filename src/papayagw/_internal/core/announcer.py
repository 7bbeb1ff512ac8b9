"""How an agent makes itself known and stays known.

An agent knows no list of balancers. Its first announcement goes to the control
address, which hands it to some balancer; the acknowledgement names the watchers to
which its heartbeats go from then on.
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

REPEATS = 3
"""How many more times a change is told, since datagrams get lost."""

FIRST_ANNOUNCE_MS = Millis(200)
MAX_ANNOUNCE_MS = Millis(2_000)

SILENT_BEATS = 12
"""A watcher that acknowledged none of so many heartbeats counts as dead."""

FIRST_INTERVAL_MS = Millis(1_000)
"""The time between heartbeats until a balancer tells one."""

BEAT_JITTER = 0.1
"""The share of the interval by which heartbeats vary, so that agents fall out of
step."""

TICK_MS = Millis(100)
"""The time between two ticks."""

WEIGHT_STEP = 0.25
"""A change of weight smaller than this share isn't told."""

WEIGHT_INTERVALS = 300
"""A change of weight is told at most once in so many heartbeat intervals."""


class AgentAnnouncer:
    """An agent's part in the membership.

    Parameters
    ----------
    own : AgentRecord
        This agent's record.
    control_address : Endpoint
        Where a datagram reaches some balancer.
    siblings : AgentDirectory
        Filled with other agents of the service.
    random_source : random.Random
        For jitter.
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
        self._interval = FIRST_INTERVAL_MS
        self._beat = 0
        self._beat_at = Millis(0)
        self._announce_at = Millis(0)
        self._announce_wait = FIRST_ANNOUNCE_MS
        self._repeats = 0
        self._weight_at: Millis | None = None
        self._superseded = False
        self._heard_configuration: tuple[int, Endpoint] | None = None

    @property
    def own(self) -> AgentRecord:
        """The agent's own record."""
        return self._own

    @property
    def siblings(self) -> AgentDirectory:
        """Other agents of the service that take openings."""
        return self._siblings

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """The balancers that watch this agent; empty until they are known."""
        return tuple(self._watchers)

    @property
    def superseded(self) -> bool:
        """Whether a later run has taken over this agent's endpoint."""
        return self._superseded

    @property
    def heard_configuration(self) -> tuple[int, Endpoint] | None:
        """The highest version of the configuration heard of, and who has it."""
        return self._heard_configuration

    def drain(self, now: Millis) -> tuple[Send, ...]:
        """Say that this agent takes no more openings."""
        if self._own.state is not AgentState.READY:
            return ()
        return self._change(replace(self._own, state=AgentState.DRAINING), now)

    def close(self, now: Millis) -> tuple[Send, ...]:
        """Say that this agent is gone; the next ticks repeat it."""
        if self._own.state is AgentState.GONE:
            return ()
        return self._change(replace(self._own, state=AgentState.GONE), now)

    def set_weight(self, weight: int, now: Millis) -> tuple[Send, ...]:
        """Tell a change of strength, if it is large enough and not too soon."""
        weight = max(0, min(MAX_WEIGHT, weight))
        step = WEIGHT_STEP * max(self._own.weight, UNIT_WEIGHT * WEIGHT_STEP)
        if abs(weight - self._own.weight) < step:
            return ()
        wait = WEIGHT_INTERVALS * self._interval
        if self._weight_at is not None and now - self._weight_at < wait:
            return ()
        self._weight_at = now
        return self._change(replace(self._own, weight=weight), now)

    def on_message(
        self, message: ControlMessage, source: Endpoint, now: Millis
    ) -> tuple[Send, ...]:
        """Take in a message; only acknowledgements concern an agent."""
        if not isinstance(message, Acknowledgement):
            return ()
        if message.incarnation > self._own.incarnation:
            self._superseded = True
            return ()
        self._note_watchers(message, source, now)
        self._note_siblings(message)
        self._note_version(message.configuration_version, source)
        return self._correct(message, source, now)

    def on_tick(self, now: Millis) -> tuple[Send, ...]:
        """Return what is due; to be called about every 100 ms."""
        if self._superseded:
            return ()
        if self._repeats > 0:
            self._repeats -= 1
            return self._announce_everywhere()
        if self._own.state is AgentState.GONE:
            return ()
        self._drop_silent_watchers()
        if not self._watchers:
            return self._announce(now)
        return self._beat_once(now)

    def _change(self, record: AgentRecord, now: Millis) -> tuple[Send, ...]:
        self._own = replace(record, sequence=self._own.sequence + 1)
        self._repeats = REPEATS
        return () if self._superseded else self._announce_everywhere()

    def _announce_everywhere(self) -> tuple[Send, ...]:
        message = Announcement(self._own)
        destinations = (*self._watchers, self._control_address)
        return tuple(Send(destination, message) for destination in destinations)

    def _announce(self, now: Millis) -> tuple[Send, ...]:
        if now < self._announce_at:
            return ()
        wait = self._announce_wait
        self._announce_at = Millis(now + wait // 2 + self._random.randrange(wait))
        self._announce_wait = Millis(min(2 * wait, MAX_ANNOUNCE_MS))
        return (Send(self._control_address, Announcement(self._own)),)

    def _beat_once(self, now: Millis) -> tuple[Send, ...]:
        if now < self._beat_at:
            return ()
        spread = int(BEAT_JITTER * self._interval)
        jitter = self._random.randint(-spread, spread)
        late = min(now - self._beat_at, TICK_MS)
        self._beat_at = Millis(now + self._interval + jitter - late)
        self._beat += 1
        message = Heartbeat(
            self._own.endpoint,
            self._own.incarnation,
            self._own.sequence,
            self._beat,
            self._siblings_digest,
        )
        return tuple(Send(watcher, message) for watcher in self._watchers)

    def _drop_silent_watchers(self) -> None:
        for watcher, acked_beat in tuple(self._watchers.items()):
            if self._beat - acked_beat > SILENT_BEATS:
                del self._watchers[watcher]
        if not self._watchers:
            return
        self._announce_wait = FIRST_ANNOUNCE_MS

    def _note_watchers(
        self, message: Acknowledgement, source: Endpoint, now: Millis
    ) -> None:
        if message.interval_ms != KEEP_INTERVAL_MS:
            self._interval = message.interval_ms
        if not self._watchers:
            wait = self._random.randrange(1 + self._interval)
            self._beat_at = Millis(now + wait)
        self._watchers = {
            watcher: self._watchers.get(watcher, self._beat)
            for watcher in message.watchers
        }
        if source in self._watchers:
            self._watchers[source] = self._beat

    def _note_siblings(self, message: Acknowledgement) -> None:
        if message.siblings_digest == self._siblings_digest or not message.incarnation:
            return
        self._siblings_digest = message.siblings_digest
        told = {record.endpoint for record in message.siblings}
        for record in self._siblings.records:
            if record.endpoint not in told:
                self._siblings.forget(record)
        for record in message.siblings:
            self._siblings.merge(record)

    def _note_version(self, version: int, source: Endpoint) -> None:
        heard = self._heard_configuration
        if version > (heard[0] if heard else 0):
            self._heard_configuration = (version, source)

    def _correct(
        self, message: Acknowledgement, source: Endpoint, now: Millis
    ) -> tuple[Send, ...]:
        """Put right what the balancer believes of this agent."""
        own = self._own
        believed = (message.incarnation, message.sequence)
        if believed < (own.incarnation, own.sequence):
            return (Send(source, Announcement(own)),)
        if own.state is AgentState.GONE:
            return ()
        if believed > (own.incarnation, own.sequence) or message.state != own.state:
            # Given up while paused: the same run says that it still lives.
            return self._change(replace(own, sequence=message.sequence), now)
        return ()
