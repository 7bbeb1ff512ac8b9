"""Costs measured by the benchmarks, each with the command that measures it.

The values are copied here by hand after the run, with the sizes at which they were
measured, and `bench.capacity` computes the tables of docs/CAPACITY.md from them.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """A measured cost.

    Attributes
    ----------
    name : str
        The measured cost.
    value : float
        Cost of each additional item, or the total of an item without slope.
    unit : str
        Unit of `value`.
    sizes : str
        Sizes at which it was measured.
    command : str
        Module of the benchmark that measures it.
    """

    name: str
    value: float
    unit: str
    sizes: str
    command: str


_FLOWS = "0, 200, 400, 800 and 1,200 flows"
_SERVICES = "100 to 2,400 services (5 sizes)"
_FLEETS = "20, 40, 80 and 160 balancers, 11 agents each"
_OPENINGS = "1,000 openings, 3 balancers; one size"

BALANCER_BASE = Slope(
    "balancer, no service", 66_322, "KB", _SERVICES, "bench.balancer_services"
)
BALANCER_SERVICE = Slope(
    "balancer, a service", 6.26, "KB", _SERVICES, "bench.balancer_services"
)
BALANCER_FLOW = Slope(
    "balancer, an open flow", 0.0, "KB", _FLOWS, "bench.agent_flow_memory"
)
BALANCER_PROBE = Slope(
    "balancers, a silent flow", 84, "us/s", _FLOWS, "bench.agent_flow_memory"
)
BALANCER_OPENING = Slope(
    "balancers, an opening", 1.24, "ms", _OPENINGS, "bench.path_ratio"
)
BALANCER_PACKET = Slope(
    "balancer, a packet", 6.4, "us", "100 and 100,000 flows", "bench.packet_rate"
)
MEMBERSHIP_BYTES = Slope(
    "membership, a balancer", 2_044, "B/s", _FLEETS, "bench.membership_bytes"
)
MEMBERSHIP_WORST = Slope(
    "a zone's loss, worst second", 3_294, "B/s", _FLEETS, "bench.membership_bytes"
)
MEMBERSHIP_CPU = Slope(
    "membership, a balancer", 9_000, "us/s", _FLEETS, "bench.membership_bytes"
)
MEMBERSHIP_MEMORY = Slope(
    "membership at full size", 12.3, "MB", "9,500 agents", "bench.membership_bytes"
)
AGENT_CONTROL_BYTES = Slope(
    "membership, an agent", 167, "B/s", _FLEETS, "bench.membership_bytes"
)
AGENT_CONTROL_CPU = Slope(
    "membership, an agent", 42, "us/s", _FLEETS, "bench.membership_bytes"
)
CHANGE_CPU = Slope(
    "a change of one service", 3.9, "ms", "150 to 2,400 services", "bench.control_cost"
)
CHANGE_BYTES = Slope(
    "a change at a node", 245, "B", "10 to 640 nodes", "bench.config_store_calls"
)
SETTINGS_READ = Slope(
    "reading settings, a service",
    1.07,
    "ms",
    "150 to 2,400 services",
    "bench.control_cost",
)
AGENT_BASE = Slope("agent, no flow", 72_868, "KB", _FLOWS, "bench.agent_flow_memory")
AGENT_FLOW = Slope("agent, an open flow", 73.6, "KB", _FLOWS, "bench.agent_flow_memory")
AGENT_PROBE = Slope(
    "agent, a silent flow", 92, "us/s", _FLOWS, "bench.agent_flow_memory"
)
AGENT_OPENING = Slope("agent, an opening", 3.51, "ms", _OPENINGS, "bench.path_ratio")
CONNECT_BASE = Slope(
    "connect, no flow", 61_764, "KB", _FLOWS, "bench.agent_flow_memory"
)
CONNECT_FLOW = Slope(
    "connect, an open flow", 70.4, "KB", _FLOWS, "bench.agent_flow_memory"
)
CONNECT_PROBE = Slope(
    "connect, a silent flow", 121, "us/s", _FLOWS, "bench.agent_flow_memory"
)
CONNECT_OPENING = Slope(
    "connect, an opening", 4.04, "ms", _OPENINGS, "bench.path_ratio"
)
FLOW_TABLE = Slope(
    "a flow table, a flow",
    201,
    "B",
    "10,000 to 400,000 flows",
    "bench.flow_table_memory",
)

ALL = tuple(value for value in list(globals().values()) if isinstance(value, Slope))
