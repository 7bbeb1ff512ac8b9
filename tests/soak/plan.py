"""Random schedule of the faults of one soak test."""

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
"""Kinds of faults, with the roles of the machines to which they apply."""

DEFAULT_DURATION_S = (0.1, 1.5)
DURATIONS_S = {"backend drains": (2.0, 6.0)}
"""Ranges of fault durations; a drain outlasts the limit for late openings."""

STORE_LOSSES = ("store restored", "watches silent")
"""Kinds of faults that `draw_store_losses` draws.

They aren't in `FAULTS`, where they would change the faults of all earlier seeds.
"""

CHANGES = {
    "route moved": (1, ("all",)),
    "foreign report": (3, ("agent",)),
    "address reused": (1, ("agent",)),
    "kill": (3, ("balancer", "agent")),
    "stop": (1, ("balancer", "agent")),
}
"""Kinds of faults that `draw_changes` draws, how often, and their roles.

The store and the network are sound meanwhile, so that all processes are in touch.
"""

COPY_AGES_S = (0.5, 5.0)
"""Range of the age of the copy from which the store is restored."""

MAX_REPEATS = 3
"""Maximum number of consecutive occurrences of one fault."""


@dataclass(frozen=True)
class Fault:
    """Scheduled fault.

    Attributes
    ----------
    start_s : float
        Time from the start of the run, in seconds.
    kind : str
        Kind of fault, a key of `FAULTS`.
    target : str
        Name of the machine, or "all".
    duration_s : float
        Duration in seconds.
    """

    start_s: float
    kind: str
    target: str
    duration_s: float


def draw_plan(seed, machines, duration):
    """Return the faults of a seed in order of their start; they may overlap.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    machines : dict of str to list of str
        Names of the machines by role.
    duration : float
        Time in which faults begin, in seconds.
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


def draw_store_losses(seed, duration, count):
    """Return `count` restorations of the store or silenced watches, in order.

    The duration of a restoration is the age of the copy, in seconds.
    """
    random_source = random.Random(f"store losses of {seed}")
    faults = [
        Fault(
            random_source.uniform(0.0, duration),
            random_source.choice(STORE_LOSSES),
            "all",
            random_source.uniform(*COPY_AGES_S),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda one: one.start_s)


def draw_changes(seed, machines, duration, count):
    """Return `count` moved routes and more in order of their start; they may overlap.

    Restarts of processes are among them, so that flows move meanwhile.
    """
    random_source = random.Random(f"changes of {seed}")
    faults = []
    for kind, (times, roles) in CHANGES.items():
        for _ in range(times * count):
            role = random_source.choice(roles)
            target = random_source.choice(machines[role]) if role in machines else role
            start_s = random_source.uniform(0.0, duration)
            faults.append(Fault(start_s, kind, target, 0.0))
    return sorted(faults, key=lambda one: one.start_s)
