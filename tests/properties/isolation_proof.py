"""Property: no packet of one service reaches another despite restarts and delays.

Agents of two services use three addresses in turn. Balancers may hold any record that
they have ever received; packets are delayed in the network and arrive at the agent
that has the address by then.
"""

from dataclasses import dataclass

from hypothesis import strategies as st

from papayagw._internal.core.agent import AgentCore
from papayagw._internal.core.balancer import BalancerCore
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.models.agent import AgentRecord, Incarnation
from papayagw._internal.models.decision import Accept, Forward
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.flow import FlowRoute, FlowTag
from papayagw._internal.wire.tag import TAG_BYTES, TagCodec
from tests.lib.samples import DRAWINGS, KEY, NO_PEERS, ORDER
from tests.properties.proving import Mutation, Property
from tests.properties.world_proof import AcceptsAnyService, RoutesByTagOnly

ADDRESSES = tuple(Endpoint("127.0.7.1", 4_000 + number) for number in range(3))
INCARNATION_WRAP_MS = 1 << 16
"""Time after which the incarnation in a tag repeats, in milliseconds."""

SERVICES = st.sampled_from([ORDER, DRAWINGS])
BALANCERS = st.integers(0, 1)
INDICES = st.integers(0, 30)
STEPS = st.one_of(
    st.tuples(
        st.just("restart"),
        st.integers(0, 2),
        SERVICES,
        st.sampled_from([1, INCARNATION_WRAP_MS]),
    ),
    st.tuples(st.just("receive_record"), BALANCERS, INDICES),
    st.tuples(st.just("open"), SERVICES, BALANCERS, INDICES),
    st.tuples(st.just("send"), INDICES, BALANCERS, SERVICES),
    st.tuples(st.just("forge"), st.integers(0, 2), BALANCERS),
    st.tuples(st.just("arrive"), INDICES),
)
INITIAL_STEPS = [("restart", index, ORDER, 1) for index in range(2)]
INITIAL_STEPS += [("restart", 2, DRAWINGS, 1)]
INITIAL_STEPS += [
    ("receive_record", balancer, number) for balancer in (0, 1) for number in range(3)
]
HISTORIES = st.lists(STEPS, min_size=10, max_size=60).map(
    lambda own: INITIAL_STEPS + own
)


@dataclass(frozen=True)
class Implementations:
    """The mechanisms under test."""

    balancer: type = BalancerCore
    agent: type = AgentCore
    codec: type = TagCodec
    id_end: int = TAG_BYTES


@dataclass(frozen=True)
class InFlightPacket:
    """A packet in flight to an agent's address."""

    address: Endpoint
    service_id: int
    connection_id: bytes


class Site:
    """Two balancers, three addresses and the packets in flight."""

    def __init__(self, implementations):
        self.implementations = implementations
        self.codec = implementations.codec([KEY])
        self.views = [AgentDirectory(), AgentDirectory()]
        self.balancers = [
            implementations.balancer(view, RendezvousChooser(), NO_PEERS)
            for view in self.views
        ]
        self.now = 0
        self.records = []
        self.agents = {}
        self.flows = []
        self.network = []

    def restart(self, index, service_id, gap):
        self.now += gap
        endpoint, run = ADDRESSES[index], Incarnation(self.now)
        record = AgentRecord(endpoint, run, 1, service_id, "a")
        self.records.append(record)
        siblings = AgentDirectory()
        for one in self.records:
            siblings.merge(one)
        route = FlowRoute.of(service_id, endpoint, run)
        core = self.implementations.agent(route, siblings, RendezvousChooser(), 100)
        self.agents[endpoint] = (core, {})

    def receive_record(self, balancer, which):
        self.views[balancer].merge(self.records[which % len(self.records)])

    def open(self, service_id, balancer, key):
        opening = b"opening" + bytes((key,))
        decision = self.balancers[balancer].route_opening(service_id, opening)
        self.forward(decision, service_id, opening)

    def send(self, which, balancer, service_id):
        """Send a packet of an open flow, sometimes to another service's address."""
        if self.flows:
            tag, own = self.flows[which % len(self.flows)]
            self.send_tagged(balancer, service_id if which % 5 == 0 else own, tag)

    def forge(self, index, balancer):
        """Send a packet whose tag was forged by a party that knows all but the key."""
        core, _ = self.agents[ADDRESSES[index]]
        tag = PlainTags([KEY]).seal(FlowTag(KEY.key_id, core.route, b"xyz"))
        self.send_tagged(balancer, core.route.service_id, tag)

    def send_tagged(self, balancer, service_id, tag):
        route = self.codec.open_route(tag)
        decision = self.balancers[balancer].route_tagged(service_id, route)
        self.forward(decision, service_id, tag)

    def forward(self, decision, service_id, connection_id):
        if isinstance(decision, Forward):
            self.network.append(
                InFlightPacket(decision.agent, service_id, connection_id)
            )

    def arrive(self, which):
        if not self.network:
            return
        packet = self.network[which % len(self.network)]
        if packet.address not in self.agents:
            return
        core, flows = self.agents[packet.address]
        tag = packet.connection_id
        if len(tag) != TAG_BYTES:
            self.arrive_opening(core, flows, packet)
        elif (found := flows.get(tag[: self.implementations.id_end])) is not None:
            assert found == tag, "a packet of another flow was accepted"
            assert core.route.service_id == packet.service_id, "wrong service"
        elif core.check_tagged(packet.service_id, self.codec.open_route(tag)) is None:
            assert core.route.service_id == packet.service_id, "wrong service"
            owners = {own for one, own in self.flows if one == tag}
            assert owners == {packet.service_id}, (
                "accepted a forged tag or a tag of another service"
            )

    def arrive_opening(self, core, flows, packet):
        decision = core.decide_opening(packet.service_id, packet.connection_id, 0, 0)
        if isinstance(decision, Accept):
            assert core.route.service_id == packet.service_id, (
                "accepted an opening of another service"
            )
            nonce = bytes((0, 0, len(flows) % 3))
            tag = self.codec.seal(FlowTag(KEY.key_id, core.route, nonce))
            flows.setdefault(tag[: self.implementations.id_end], tag)
            self.flows.append((tag, packet.service_id))
        elif isinstance(decision, Forward):
            self.forward(decision, packet.service_id, packet.connection_id)


def check(implementations, history):
    """Execute the steps; the site checks each arrival."""
    site = Site(implementations)
    for operation, *arguments in history:
        getattr(site, operation)(*arguments)


class SkipsChecks(AgentCore):
    """Accepts each tagged packet as its own."""

    def check_tagged(self, service_id, route):
        return None


class NoCipher:
    """Returns blocks unencrypted."""

    def update(self, block):
        return block


class PlainTags(TagCodec):
    """Encodes and decodes tags without encryption."""

    def __init__(self, keys):
        super().__init__(keys)
        self._encryptor = NoCipher()
        self._decryptors = {KEY.key_id: NoCipher()}


PROOF = Property("isolation", HISTORIES, check, Implementations())
MUTATIONS = [
    Mutation(name, PROOF, implementations)
    for name, implementations in {
        "AcceptsAnyService": Implementations(agent=AcceptsAnyService),
        "SkipsChecks": Implementations(agent=SkipsChecks, balancer=RoutesByTagOnly),
        "PlainTags": Implementations(codec=PlainTags),
        "FlowsByNonce": Implementations(id_end=4, balancer=RoutesByTagOnly),
    }.items()
]
