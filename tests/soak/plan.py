"""What goes wrong in one soak, drawn from a seed."""

import random
from dataclasses import dataclass

FAULTS = {
    "kill": ("balancer", "agent"),
    "stop": ("balancer", "agent"),
    "pause": ("balancer", "agent"),
    "hangup": ("balancer", "agent"),
    "store delayed": ("balancer", "agent"),
    "store reset": ("balancer", "agent"),
    "store answers lost": ("balancer", "agent"),
    "store silent": ("balancer", "agent"),
    "packets delayed": ("balancer",),
    "packets lost": ("balancer",),
    "backend restarted": ("agent",),
    "backend drains": ("agent",),
    "store down": ("all",),
    "entry removed": ("agent",),
    "configuration": ("all",),
}
"""Faults, and the roles of machines that they strike."""

DEFAULT_DURATION_S = (0.1, 1.5)
DURATIONS_S = {"backend drains": (2.0, 6.0)}
"""How long faults last; a drain lasts beyond the bound for late openings."""

MAX_REPEATS = 3
"""The most times that one fault strikes in a row."""


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at : float
        Seconds from the start.
    kind : str
        A key of `FAULTS`.
    target : str
        The machine, or "all".
    for_s : float
        How long it lasts, in seconds.
    """

    start_s: float
    kind: str
    target: str
    duration_s: float


def draw_plan(seed, machines, duration):
    """Return the faults of a seed in order of time; they overlap.

    Parameters
    ----------
    seed : int
        The source of all draws.
    machines : dict of str to list of str
        The names of machines by role.
    duration : float
        The time in which faults begin, in seconds.
    """
    random_source = random.Random(seed)
    faults = []
    while len(faults) < 2 * duration:
        kind = random_source.choice(list(FAULTS))
        role = random_source.choice(FAULTS[kind])
        start_s = random_source.uniform(0.0, duration)
        for _ in range(random_source.randint(1, MAX_REPEATS)):
            target = random_source.choice(machines[role]) if role in machines else role
            duration_s = random_source.uniform(
                *DURATIONS_S.get(kind, DEFAULT_DURATION_S)
            )
            faults.append(Fault(start_s, kind, target, duration_s))
            start_s += random_source.uniform(0.05, 0.6)
    return sorted(faults, key=lambda one: one.start_s)
