"""Properties: membership views never revert, and converge once faults have ended.

Mutations disable mechanisms of the real cores by patching: a factory returns the
context manager under which a history is run.
"""

from collections.abc import Iterator
from contextlib import nullcontext
from dataclasses import replace
from unittest.mock import patch

from hypothesis import strategies as st

from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.core.fleet import Fleet
from papayagw._internal.core.gossip_repair import Repairer
from papayagw._internal.core.gossip_table import RecordTable, find_bucket
from papayagw._internal.core.watch_list import OverdueAgents, WatchList
from papayagw._internal.core.watcher import Watcher
from papayagw._internal.models.agent import AgentRecord, AgentState
from papayagw._internal.models.clock import Millis
from tests.lib.fleet import Network
from tests.lib.fleet_events import Event, FaultInjectingFleet, Step
from tests.lib.samples import ORDER, make_record
from tests.properties.proving import Mutation, Property

NOW = Millis(1_000)
SETTLE_MS = 25_000
BALANCERS = 4
AGENTS = 6

RECORDS = st.builds(
    lambda number, run, sequence, state, suspicion: replace(
        make_record(number, incarnation=run, sequence=sequence, state=state),
        suspicion=suspicion,
    ),
    st.integers(0, 3),
    st.integers(1, 3),
    st.integers(1, 3),
    st.sampled_from(AgentState),
    st.integers(0, 3),
)
ORDERS = st.tuples(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
COUNTERS = st.dictionaries(st.integers(0, 40), st.integers(0, 7), max_size=20)
NETWORKS = st.builds(
    Network,
    st.just(1),
    st.sampled_from([0, 50, 300]),
    st.sampled_from([0.0, 0.1, 0.3]),
    st.sampled_from([0.0, 0.2]),
)
STEPS = st.builds(
    Step,
    st.sampled_from(Event),
    st.integers(0, 9),
    st.sampled_from([100, 300, 1_000, 3_000, 12_000]),
)
HISTORIES = st.tuples(st.integers(0, 1_000), NETWORKS, st.lists(STEPS, max_size=8))


def fill(records) -> RecordTable:
    table = RecordTable(AgentDirectory())
    for record in records:
        table.merge(record, NOW)
        table.forget_gone(NOW)
    return table


def check_orders(make, history) -> None:
    records, random_source = history
    shuffled = records + records[: len(records) // 2]
    random_source.shuffle(shuffled)
    with make():
        here, there = fill(records), fill(shuffled)
        ready = [set(table.directory.find_ready(ORDER)) for table in (here, there)]
    assert here.digest == there.digest, "the digest depends on the order of the records"
    assert ready[0] == ready[1], "the ready agents depend on the order of the records"
    for endpoint in {record.endpoint for record in records}:
        of_endpoint = [one for one in records if one.endpoint == endpoint]
        newest = max(one.incarnation for one in of_endpoint)
        known = here.get(endpoint)
        assert known is not None, "the record of a run was dropped"
        assert known.incarnation == newest, "the record of a stale run took precedence"


def check_vectors(make, counters) -> None:
    with make():
        here = fill([make_record(number) for number in counters])
        there = fill(
            [replace(make_record(one), suspicion=two) for one, two in counters.items()]
        )
        for number in counters:
            bucket = find_bucket(make_record(number))
            for record in here.compare(there.make_vector(bucket)).ahead:
                here.merge(record, NOW)
    assert here.digest == there.digest, "the digests differ after merging suspicions"
    for number, counter in counters.items():
        known = here.get(make_record(number).endpoint)
        assert known.suspicion == counter, "a suspicion counter was not merged"


def check_fleet(make, history) -> None:
    seed, network, steps = history
    with make():
        fleet = FaultInjectingFleet(seed, network)
        fleet.add_fleet(BALANCERS, AGENTS)
        fleet.run(3_000)
        for step in steps:
            fleet.apply(step)
        fleet.settle(SETTLE_MS)
    alive = fleet.list_alive()
    for ready in fleet.find_ready():
        assert ready >= alive, "a ready agent gets no openings"
        assert ready - alive <= fleet.dead, "an agent that left gets openings"
        assert len(ready - alive) <= fleet.count_unsuspected_dead(), (
            "a dead agent is ready"
        )
    for balancer in fleet.balancers.values():
        known = len(balancer.peers) + 1
        assert known == len(fleet.balancers), "a balancer's view of its peers is wrong"


ORDER_PROOF = Property("membership-orders", ORDERS, check_orders, nullcontext)
VECTOR_PROOF = Property("membership-vectors", COUNTERS, check_vectors, nullcontext)
FLEET_PROOF = Property("membership-fleet", HISTORIES, check_fleet, nullcontext)
PROOFS = (ORDER_PROOF, VECTOR_PROOF, FLEET_PROOF)


def find_none_overdue(_self, _now) -> OverdueAgents:
    return OverdueAgents((), ())


def send_nothing(*_arguments) -> Iterator:
    return iter(())


def do_nothing(*_arguments) -> None:
    return None


def forget_all_gone(self, _now) -> None:
    for endpoint in tuple(self._gone_at):
        del self._gone_at[endpoint]
        self._directory.forget(self._records.pop(endpoint))


def make_patch(target, name, double):
    return lambda: patch.object(target, name, double)


WITHOUT_INCARNATION = property(
    lambda self: (self.sequence, self.incarnation, self.state, self.suspicion)
)
WITHOUT_SUSPICION = property(
    lambda self: (self.incarnation, self.sequence, self.state, 0)
)
MUTATIONS = (
    Mutation(
        "sequence-before-incarnation",
        ORDER_PROOF,
        make_patch(AgentRecord, "precedence", WITHOUT_INCARNATION),
    ),
    Mutation(
        "gone-forgotten-at-once",
        ORDER_PROOF,
        make_patch(RecordTable, "forget_gone", forget_all_gone),
    ),
    Mutation(
        "suspicion-without-precedence",
        VECTOR_PROOF,
        make_patch(AgentRecord, "precedence", WITHOUT_SUSPICION),
    ),
    Mutation(
        "no-suspicion",
        FLEET_PROOF,
        make_patch(WatchList, "find_overdue", find_none_overdue),
    ),
    Mutation(
        "no-refutation-of-agents",
        FLEET_PROOF,
        make_patch(Watcher, "_clear_suspicion", do_nothing),
    ),
    Mutation(
        "no-refutation-of-balancers",
        FLEET_PROOF,
        make_patch(Fleet, "_refute", do_nothing),
    ),
    Mutation(
        "no-repair", FLEET_PROOF, make_patch(Repairer, "on_gossip_digest", send_nothing)
    ),
)
