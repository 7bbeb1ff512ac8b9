"""Both QUIC connections of a flow, connected without sockets."""

from papayagw._internal.models.clock import Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowRoute
from papayagw._internal.models.stream import StreamEvent
from papayagw._internal.settings.development_keys import make_development_keys
from papayagw._internal.wire.header import read_connection_id
from papayagw._internal.wire.quic import FlowAcceptor, FlowOpener
from papayagw._internal.wire.reset import ResetTokens
from papayagw._internal.wire.tag import TagCodec
from tests.lib.samples import CLIENT, KEY, ORDER, ManualClock

ENTRY = Endpoint("127.0.1.1", 4401)
ROUTE = FlowRoute(ORDER, Endpoint("127.0.2.1", 4310), 7)
IDLE_MS = Millis(60_000)
STEP_MS = 5


class FlowPair:
    """Connections of the caller and the agent, and the datagrams between them."""

    def __init__(self, folder, is_lost=lambda number: False):
        files = make_development_keys(folder, ("order",))
        self.clock = ManualClock()
        self.resets = ResetTokens([KEY])
        self.acceptor = FlowAcceptor(
            files.certificate, files.private_key, IDLE_MS, self.resets
        )
        self.opener = FlowOpener("order", ENTRY, files.authority, IDLE_MS)
        self.codec = TagCodec([KEY])
        self.tag = self.codec.seal(self.codec.make(ROUTE))
        self.caller = self.opener.open(self.clock.now())
        self.agent = None
        self.to_agent: list[bytes] = []
        self.to_caller: list[bytes] = []
        self.caller_events: list[StreamEvent] = []
        self.agent_events: list[StreamEvent] = []
        self._is_lost = is_lost
        self._sent = 0

    def exchange(self, rounds=40):
        """Let both connections send, receive and handle their deadlines."""
        for _ in range(rounds):
            now = self.clock.now()
            self._act_on_deadlines(now)
            for datagram in self._collect(self.caller, now):
                self.to_agent.append(datagram)
                self._deliver_to_agent(datagram, now)
            if self.agent is not None:
                for datagram in self._collect(self.agent, now):
                    self.to_caller.append(datagram)
                    self.caller.receive(datagram, ENTRY.sockaddr, now)
                self.agent_events += self.agent.pop_events()
            self.caller_events += self.caller.pop_events()
            self.clock.advance(STEP_MS)

    def _act_on_deadlines(self, now):
        for connection in (self.caller, self.agent):
            at = connection.next_deadline if connection is not None else None
            if at is not None and at <= now:
                connection.on_deadline(now)

    def _collect(self, connection, now):
        sent = []
        connection.transmit(now, lambda datagram, peer: sent.append(datagram))
        kept = []
        for datagram in sent:
            self._sent += 1
            if not self._is_lost(self._sent):
                kept.append(datagram)
        return kept

    def _deliver_to_agent(self, datagram, now):
        if self.agent is None:
            opening_id = read_connection_id(datagram)
            self.agent = self.acceptor.accept(opening_id, self.tag)
        self.agent.receive(datagram, CLIENT.sockaddr, now)
