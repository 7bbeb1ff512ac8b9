"""Run a role with one mechanism disabled, which the soak test must detect.

Usage: ``python -m tests.soak.mutants NAME ROLE``.
"""

import sys

from papayagw._internal.core.plain.admission.backend_state import BackendState
from papayagw._internal.core.plain.balancer import PlainBalancer
from papayagw._internal.core.plain.ownership.owner_lookup import OwnerLookup
from papayagw._internal.core.plain.ownership.ownership import OwnershipResolver
from papayagw._internal.models.plain.frame import Ownership
from papayagw.platform.__main__ import main


def never_unsure():
    """Make agents deny ownership of flows that they haven't seen since their start."""
    original = OwnershipResolver.resolve

    def resolve(self, question, now):
        found = original(self, question, now)
        return Ownership.NOT_OWNER if found is Ownership.UNKNOWN else found

    OwnershipResolver.resolve = resolve


def never_asks():
    """Make balancers drop packets of unknown flows instead of looking up the owner."""
    OwnerLookup.find_owner = lambda *_, **__: []


def ignores_drain():
    """Make agents send openings to draining backend servers."""
    BackendState.is_draining = property(lambda _: False)


def keeps_first_site():
    """Make balancers ignore every configuration after the first."""
    original = PlainBalancer.apply_site

    def apply_site(self, site, now):
        return self._site is None and original(self, site, now)

    PlainBalancer.apply_site = apply_site


MUTANTS = {
    "never-unsure": never_unsure,
    "never-asks": never_asks,
    "ignores-drain": ignores_drain,
    "keeps-first-site": keeps_first_site,
}

if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:]))
