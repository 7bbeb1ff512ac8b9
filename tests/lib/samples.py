"""Sample values that tests share."""

from dataclasses import dataclass

from papayagw._internal.models.agent import AgentRecord, AgentState, Incarnation
from papayagw._internal.models.clock import Millis
from papayagw._internal.models.configuration import FleetKey, Site
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId

ORDER = ServiceId(1)
DRAWINGS = ServiceId(2)
KEY = FleetKey(1, bytes(range(32)))
OLD_KEY = FleetKey(7, bytes(range(32, 64)))
CLIENT = Endpoint("127.0.0.9", 40_000)
BALANCERS = tuple(Endpoint(f"127.0.0.{10 + i}", 4300) for i in range(3))


@dataclass(frozen=True)
class StubPeers:
    """Stub of the set of other balancers, with values that a test chooses."""

    caught_up: bool = True
    peers: tuple[Endpoint, ...] = ()


NO_PEERS = StubPeers()


class ManualClock:
    """A clock that only advances when a test calls `advance`."""

    def __init__(self, now: int = 1_000):
        self.time = Millis(now)

    def now(self) -> Millis:
        return self.time

    def advance(self, duration: int) -> None:
        self.time = Millis(self.time + duration)


def make_record(
    number: int,
    service_id: ServiceId = ORDER,
    *,
    incarnation: int = 5_000,
    sequence: int = 1,
    state: AgentState = AgentState.READY,
    weight: int = 64,
    zone: str = "a",
) -> AgentRecord:
    """Return the record of agent `number`."""
    endpoint = Endpoint(f"127.0.{1 + number // 250}.{1 + number % 250}", 4310)
    run = Incarnation(incarnation)
    return AgentRecord(endpoint, run, sequence, service_id, zone, state, weight)


SITE = Site(
    name="test",
    control_address=Endpoint("127.0.1.100", 4400),
    zones=("a", "b"),
    services=(
        Service("order", ORDER, Endpoint("127.0.1.1", 4401)),
        Service("drawings", DRAWINGS, Endpoint("127.0.1.2", 4402)),
    ),
    keys=(KEY, OLD_KEY),
)
