"""Sample status reports and service-level records."""

from papayagw._internal.models.report import (
    LATENCY_BUCKETS,
    FlowCounts,
    ServiceRecord,
    ServiceTotals,
    Side,
)
from papayagw._internal.models.status import (
    AgentStatus,
    Counter,
    NodeState,
    PeerStatus,
    Role,
    StatusReport,
)


def make_latency_buckets(fast: int, slow: int = 0) -> tuple[int, ...]:
    """Return buckets of `fast` answers within 1 ms and `slow` above all bounds."""
    return (fast, *(0 for _ in range(LATENCY_BUCKETS - 2)), slow)


def make_status(**changes) -> StatusReport:
    """Return the status report of an agent of the order service."""
    values = {
        "node": "order-1",
        "role": Role.AGENT,
        "zone": "a",
        "version": "0.1.0",
        "state": NodeState.READY,
        "run": 1_000,
        "uptime_ms": 90_000,
        "configuration_version": 7,
        "flows_open": 12,
        "agents_known": 1,
        "peers": (PeerStatus("127.0.0.10:4300", "balancer", "up", 40),),
        "agents": (AgentStatus("127.0.1.2:4310", "order", "a", "ready", 64, 12),),
        "services": (make_totals(),),
        "counters": (Counter("agent.drop.bad-tag", 2),),
    }
    return StatusReport(**(values | changes))


def make_totals(opened: int = 100, *, broken: int = 0, flows_open: int = 12):
    """Return the totals of an agent of the order service."""
    counts = FlowCounts(
        opened=opened, broken=broken, answered=make_latency_buckets(opened)
    )
    return ServiceTotals("order", counts, flows_open, 10 * opened, 64.0)


def make_record(
    end: int = 10_000,
    *,
    start: int | None = None,
    service: str = "order",
    instance: str = "order-1",
    zone: str = "a",
    side: Side = Side.AGENT,
    counts: FlowCounts | None = None,
    work: int = 1_000,
    capacity: float = 64.0,
    **flows,
) -> ServiceRecord:
    """Return a record of 10 s in which all openings were answered within 1 ms."""
    flows = {
        "opened": 100,
        "answered": make_latency_buckets(flows.get("opened", 100)),
    } | flows
    return ServiceRecord(
        start_ms=end - 10_000 if start is None else start,
        end_ms=end,
        service=service,
        instance=instance,
        zone=zone,
        side=side,
        counts=counts or FlowCounts(**flows),
        work_ms=work,
        capacity=capacity,
    )
