"""Resource needs of each role at the target fleet size, from the measured slopes.

``python -m bench.capacity`` prints the tables of docs/CAPACITY.md; a test checks that
the page contains every printed line.
"""

from dataclasses import dataclass

import fire

from bench import slopes

BALANCERS = 840
AGENTS = 9_500
SERVICES = 2_400
FLOWS = 11_000_000
OPENINGS = 65_000
CHANGES_PER_DAY = 1_500
SECONDS_PER_DAY = 86_400
RELAYS = 24
"""Three nodes in each of the 8 availability zones watch the platform's store."""

FLOWS_PER_BALANCER = FLOWS / BALANCERS
FLOWS_PER_AGENT = FLOWS / AGENTS
MAX_CPU_PERCENT = 1.8
MAX_MEMORY_MB = 128
MAX_BYTES_PER_SECOND = 4_096
KB_PER_MB = 1_024
US_PER_PERCENT = 10_000
MS_PER_PERCENT = 10


@dataclass(frozen=True, slots=True)
class Need:
    """The need of one node of a role for one resource.

    Attributes
    ----------
    role : str
        Role of the node: balancer, agent, connect, platform or operator.
    purpose : str
        What the resource is used for.
    value : float
        Amount needed, in `unit`.
    unit : str
        The unit of `value` and `budget`.
    budget : float or None
        Limit set by the requirements for control work, or None without a limit.
    """

    role: str
    purpose: str
    value: float
    unit: str
    budget: float | None = None

    @property
    def verdict(self) -> str:
        """Whether `value` is within the budget."""
        if self.budget is None:
            return "no budget"
        return "kept" if self.value <= self.budget else "broken"


def list_needs() -> list[Need]:
    """Return the needs of all roles at the target fleet size."""
    return [
        *_list_balancer_needs(),
        *_list_agent_needs(),
        *_list_connect_needs(),
        *_list_platform_needs(),
        *_list_operator_needs(),
    ]


def _list_balancer_needs() -> list[Need]:
    s, role = slopes, "balancer"
    memory_kb = s.BALANCER_BASE.value + SERVICES * s.BALANCER_SERVICE.value
    memory = memory_kb / KB_PER_MB + s.MEMBERSHIP_MEMORY.value
    change = CHANGES_PER_DAY / SECONDS_PER_DAY
    cpu = s.MEMBERSHIP_CPU.value / US_PER_PERCENT
    cpu += change * s.CHANGE_CPU.value / MS_PER_PERCENT
    sent = s.MEMBERSHIP_BYTES.value + change * s.CHANGE_BYTES.value
    openings = OPENINGS / BALANCERS * s.BALANCER_OPENING.value / MS_PER_PERCENT
    probes = FLOWS_PER_BALANCER * s.BALANCER_PROBE.value / US_PER_PERCENT
    table = FLOWS / 2 * s.FLOW_TABLE.value / KB_PER_MB**2
    return [
        Need(role, "control: memory", memory, "MB", MAX_MEMORY_MB),
        Need(role, "control: processor", cpu, "% core", MAX_CPU_PERCENT),
        Need(role, "control: bytes", sent, "B/s", MAX_BYTES_PER_SECOND),
        Need(
            role, "worst second", s.MEMBERSHIP_WORST.value, "B/s", MAX_BYTES_PER_SECOND
        ),
        Need(role, "traffic: openings", openings, "% core"),
        Need(role, "traffic: probes at 1 s", probes, "% core"),
        Need(role, "traffic: probes at 30 s", probes / 30, "% core"),
        Need(role, "flow table (not used)", table, "MB", MAX_MEMORY_MB),
    ]


def _list_agent_needs() -> list[Need]:
    s, role = slopes, "agent"
    base = s.AGENT_BASE.value / KB_PER_MB
    flows = FLOWS_PER_AGENT * s.AGENT_FLOW.value / KB_PER_MB
    cpu = s.AGENT_CONTROL_CPU.value / US_PER_PERCENT
    openings = OPENINGS / AGENTS * s.AGENT_OPENING.value / MS_PER_PERCENT
    probes = FLOWS_PER_AGENT * s.AGENT_PROBE.value / US_PER_PERCENT
    return [
        Need(role, "control: memory", base, "MB", MAX_MEMORY_MB),
        Need(role, "control and flows", base + flows, "MB", MAX_MEMORY_MB),
        Need(role, "control: processor", cpu, "% core", MAX_CPU_PERCENT),
        Need(
            role,
            "control: bytes",
            s.AGENT_CONTROL_BYTES.value,
            "B/s",
            MAX_BYTES_PER_SECOND,
        ),
        Need(role, "traffic: openings", openings, "% core"),
        Need(role, "traffic: probes at 1 s", probes, "% core"),
        Need(role, "traffic: probes at 30 s", probes / 30, "% core"),
    ]


def _list_connect_needs() -> list[Need]:
    s, role = slopes, "connect"
    flows = 1_000
    memory = (s.CONNECT_BASE.value + flows * s.CONNECT_FLOW.value) / KB_PER_MB
    probes = flows * s.CONNECT_PROBE.value / US_PER_PERCENT
    opening = s.CONNECT_OPENING.value / MS_PER_PERCENT
    return [
        Need(role, "memory, 1,000 flows", memory, "MB"),
        Need(role, "probes, 1,000 flows", probes, "% core"),
        Need(role, "an opening a second", opening, "% core"),
    ]


def _list_platform_needs() -> list[Need]:
    role = "platform"
    start = BALANCERS + AGENTS
    return [
        Need(role, "waiting watches", RELAYS, "calls", 2_000),
        Need(role, "writes", CHANGES_PER_DAY / SECONDS_PER_DAY, "/s", 300),
        Need(role, "reads, all start at once", start, "calls"),
        Need(role, "the same at 2,000/s", start / 2_000, "s"),
    ]


def _list_operator_needs() -> list[Need]:
    seconds = SERVICES * slopes.SETTINGS_READ.value / 1_000
    return [Need("operator", "reading all settings", seconds, "s")]


def format_needs() -> list[str]:
    """Return the table of needs, as lines of Markdown."""
    head = [
        "| role | what | need | unit | budget | verdict |",
        "|---|---|---|---|---|---|",
    ]
    rows = [
        f"| {need.role} | {need.purpose} | {need.value:,.2f} | {need.unit} |"
        f" {'-' if need.budget is None else f'{need.budget:g}'} | {need.verdict} |"
        for need in list_needs()
    ]
    return head + rows


def format_slopes() -> list[str]:
    """Return the table of slopes, as lines of Markdown."""
    head = ["| slope | value | unit | measured at | command |", "|---|---|---|---|---|"]
    rows = [
        f"| {slope.name} | {slope.value:g} | {slope.unit} | {slope.sizes} |"
        f" `python -m {slope.command}` |"
        for slope in slopes.ALL
    ]
    return head + rows


def main():
    """Print the tables of needs and slopes."""
    print("\n".join([*format_needs(), "", *format_slopes()]))


if __name__ == "__main__":
    fire.Fire(main)
